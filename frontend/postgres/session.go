package postgres

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/internal/lineproto"
	"embershunt/internal/pgwire"
	"embershunt/nodelist"
	"embershunt/permit"
	"embershunt/policy"
)

// SQLSTATEs. Those of class 53 and 57P03 tell a client that trying again does no harm: nothing else may wear them.
const (
	codeFull      = "53300"
	codeOverload  = "53000"
	codeDraining  = "57P03"
	codeCancelled = "57014"
	codeStopped   = "57P01"
	codeProtocol  = "08P01"
	codeBadField  = "22023"
	codeOpen      = "55006"
	codeTooLong   = "54000"
	codeAttempt   = "58000"
	codeBroken    = "58030"
	codeInternal  = "XX000"
	codeUnknown   = "0A000"
)

// phase is where a session stands. It changes under session.mu alone, so that a command and a close that cross each other
// have one order: a command is taken whole, or nothing of it is.
type phase uint8

const (
	starting  phase = iota // no command has come yet
	idle                   // nothing is owed
	receiving              // a message has begun and is not whole: starting or idle, as others see it
	working                // commands have been taken whose answers are not written; a worker runs
	closing                // takes no command any more: what came before the close is refused, what comes after it dropped
)

// session is one client connection. Its reader owns the connection's end; the worker writes answers, one after the other.
type session struct {
	front        *Front
	conn         net.Conn
	key          pgwire.Key
	startedAt    time.Time
	overCapacity bool // there was no room for it: it may call off another session's query, and is turned away
	disconnected chan struct{}

	mu                   sync.Mutex
	phase                phase
	receiving            bool      // a message has begun and is not whole
	lastActivity         time.Time // of the last command or answer
	queried              bool      // it has brought a query
	closeWhenAnswered    bool      // closes as soon as nothing is owed
	clientDisconnected   bool      // the client is; left is closed
	cancelledAt          time.Time // when its client called off and nothing was open
	commands             []command // read ahead
	queuedBytes          int       // bytes of those
	queueShrunk          sync.Cond // signalled when commands get fewer
	lingering            bool      // the last word has been written; what still comes is read off
	query                *frontend.PendingQuery
	protocolErrorsInARow int // commands in a row that could not be used

	writeMu  sync.Mutex
	finished bool // the last word has been written

	closeOnce sync.Once
}

// command is a query that has been read whole and has no answer yet.
type command struct {
	text string
	at   time.Time // its last byte was there
}

// Bounds of what is read ahead on one session; beyond them its socket holds the rest.
const (
	maxPipelinedCommands = 128
	maxPipelinedBytes    = 32 << 10
)

func newSession(f *Front, conn net.Conn, full bool) *session {
	s := &session{front: f, conn: conn, startedAt: time.Now(), overCapacity: full, disconnected: make(chan struct{})}
	s.lastActivity, s.queueShrunk.L = s.startedAt, &s.mu
	return s
}

// snapshot tells where a session stands, whether it has brought a query, and when the last one or its answer came.
func (s *session) snapshot() (p phase, asked bool, last time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p = s.phase; s.receiving && (p == starting || p == idle) {
		p = receiving
	}
	return p, s.queried, s.lastActivity
}

// stage is how far the close of a session has come.
type stage uint8

const (
	onItsWay  stage = iota // it does not close, or owes an answer
	noRoom                 // it is to be told that there is no room for it
	sweeping               // it looks for what had come before the close
	lingering              // its last word has been written; what still comes is read off
)

// leaving tells how far the session's close has come.
func (s *session) leaving() stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.lingering:
		return lingering
	case s.connection(false).Close() != permit.Permitted:
		return onItsWay
	case s.phase == closing:
		return sweeping
	case s.overCapacity:
		return noRoom
	}
	return onItsWay
}

// setReading notes whether a message is being read and answered.
func (s *session) setReading(reading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receiving = reading
}

// connection is what decides whether the session may be closed; ending: the dispatcher ends. s.mu is held.
func (s *session) connection(ending bool) permit.Connection {
	c := permit.Connection{Reading: s.receiving, Ending: ending}
	if s.phase == working {
		c.PendingAnswers = 1
	}
	return c
}

// readBuffer is small: a query is read in one or two pieces, and most connections are idle most of the time.
const readBuffer = 1 << 10

