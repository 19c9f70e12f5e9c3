package soak

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"syscall"
	"time"

	"embershunt/internal/pgwire"
	"embershunt/policy"
)

// answer is what came back for one command, up to ReadyForQuery.
type answer struct {
	rows     []string // their columns joined with tabs
	complete bool
	empty    bool
	code     string // SQLSTATE of an error
	pause    time.Duration
	err      error // the connection ended; nothing follows
}

// outcome reads the answer as the protocol page does.
func (a answer) outcome(trace string) (Outcome, string) {
	switch {
	case a.err != nil:
		return Closed, a.err.Error()
	case strings.HasPrefix(a.code, "53") || a.code == "57P03":
		if len(a.rows) > 0 {
			return Unreadable, "rows before a refusal"
		}
		return Refused, a.code
	case a.code != "":
		return Failed, a.code
	case !a.complete || len(a.rows) != 1 && len(a.rows) != 3:
		return Unreadable, fmt.Sprintf("%d rows, complete %v", len(a.rows), a.complete)
	}
	for i, row := range a.rows {
		if want := fmt.Sprintf("%s\tpage\t%d", trace, i); row != want {
			return Unreadable, fmt.Sprintf("row %q, want %q", row, want)
		}
	}
	return Served, ""
}

// session is one client connection; a goroutine reads its answers.
type session struct {
	net.Conn
	key     [8]byte
	answers chan answer // closed behind the last one
	fresh   bool        // no request has been sent on it
}

// answerMost bounds a message that a client reads.
const answerMost = 1 << 20

// open connects and waits for the welcome.
func open(ctx context.Context, address string) (*session, error) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &session{Conn: conn, answers: make(chan answer, 16), fresh: true}
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := conn.Write(append([]byte{0, 0, 0, 30, 0, 3, 0, 0}, "user\x00app\x00database\x00dw\x00\x00"...)); err != nil {
		conn.Close()
		return nil, err
	}
	r := bufio.NewReader(conn)
	if a := s.read(r); a.err != nil || a.code != "" {
		conn.Close()
		return nil, errors.Join(a.err, fmt.Errorf("turned away %s", a.code))
	}
	conn.SetDeadline(time.Time{})
	go func() {
		defer close(s.answers)
		for {
			a := s.read(r)
			s.answers <- a
			if a.err != nil {
				return
			}
		}
	}()
	return s, nil
}

func (s *session) read(r *bufio.Reader) (a answer) {
	for {
		kind, body, err := pgwire.ReadMessage(r, nil, answerMost)
		if err != nil {
			a.err = err
			return a
		}
		switch kind {
		case 'Z':
			return a
		case 'K':
			copy(s.key[:], body)
		case 'I':
			a.empty = true
		case 'C':
			a.complete = true
		case 'D':
			a.rows = append(a.rows, row(body))
		case 'E':
			for f := range strings.SplitSeq(string(body), "\x00") {
				if code, ok := strings.CutPrefix(f, "C"); ok && a.code == "" {
					a.code = code
				}
				if _, ms, ok := strings.Cut(f, "pause="); ok {
					var n int
					fmt.Sscan(ms, &n)
					a.pause = time.Duration(n) * time.Millisecond
				}
			}
		}
	}
}

// row joins the columns of a DataRow.
func row(body []byte) string {
	var columns []string
	for at := 2; at+4 <= len(body); {
		n := int(binary.BigEndian.Uint32(body[at:]))
		at += 4
		if at+n > len(body) {
			break
		}
		columns = append(columns, string(body[at:at+n]))
		at += n
	}
	return strings.Join(columns, "\t")
}

// query is a statement as a message.
func query(text string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(len(text)+5))
	return append(append(b, text...), 0)
}

// answered tells that a dispatcher answers an empty query: it is ready.
func answered(ctx context.Context, address string) bool {
	s, err := open(ctx, address)
	if err != nil {
		return false
	}
	defer s.drop()
	s.SetDeadline(time.Now().Add(time.Second))
	s.Write(query(""))
	return (<-s.answers).empty
}

// drop closes a session and lets its reader end.
func (s *session) drop() {
	s.Close()
	go func() {
		for range s.answers {
		}
	}()
}

// resting tells that nothing has come on a session without an open request.
func (s *session) resting() bool {
	select {
	case <-s.answers:
		return false
	default:
		return true
	}
}

// Habits are how a client behaves, as shares of its requests.
type Habits struct {
	Think  time.Duration // mean time between two requests
	Cancel float64       // called off with a CancelRequest
	Vanish float64       // given up by closing the connection
	Burst  float64       // several sent at once
	Slow   float64       // written in pieces
	Rush   float64       // a refusal is answered by another try at once
}

// client sends requests to one dispatcher for as long as the run lasts.
type client struct {
	record *Record
	d      *Dispatcher
	habits Habits
	rng    *rand.Rand
	s      *session
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	defer func() {
		if c.s != nil {
			c.s.drop()
		}
	}()
	for c.pause(ctx, time.Duration(c.rng.ExpFloat64()*float64(c.habits.Think))) {
		if c.s != nil && !c.s.resting() { // it was closed while it rested
			c.s.drop()
			c.s = nil
		}
		if c.s == nil && !c.connect(ctx) {
			continue
		}
		c.send(ctx, 1+c.rng.IntN(3)*c.once(c.habits.Burst), 0, c.draw())
	}
}

func (c *client) draw() *Class { return classes[c.rng.IntN(len(classes))] }

func (c *client) once(p float64) int {
	if c.rng.Float64() < p {
		return 1
	}
	return 0
}

