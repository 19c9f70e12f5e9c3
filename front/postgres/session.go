package postgres

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"embershunt/choice"
	"embershunt/dispatch"
	"embershunt/front"
	"embershunt/internal/lineproto"
	"embershunt/internal/pgwire"
	"embershunt/nodelist"
)

// SQLSTATEs. Those of class 53 and 57P03 tell a client that trying again does no harm: nothing else may wear them.
const (
	codeFull      = "53300"
	codeOverload  = "53000"
	codeDraining  = "57P03"
	codeCancelled = "57014"
	codeStopped   = "57P01"
	codeIdle      = "57P05"
	codeProtocol  = "08P01"
	codeBadField  = "22023"
	codeOpen      = "55006"
	codeTooLong   = "54000"
	codeAttempt   = "58000"
	codeBroken    = "58030"
	codeInternal  = "XX000"
	codeUnknown   = "0A000"
)

// session is one client connection.
type session struct {
	f       *Front
	conn    net.Conn
	key     pgwire.Key
	begun   time.Time
	evicted bool // under Front.mu

	mu    sync.Mutex
	last  time.Time // of the last query or answer
	asked bool      // it has brought a query
	query *front.Asked
	ended bool // the connection is of no further use
	bad   int  // messages in a row that could not be used
}

func (s *session) state() (last time.Time, asked, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last, s.asked, s.query != nil
}

// readBuffer is small: a query is read in one or two pieces, and most connections are idle most of the time.
const readBuffer = 1 << 10

func (s *session) run() {
	defer s.f.forget(s)
	defer s.conn.Close()
	defer s.leave()
	r := bufio.NewReaderSize(s.conn, readBuffer)
	s.conn.SetReadDeadline(s.begun.Add(s.f.opt.Begin))
	if !s.start(r) {
		return
	}
	var buf []byte
	for {
		s.rest()
		if _, err := r.Peek(1); err != nil {
			s.mu.Lock()
			idle := s.query == nil && isTimeout(err)
			s.mu.Unlock()
			if idle {
				s.end(codeIdle, "closed: no query came")
			}
			return
		}
		if _, _, open := s.state(); open {
			if kind, err := r.Peek(1); err == nil && kind[0] == pgwire.Terminate {
				return
			}
			s.f.unreadable.Add(1)
			s.end(codeProtocol, "a message came while a query was open; allowed is one query at a time")
			return
		}
		s.conn.SetReadDeadline(time.Now().Add(s.f.opt.Begin))
		kind, body, err := pgwire.ReadMessage(r, buf, s.f.opt.MaxStatement)
		if buf = body; cap(buf) > 4*readBuffer { // a long statement's room is not kept
			buf = nil
		}
		if err != nil {
			s.unread(err)
			return
		}
		switch kind {
		case pgwire.Query:
			if r.Buffered() > 0 { // nobody who keeps to one query at a time has sent more by now
				s.f.unreadable.Add(1)
				s.end(codeProtocol, "more came behind a query; allowed is one query at a time")
				return
			}
			if !s.take(body, time.Now()) {
				return
			}
		case pgwire.Terminate:
			return
		default:
			s.f.unreadable.Add(1)
			s.end(codeUnknown, fmt.Sprintf("message type %q; allowed are simple queries", kind))
			return
		}
	}
}

// start reads the first message; false where no session follows.
func (s *session) start(r *bufio.Reader) bool {
	for range 3 {
		m, err := pgwire.ReadStart(r)
		if err != nil {
			s.unread(err)
			return false
		}
		switch m.Kind {
		case pgwire.StartCancel:
			s.f.cancel(m.Key)
			return false
		case pgwire.StartTLS:
			s.write([]byte{'N'})
			continue
		}
		return s.write(pgwire.AppendWelcome(make([]byte, 0, 256), s.key))
	}
	s.end(codeProtocol, "encryption was asked for again; there is none")
	return false
}

// rest sets until when the next message is waited for.
func (s *session) rest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.query != nil: // its own deadline counts
		s.conn.SetReadDeadline(time.Time{})
	case !s.asked:
		s.conn.SetReadDeadline(s.begun.Add(s.f.opt.Begin))
	default:
		s.conn.SetReadDeadline(time.Now().Add(s.f.opt.Idle))
	}
}

// unread answers what could not be read; nothing after it can be read either.
func (s *session) unread(err error) {
	var form *pgwire.FormatError
	switch {
	case errors.As(err, &form):
		s.f.unreadable.Add(1)
		s.end(codeProtocol, form.What)
	case errors.Is(err, pgwire.ErrTooLong):
		s.f.unreadable.Add(1)
		s.end(codeTooLong, fmt.Sprintf("message too long; allowed are %d bytes", s.f.opt.MaxStatement))
	case isTimeout(err):
		s.end(codeProtocol, "no whole message came in time")
	}
}

// end gives the session's last word and closes it.
func (s *session) end(code, words string) {
	s.leave()
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.write(pgwire.AppendError(nil, pgwire.Fatal, code, words))
	s.conn.Close()
}