func (s *session) run() {
	defer s.front.forget(s)
	defer s.conn.Close()
	defer s.leave()
	defer s.because(byClient)
	r := bufio.NewReaderSize(s.conn, readBuffer)
	s.await()
	if !s.start(r) {
		return
	}
	var buf []byte
	for {
		s.await()
		if _, err := r.Peek(1); err != nil {
			if !isTimeout(err) {
				return
			}
			if s.rested() {
				s.part(r)
				return
			}
			continue
		}
		if !s.begin(time.Now()) {
			s.part(r)
			return
		}
		kind, body, err := pgwire.ReadMessage(r, buf, s.front.options.MaxStatement)
		if buf = body; cap(buf) > 4*readBuffer { // a long statement's room is not kept
			buf = nil
		}
		if err != nil {
			s.unread(r, err)
			return
		}
		switch kind {
		case pgwire.Query:
			text, err := pgwire.Statement(body)
			if err != nil {
				s.unread(r, err)
				return
			}
			if !s.take(command{text, time.Now()}) { // it was closed meanwhile
				s.refuse(codeDraining, "the dispatcher closes this session; nothing was run")
				s.part(r)
				return
			}
		case pgwire.Terminate:
			return
		default:
			s.front.protocolErrors.Add(1)
			s.end(r, codeUnknown, fmt.Sprintf("message type %q; allowed are simple queries", kind))
			return
		}
	}
}

// start reads the first message; false where no session follows.
func (s *session) start(r *bufio.Reader) bool {
	for range 3 {
		_, err := r.Peek(1)
		if isTimeout(err) && s.overCapacity {
			s.turnAway(r)
			return false
		}
		if isTimeout(err) && s.rested() || err == nil && !s.begin(s.startedAt) { // a first query on its way may be brought elsewhere
			s.part(r)
			return false
		}
		m, err := pgwire.ReadStart(r)
		if err != nil {
			s.unread(r, err)
			return false
		}
		switch {
		case m.Kind == pgwire.StartCancel:
			s.front.cancel(m.Key)
			return false
		case m.Kind == pgwire.StartTLS:
			s.say([]byte{'N'}, false)
			continue
		case s.overCapacity:
			s.turnAway(r)
			return false
		}
		return s.say(pgwire.AppendWelcome(make([]byte, 0, 256), s.key), false)
	}
	s.end(r, codeProtocol, "encryption was asked for again; there is none")
	return false
}

func (s *session) turnAway(r *bufio.Reader) {
	s.front.rejected.Add(1)
	s.because(byNoRoom)
	s.end(r, codeFull, "too many connections; nothing was read")
}

// await sets until when the next message may begin.
func (s *session) await() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receiving = false
	s.conn.SetReadDeadline(s.until())
}

// until is when a connection on which no message has begun has waited enough; s.mu is held.
func (s *session) until() time.Time {
	switch {
	case s.phase == closing:
		return time.Now().Add(sweep)
	case s.phase == working: // its queries' own deadlines count
		return time.Time{}
	case s.overCapacity:
		return s.startedAt.Add(usualBegin)
	case !s.queried:
		return s.startedAt.Add(s.front.options.BeginTimeout)
	}
	return s.lastActivity.Add(s.front.options.Idle)
}

// rested begins the close of a session whose wait for a message is over; false where a command or an answer came first.
func (s *session) rested() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != closing && (s.connection(true).Close() != permit.Permitted || time.Now().Before(s.until())) {
		return false
	}
	if s.phase != closing {
		s.because(byIdle)
	}
	s.phase = closing
	return true
}

// begin tells that a message has begun, which has its time from a moment on to become whole; false where the session closes.
func (s *session) begin(from time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == closing {
		return false
	}
	s.receiving = true
	s.conn.SetReadDeadline(from.Add(s.front.options.BeginTimeout))
	return true
}

// accept takes a command; false where the session closes. It waits while too much has been read ahead, and where the session closes behind
// the answers that it owes.
func (s *session) take(c command) bool {
	s.front.recordActivity()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.closeWhenAnswered && s.phase == working || len(s.commands) >= maxPipelinedCommands || len(s.commands) > 0 && s.queuedBytes+len(c.text) > maxPipelinedBytes {
		s.queueShrunk.Wait()
	}
	if s.phase == closing {
		return false
	}
	s.commands, s.queuedBytes = append(s.commands, c), s.queuedBytes+len(c.text)
	if s.phase != working {
		s.phase = working
		s.front.group.Go(func() error { s.work(); return nil })
	}
	return true
}

// work answers commands in their order, until there are none.
func (s *session) work() {
	for {
		s.mu.Lock()
		if len(s.commands) == 0 {
			s.phase, s.lastActivity, s.query, s.commands = idle, time.Now(), nil, nil
			if s.closeWhenAnswered {
				s.phase = closing
				s.because(byEnd)
			}
			s.queueShrunk.Signal()
			if !s.receiving {
				s.conn.SetReadDeadline(s.until())
			}
			s.mu.Unlock()
			return
		}
		c := s.commands[0]
		s.commands, s.queuedBytes = s.commands[1:], s.queuedBytes-len(c.text)
		s.queueShrunk.Signal()
		s.mu.Unlock()
		if !s.answer(c) {
			s.because(byWrite)
			s.leave()
			s.conn.Close() // the reader sees it, and ends
		}
	}
}