// pause waits; false where ctx ended.
func (c *client) pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// connect opens a session where the dispatcher is to get new connections now.
func (c *client) connect(ctx context.Context) bool {
	if !c.d.connectable() {
		return false
	}
	s, err := open(ctx, c.d.listen)
	if err == nil {
		c.s = s
	}
	return err == nil
}

// send sends some requests at once and waits for their answers. Tries counts the times that one was sent before.
func (c *client) send(ctx context.Context, count, tries int, class *Class) {
	s, fresh := c.s, c.s.fresh
	s.fresh = false
	var batch []*Request
	var b []byte
	// One time for all: answers come in the order of the requests, and a later one cannot be given before an earlier one is.
	patience := time.Duration((0.6 + 0.4*c.rng.Float64()) * float64(class.Deadline)).Truncate(time.Millisecond)
	for range count {
		q := &Request{ID: fmt.Sprintf("%016x", c.rng.Uint64()), Dispatcher: c.d.number, Start: c.d.current(), Class: class, Patience: patience}
		nonce := ""
		if class.Effect == policy.IdempotentByKey {
			q.Key = q.ID + "k"
			nonce = ",nonce=" + q.Key
		}
		b = append(b, query(fmt.Sprintf("/* route=%s,trace=%s,patience=%d%s */ SELECT a FROM sales_%d.orders", class.Name, q.ID,
			q.Patience.Milliseconds(), nonce, c.rng.IntN(8)))...)
		batch = append(batch, q)
	}
	if c.once(c.habits.Slow) == 1 {
		for range 2 {
			n := min(len(b)/2, 40)
			s.Write(b[:n])
			b = b[n:]
			c.pause(ctx, time.Duration(1+c.rng.IntN(15))*time.Millisecond)
		}
	}
	before := c.record.now()
	_, err := s.Write(b)
	for _, q := range batch {
		q.Sent = c.record.now()
		c.record.addRequest(q)
	}
	if err != nil && (errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)) { // closed before: nothing was taken
		for _, q := range batch {
			c.record.change(func() { q.Outcome, q.Crossed, q.Ended = Closed, true, before })
		}
		c.lose(ctx, tries, class, false)
		return
	}
	c.receive(ctx, s, batch, fresh, tries)
}

// crossing is how soon after it was sent a request may meet a close that it crossed.
const crossing = 50 * time.Millisecond

// receive waits for the answers of a batch.
func (c *client) receive(ctx context.Context, s *session, batch []*Request, fresh bool, tries int) {
	leave, away := time.Duration(0), time.Duration(0)
	cancels := c.once(c.habits.Cancel) == 1
	if cancels || c.once(c.habits.Vanish) == 1 {
		leave = time.Duration(c.rng.ExpFloat64() * float64(40*time.Millisecond))
	}
	for i, q := range batch {
		a, ok := c.await(ctx, s, q, leave)
		if !ok { // it left, or the run is over
			c.leave(batch[i:], s, cancels && leave > 0)
			return
		}
		outcome, detail := a.outcome(q.ID)
		now := c.record.now()
		crossed := outcome == Closed && i == 0 && !fresh && now-q.Sent <= crossing
		c.record.change(func() { q.Outcome, q.Detail, q.Ended, q.Crossed = outcome, detail, now, crossed })
		switch {
		case outcome == Closed:
			for _, rest := range batch[i+1:] {
				c.record.change(func() { rest.Outcome, rest.Detail, rest.Ended, rest.Crossed = Closed, detail, now, crossed })
			}
			c.lose(ctx, tries, q.Class, crossed)
			return
		case outcome == Refused && c.once(c.habits.Rush) == 0:
			away = max(away, min(max(a.pause, 20*time.Millisecond), time.Second))
		}
	}
	c.pause(ctx, away)
}

// lose gives up a session that has ended; a request that crossed its close is sent once more on a new one.
func (c *client) lose(ctx context.Context, tries int, class *Class, again bool) {
	c.s.drop()
	c.s = nil
	if again && tries == 0 && c.connect(ctx) {
		c.send(ctx, 1, tries+1, class)
	}
}

// overtime is how long after its deadline a late answer is still waited for.
const overtime = 700 * time.Millisecond

// await waits for one answer; ok is false where the client leaves first, or the run ends.
func (c *client) await(ctx context.Context, s *session, q *Request, leave time.Duration) (a answer, ok bool) {
	wait := q.Patience + overtime - (c.record.now() - q.Sent)
	if leave > 0 {
		wait = min(wait, leave)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case a, ok = <-s.answers:
		if !ok {
			a.err, ok = net.ErrClosed, true
		}
		return a, ok
	case <-t.C:
	case <-ctx.Done():
	}
	return a, false
}

// leave gives up requests whose answers are not in: by a CancelRequest on a new connection and a close half a second later, or by a close.
func (c *client) leave(batch []*Request, s *session, cancel bool) {
	c.s = nil
	now := c.record.now()
	for _, q := range batch {
		c.record.change(func() {
			if now-q.Sent < q.Patience {
				q.Outcome, q.LeftAt, q.Ended = Left, now, now
			}
		})
	}
	if !cancel {
		s.drop()
		return
	}
	if conn, err := net.DialTimeout("tcp", c.d.listen, time.Second); err == nil {
		conn.Write(append([]byte{0, 0, 0, 16, 4, 210, 22, 46}, s.key[:]...))
		conn.Close()
	}
	time.AfterFunc(500*time.Millisecond, s.drop)
}
