package clickhouse

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"embershunt/internal/native"
)

// TestActionsKeepAnswersApart holds what must be true of every state, whatever the table says in detail.
func TestActionsKeepAnswersApart(t *testing.T) {
	for s := range stateCount {
		for e := range eventCount {
			switch a := actions[s][e]; {
			case (a == startQuery) != (s == awaitingQuery && e == eventQuery):
				t.Errorf("state %d, event %d: one query runs at a time, and each is run", s, e)
			case (a == bufferRows) != (s == awaitingRows && e == eventData):
				t.Errorf("state %d, event %d: rows are buffered while an INSERT waits for them, and only then", s, e)
			case (a == cancelQuery) != (s != awaitingQuery && e == eventCancel):
				t.Errorf("state %d, event %d: a cancel ends what runs", s, e)
			case s == executing && (a == answerPing || a == rejectUnreadable || a == rejectUnexpected):
				t.Errorf("state %d, event %d: action %d writes into the query's answer", s, e, a)
			case e == eventUnreadable && a != rejectUnreadable && a != dropConnection:
				t.Errorf("state %d, event %d: action %d goes on reading behind a packet that was not read", s, e, a)
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