// close begins the close of a session that owes nothing; one that owes answers closes behind them where parting is set. It
// tells whether it closes now.
func (s *session) shut(parting bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeWhenAnswered = s.closeWhenAnswered || parting
	if s.phase == closing || s.connection(parting).Close() != permit.Permitted {
		return false
	}
	s.phase = closing
	if parting {
		s.because(byEnd)
	} else {
		s.because(byEviction)
	}
	if !s.receiving { // else the message that has begun is read to its end, and refused
		s.conn.SetReadDeadline(s.until())
	}
	return true
}

// How a session ends: what had come before it closed is looked for during sweep; after the last word what still comes is
// read off, since a close over unread bytes would take that word back.
const (
	sweep       = time.Millisecond
	sweepMost   = 50 * time.Millisecond  // in all: a client may come again as soon as it is refused
	lingerFor   = 250 * time.Millisecond // several times what a request may cross a close by
	lingerBytes = 256 << 10
)

// part ends a session that owes nothing. Queries that had come before are refused: nothing runs for them.
func (s *session) part(r *bufio.Reader) {
	defer s.setReading(false)
	for until := time.Now().Add(sweepMost); !s.overCapacity && time.Now().Before(until); {
		s.setReading(false)
		s.conn.SetReadDeadline(time.Now().Add(sweep))
		if _, err := r.Peek(1); err != nil {
			break
		}
		s.setReading(true)
		s.conn.SetReadDeadline(time.Now().Add(s.front.options.BeginTimeout))
		kind, _, err := pgwire.ReadMessage(r, nil, s.front.options.MaxStatement)
		if err != nil || kind != pgwire.Query {
			break
		}
		s.refuse(codeDraining, "the dispatcher closes this session; nothing was run")
	}
	s.linger(r)
}

func (s *session) refuse(code, words string) {
	s.say(pgwire.AppendReady(pgwire.AppendError(nil, pgwire.Error, code, words)), false)
}

// linger ends the sending side and reads off what comes, within bounds.
func (s *session) linger(r *bufio.Reader) {
	s.mu.Lock()
	s.phase, s.lingering = closing, true
	s.mu.Unlock()
	half, ok := s.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	s.conn.SetReadDeadline(time.Now().Add(lingerFor))
	io.CopyN(io.Discard, r, lingerBytes)
}

// unread answers what could not be read; nothing after it can be read either.
func (s *session) unread(r *bufio.Reader, err error) {
	var form *pgwire.FormatError
	switch {
	case errors.As(err, &form):
		s.front.protocolErrors.Add(1)
		s.end(r, codeProtocol, form.What)
	case errors.Is(err, pgwire.ErrTooLong):
		s.front.protocolErrors.Add(1)
		s.end(r, codeTooLong, fmt.Sprintf("message too long; allowed are %d bytes", s.front.options.MaxStatement))
	case isTimeout(err):
		s.end(r, codeProtocol, "no whole message came in time")
	}
}

// end gives the session's last word and closes it; what it had asked for is called off.
func (s *session) end(r *bufio.Reader, code, words string) {
	s.because(byMessage)
	s.leave()
	s.say(pgwire.AppendError(nil, pgwire.Fatal, code, words), true)
	s.linger(r)
}

// leave tells that the client is gone: nothing it asked for is of use any more.
func (s *session) leave() {
	s.mu.Lock()
	if !s.clientDisconnected {
		s.clientDisconnected = true
		close(s.disconnected)
	}
	s.commands, s.queuedBytes = nil, 0
	s.queueShrunk.Signal()
	q := s.query
	s.mu.Unlock()
	if q != nil {
		q.Disconnect()
	}
}

// crossing is how long after a call-off a query may be read that it was meant for: clients close the session then.
const crossing = 500 * time.Millisecond

// cancel calls off what the session has asked for. The session goes on.
func (s *session) cancel() {
	s.mu.Lock()
	q := s.query
	if q == nil && len(s.commands) == 0 {
		s.cancelledAt = time.Now()
	}
	for i := range s.commands { // read before the word came
		s.commands[i].at = time.Time{}
	}
	s.mu.Unlock()
	if q != nil {
		q.Disconnect()
	}
}