// take hands a query over, or answers what cannot be used; false ends the session.
func (s *session) take(body []byte, at time.Time) bool {
	statement, err := pgwire.Statement(body)
	if err != nil {
		s.unread(err)
		return false
	}
	if strings.Trim(statement, " \t\r\n;") == "" {
		s.used()
		return s.write(pgwire.AppendReady(pgwire.AppendEmpty(nil)))
	}
	a, err := read(statement, &s.f.opt.Settings)
	if err != nil {
		return s.wrong(codeBadField, err.Error())
	}
	switch err := s.f.open(a.trace); err {
	case nil:
	case errClosed:
		s.end(codeDraining, err.Error())
		return false
	default:
		return s.wrong(codeOpen, fmt.Sprintf("trace %s: %v", a.trace, err))
	}
	s.used()
	work := &lineproto.Request{ID: a.trace, Class: s.f.opt.Settings.Classes[a.class].Name, Text: a.text, Priority: -1}
	if s.f.opt.Settings.Classes[a.class].Effect == choice.Keyed {
		work.Key = a.nonce
	}
	s.mu.Lock()
	query, err := s.f.desk.Begin(front.Call{Traits: a.traits(), Speaks: nodelist.Lines, Left: max(a.patience-time.Since(at), time.Microsecond), Work: work})
	if s.query = query; err == nil {
		s.bad = 0
	}
	s.mu.Unlock()
	if err != nil {
		s.f.shut(a.trace)
		s.f.written()
		return s.wrong(codeBadField, err.Error())
	}
	s.f.group.Go(func() error {
		v := <-query.Done
		s.f.shut(a.trace)
		s.answer(v)
		s.f.written()
		return nil
	})
	return true
}

func (s *session) used() {
	s.mu.Lock()
	s.asked, s.last = true, time.Now()
	s.mu.Unlock()
}

// Bounds of the pause after messages that cannot be used; it doubles with each in a row.
const (
	wrongPause = 20 * time.Millisecond
	wrongMost  = time.Second
)

// wrong answers a query that cannot be used. Who sends the next one at once waits for its answer, ever longer: the time of a
// dispatcher belongs to those who can be served.
func (s *session) wrong(code, words string) bool {
	s.f.unreadable.Add(1)
	s.mu.Lock()
	s.bad++
	bad := s.bad
	s.mu.Unlock()
	if !s.write(pgwire.AppendReady(pgwire.AppendError(nil, pgwire.Error, code, words))) {
		return false
	}
	time.Sleep(min(wrongPause<<min(bad-1, 10), wrongMost))
	return true
}

// leave tells that the client is gone, where a query is open.
func (s *session) leave() {
	s.mu.Lock()
	q := s.query
	s.mu.Unlock()
	if q != nil {
		q.Leave()
	}
}

// answer writes the final answer.
func (s *session) answer(v dispatch.Verdict) {
	b := encode(v)
	s.mu.Lock()
	s.query, s.last = nil, time.Now()
	ended := s.ended
	s.conn.SetReadDeadline(s.last.Add(s.f.opt.Idle))
	s.mu.Unlock()
	if !ended && !s.write(b) {
		s.conn.Close()
	}
}

func (s *session) write(b []byte) bool {
	s.conn.SetWriteDeadline(time.Now().Add(s.f.opt.Write))
	_, err := s.conn.Write(b)
	return err == nil
}

// encode writes a final answer as messages.
func encode(v dispatch.Verdict) []byte {
	switch v.Final {
	case dispatch.Served:
		if result, ok := v.Result.(*lineproto.Result); ok {
			return encodeRows(result)
		}
		v = dispatch.Verdict{Final: dispatch.Failed, Reason: dispatch.ReasonInternal}
		fallthrough
	case dispatch.Failed:
		return pgwire.AppendReady(pgwire.AppendError(nil, pgwire.Error, failedCode(v.Reason), "failed: "+string(v.Reason)))
	default:
		code, words := codeOverload, "refused, trying again does no harm: "+string(v.Reason)
		if v.Reason == dispatch.ReasonDraining {
			code = codeDraining
		}
		if ms := v.ComeBack / 1000; ms > 0 {
			words += fmt.Sprintf("; pause=%d", ms)
		}
		return pgwire.AppendReady(pgwire.AppendError(nil, pgwire.Error, code, words))
	}
}

func failedCode(r dispatch.Reason) string {
	switch r {
	case dispatch.ReasonGone, dispatch.ReasonDeadline:
		return codeCancelled
	case dispatch.ReasonStopped:
		return codeStopped
	case dispatch.ReasonBroken:
		return codeBroken
	case dispatch.ReasonInternal:
		return codeInternal
	}
	return codeAttempt
}

// rowCost is what a row takes beside its text.
const rowCost = 20

func encodeRows(r *lineproto.Result) []byte {
	rows := 0
	r.Rows(func([][]byte) { rows++ })
	b := make([]byte, 0, r.Size()+rows*rowCost+160)
	b = pgwire.AppendColumns(b, "c1", "c2", "c3")
	r.Rows(func(columns [][]byte) { b = pgwire.AppendRow(b, columns...) })
	return pgwire.AppendReady(pgwire.AppendComplete(b, fmt.Sprintf("SELECT %d", rows)))
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
