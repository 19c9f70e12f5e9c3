package clickhouse

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"embershunt/internal/native"
)

// The actions of each state must obey these rules, whatever else the table says: queries run one at a time, and nothing but a
// query's own packets is written into its answer.
func TestActionInvariants(t *testing.T) {
	for s := range stateCount {
		for e := range eventCount {
			switch a := actions[s][e]; {
			case (a == startQuery) != (s == awaitingQuery && e == eventQuery):
				t.Errorf("state %d, event %d: a query starts if and only if none is in flight", s, e)
			case (a == bufferRows) != (s == awaitingRows && e == eventData):
				t.Errorf("state %d, event %d: rows are buffered if and only if an INSERT waits for them", s, e)
			case (a == cancelQuery) != (s != awaitingQuery && e == eventCancel):
				t.Errorf("state %d, event %d: a cancel ends the running query, and only a cancel does", s, e)
			case s == executing && (a == answerPing || a == rejectUnreadable || a == rejectUnexpected):
				t.Errorf("state %d, event %d: action %d writes into the query's answer", s, e, a)
			case e == eventUnreadable && a != rejectUnreadable && a != dropConnection:
				t.Errorf("state %d, event %d: action %d continues after an unreadable packet", s, e, a)
			case a == ignore && e != eventPing && e != eventCancel:
				t.Errorf("state %d, event %d is ignored", s, e)
			}
		}
	}
}

func TestEventOf(t *testing.T) {
	for _, c := range []struct {
		code uint64
		err  error
		want event
	}{
		{native.ClientQuery, nil, eventQuery},
		{native.ClientData, nil, eventData},
		{native.ClientPing, nil, eventPing},
		{native.ClientCancel, nil, eventCancel},
		{0, io.EOF, eventClosed},
		{native.ClientQuery, fmt.Errorf("query: %w", io.ErrUnexpectedEOF), eventUnreadable},
		{native.ClientData, errors.New("too large"), eventUnreadable},
		{99, nil, eventUnreadable},
	} {
		if got := eventOf(c.code, c.err); got != c.want {
			t.Errorf("packet %d, error %v: event %d, wanted %d", c.code, c.err, got, c.want)
		}
	}
}