// answer gives a command its one answer; false where it cannot be written.
func (s *session) answer(c command) bool {
	if strings.Trim(c.text, " \t\r\n;") == "" {
		s.used()
		return s.say(pgwire.AppendReady(pgwire.AppendEmpty(nil)), false)
	}
	a, err := parseQuery(c.text, &s.front.options.Settings)
	if err != nil {
		return s.wrong(codeBadField, err.Error())
	}
	left := a.clientTimeout - time.Since(c.at)
	if c.at.IsZero() || left <= 0 { // called off, or its time was up before its turn: nothing was sent
		return s.say(pgwire.AppendReady(pgwire.AppendError(nil, pgwire.Error, codeOverload, "over before its turn; nothing was run")), false)
	}
	if !s.front.registerTrace(a.trace) {
		return s.wrong(codeOpen, fmt.Sprintf("trace %s: the id is open already; allowed is a new one for each request", a.trace))
	}
	work := &lineproto.Request{ID: a.trace, Class: s.front.options.Settings.Classes[a.class].Name, Text: a.text, Priority: -1}
	if s.front.options.Settings.Classes[a.class].Effect == policy.IdempotentByKey {
		work.Key = a.idempotencyKey
	}
	query, err := s.ask(frontend.Call{Traits: a.traits(), Protocol: nodelist.Platform, Remaining: left, Work: work})
	if err != nil {
		s.front.releaseTrace(a.trace)
		return s.wrong(codeBadField, err.Error())
	}
	v := dispatch.Outcome{Kind: dispatch.Failed, Reason: dispatch.ReasonClientDisconnected}
	if query != nil {
		v = <-query.Done
	}
	s.front.releaseTrace(a.trace) // not open any more when the client reads the answer
	s.mu.Lock()
	s.query = nil
	s.mu.Unlock()
	return s.say(encode(v), false)
}

// queryWithFields hands a query over, unless its client has gone or called it off; nil then.
func (s *session) ask(c frontend.Call) (*frontend.PendingQuery, error) {
	s.used()
	s.mu.Lock()
	defer s.mu.Unlock()
	crossed := !s.cancelledAt.IsZero() && time.Since(s.cancelledAt) < crossing
	if s.cancelledAt = (time.Time{}); s.clientDisconnected || crossed {
		return nil, nil
	}
	q, err := s.front.intake.Submit(c)
	if s.query = q; err == nil {
		s.protocolErrorsInARow = 0
	}
	return q, err
}

func (s *session) used() {
	s.mu.Lock()
	s.queried, s.lastActivity = true, time.Now()
	s.mu.Unlock()
}

// Bounds of the pause after messages that cannot be used; it doubles with each in a row.
const (
	protocolErrorPause    = 20 * time.Millisecond
	maxProtocolErrorPause = time.Second
)

// wrong answers a query that cannot be used. Who sends the next one at once waits for its answer, ever longer: the time of a
// dispatcher belongs to those who can be served.
func (s *session) wrong(code, words string) bool {
	s.front.protocolErrors.Add(1)
	s.mu.Lock()
	s.protocolErrorsInARow++
	bad := s.protocolErrorsInARow
	s.mu.Unlock()
	if !s.say(pgwire.AppendReady(pgwire.AppendError(nil, pgwire.Error, code, words)), false) {
		return false
	}
	t := time.NewTimer(min(protocolErrorPause<<min(bad-1, 10), maxProtocolErrorPause))
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.disconnected:
	}
	return true
}

// say writes whole messages, and nothing after the last word; false where they could not be written.
func (s *session) say(b []byte, last bool) bool {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.finished {
		return true
	}
	s.finished = last
	s.conn.SetWriteDeadline(time.Now().Add(s.front.options.WriteTimeout))
	_, err := s.conn.Write(b)
	return err == nil
}

// encode writes a final answer as messages.
func encode(v dispatch.Outcome) []byte {
	switch v.Kind {
	case dispatch.Served:
		if result, ok := v.Result.(*lineproto.Result); ok {
			return encodeRows(result)
		}
		v = dispatch.Outcome{Kind: dispatch.Failed, Reason: dispatch.ReasonInternal}
		fallthrough
	case dispatch.Failed:
		return pgwire.AppendReady(pgwire.AppendError(nil, pgwire.Error, failedCode(v.Reason), "failed: "+string(v.Reason)))
	default:
		code, words := codeOverload, "refused, trying again does no harm: "+string(v.Reason)
		if v.Reason == dispatch.ReasonDraining {
			code = codeDraining
		}
		if ms := v.RetryAfter / 1000; ms > 0 {
			words += fmt.Sprintf("; pause=%d", ms)
		}
		return pgwire.AppendReady(pgwire.AppendError(nil, pgwire.Error, code, words))
	}
}

func failedCode(r dispatch.Reason) string {
	switch r {
	case dispatch.ReasonClientDisconnected, dispatch.ReasonDeadline:
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
