package postgres

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/internal/lineproto"
	"embershunt/internal/pgwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testDispatcher is the frontend.Poster of a test. It answers queries, or leaves them open until the test answers them.
type testDispatcher struct {
	answer func(q *dispatch.Query) (dispatch.Outcome, bool) // false: the query stays open; nil: all do

	mu           sync.Mutex
	stopped      bool                       // queries are rejected
	rejected     int                        // queries that stop found open, or that came after it
	open         map[string]*dispatch.Query // by the dispatcher's id
	disconnected chan string                // ids, as clients state them, of open queries whose client disconnected
}

func (d *testDispatcher) Post(ev dispatch.Event) {
	switch ev := ev.(type) {
	case dispatch.QueryReceived:
		if d.rejectOrOpen(ev.Query) {
			return
		}
		if d.answer != nil {
			if v, ok := d.answer(ev.Query); ok {
				d.mu.Lock()
				delete(d.open, ev.Query.ID)
				d.mu.Unlock()
				ev.Query.Client.Answer(v)
			}
		}
	case dispatch.ClientDisconnected:
		d.mu.Lock()
		q := d.open[ev.ID]
		delete(d.open, ev.ID)
		d.mu.Unlock()
		if q != nil {
			q.Client.Answer(dispatch.Outcome{Kind: dispatch.Failed, Reason: dispatch.ReasonClientDisconnected})
			d.disconnected <- q.Payload.(*lineproto.Request).ID
		}
	}
}

// rejectOrOpen rejects a query after stop, and returns true, or adds it to the open ones.
func (d *testDispatcher) rejectOrOpen(q *dispatch.Query) (rejected bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		d.rejected++
		q.Client.Answer(dispatch.Outcome{Kind: dispatch.Shed})
		return true
	}
	d.open[q.ID] = q
	return false
}

// stop rejects the open queries and all later ones, so that the sessions of a failed test end.
func (d *testDispatcher) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	for id, q := range d.open {
		q.Client.Answer(dispatch.Outcome{Kind: dispatch.Shed})
		delete(d.open, id)
		d.rejected++
	}
}

// servedRows returns the outcome of a query that was served with so many rows.
func servedRows(rows int) dispatch.Outcome {
	r := &lineproto.Result{}
	a, err := lineproto.NewReader(strings.NewReader(fmt.Sprintf("a data total=1 %d\r\n%s\r\n",
		6*rows, strings.Repeat("x\ty\tz\n", rows)))).Read()
	if err != nil {
		panic(err)
	}
	if _, err := r.Add(&a); err != nil {
		panic(err)
	}
	return dispatch.Outcome{Kind: dispatch.Served, Result: r}
}

// testServer is a frontend that serves on a local address, with its dispatcher.
type testServer struct {
	t          *testing.T
	frontend   *Frontend
	dispatcher *testDispatcher
	address    string
	gate       *gatedListener
	stop       func() // ends the frontend and waits until it has ended
	beginEnd   func() // ends the frontend without waiting
}

// gatedListener is a listener with a gate. While the gate is closed, a Read of one of its connections that has got data does not return.
type gatedListener struct {
	*net.TCPListener

	mu      sync.Mutex
	barrier chan struct{} // closed when the gate opens; nil: the gate is open
	held    chan struct{} // receives a value for each Read that is held back
}

// close closes the gate. The function that it returns opens the gate again.
func (g *gatedListener) close() (open func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	barrier := make(chan struct{})
	g.barrier, g.held = barrier, make(chan struct{}, 100)
	return func() {
		g.mu.Lock()
		g.barrier = nil
		g.mu.Unlock()
		close(barrier)
	}
}

func (g *gatedListener) Accept() (net.Conn, error) {
	c, err := g.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{c.(*net.TCPConn), g}, nil
}

// gatedConn is a connection of a gatedListener.
type gatedConn struct {
	*net.TCPConn
	gate *gatedListener
}

func (c gatedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.gate.mu.Lock()
	barrier, held := c.gate.barrier, c.gate.held
	c.gate.mu.Unlock()
	if barrier != nil && n > 0 {
		held <- struct{}{}
		<-barrier
	}
	return n, err
}

// startServer starts a frontend whose queries are answered by answer. A query for which answer returns false stays open; nil leaves all
// open.
func startServer(t *testing.T, o Options, answer func(q *dispatch.Query) (dispatch.Outcome, bool)) *testServer {
	t.Helper()
	gate := &gatedListener{}
	s := startServerOn(t, o, answer, func(l *net.TCPListener) Listener {
		gate.TCPListener = l
		return gate
	})
	s.gate = gate
	return s
}

// startServerOn starts a frontend as startServer does, on the listener that wrap returns for a TCP listener.
func startServerOn(t *testing.T, o Options, answer func(q *dispatch.Query) (dispatch.Outcome, bool),
	wrap func(*net.TCPListener) Listener) *testServer {
	t.Helper()
	d := &testDispatcher{answer: answer, open: map[string]*dispatch.Query{}, disconnected: make(chan string, 100)}
	o.Settings = testSettings()
	s := &testServer{t: t, dispatcher: d, frontend: New(o, frontend.NewIntake(d, dispatch.NewClock(), frontend.Settings{}))}
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	listener := wrap(l)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.frontend.Serve(ctx, listener) }()
	s.beginEnd = cancel
	var once sync.Once
	s.stop = func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(func() {
		if t.Failed() {
			d.stop()
		}
		s.stop()
	})
	return s
}

// client is a client's connection to a frontend.
type client struct {
	t *testing.T
	net.Conn
	r   *bufio.Reader
	key pgwire.Key // from BackendKeyData
}

// startupMessage is a start-up message.
var startupMessage = append([]byte{0, 0, 0, 30, 0, 3, 0, 0}, "user\x00app\x00database\x00dw\x00\x00"...)

// message returns a client's message.
func message(kind byte, body string) []byte {
	n := len(body) + 4
	return append([]byte{kind, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, body...)
}

// query returns the message of a simple query.
func query(text string) []byte { return message('Q', text+"\x00") }

// connect opens a connection without sending anything.
func (s *testServer) connect() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return &client{t: s.t, Conn: conn, r: bufio.NewReader(conn)}
}

// session opens a connection and starts a session.
func (s *testServer) session() *client {
	s.t.Helper()
	c := s.connect()
	send(c, startupMessage)
	if got := c.until('Z'); !strings.HasPrefix(got, "R") {
		s.t.Fatalf("start-up answered with %s", got)
	}
	return c
}

// until reads messages up to the first of kind last, or to the end of the connection, and returns their kinds. The SQLSTATE of an error,
// and its pause in milliseconds, follow its kind in parentheses; "." stands for the end of the connection.
func (c *client) until(last byte) (kinds string) {
	for {
		kind, body, err := pgwire.ReadMessage(c.r, nil, 1<<20)
		if err != nil {
			return kinds + "."
		}
		kinds += string(kind)
		if kind == 'K' {
			c.key = pgwire.Key{Process: binary.BigEndian.Uint32(body[:4]), Secret: binary.BigEndian.Uint32(body[4:])}
		}
		if kind == 'E' {
			for f := range strings.SplitSeq(string(body), "\x00") {
				if strings.HasPrefix(f, "C") {
					kinds += "(" + f[1:] + ")"
				}
				if _, ms, ok := strings.Cut(f, "pause="); ok && f[0] == 'M' {
					kinds += "(pause " + ms + ")"
				}
			}
		}
		if kind == last {
			return kinds
		}
	}
}

// queryWithFields returns the message of a query of class lookup with the required fields before the statement.
func queryWithFields(trace int, statement string) []byte {
	return query(fmt.Sprintf("/* route=lookup,trace=%016x,patience=2000 */ %s", trace, statement))
}

// waitForOpen waits until exactly n queries are open at the dispatcher.
func (s *testServer) waitForOpen(n int) {
	s.t.Helper()
	for range 5000 {
		s.dispatcher.mu.Lock()
		open := len(s.dispatcher.open)
		s.dispatcher.mu.Unlock()
		if open == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	s.t.Fatalf("the dispatcher does not have %d open queries", n)
}

// awaitSession waits until a condition holds for the state of a session.
func (s *testServer) awaitSession(condition func(*sessionState) bool) {
	s.t.Helper()
	for range 5000 {
		if s.anySession(condition) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	s.t.Fatal("no session is in the expected state")
}

// anySession reports whether a condition holds for the state of a session.
func (s *testServer) anySession(condition func(*sessionState) bool) (found bool) {
	s.frontend.mu.Lock()
	defer s.frontend.mu.Unlock()
	for _, o := range s.frontend.sessions {
		o.mu.Lock()
		found = found || condition(&o.state)
		o.mu.Unlock()
	}
	return found
}

// cancelRequest returns the CancelRequest for the session with key k.
func cancelRequest(k pgwire.Key) []byte {
	b := []byte{0, 0, 0, 16, 4, 210, 22, 46}
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, k.Process), k.Secret)
}

// send writes messages. An error is ignored: if the frontend has closed the connection, the test notices when it reads.
func send(c io.Writer, messages []byte) { _, _ = c.Write(messages) }

// closeConn closes a connection or listener of the test.
func closeConn(t *testing.T, c io.Closer) {
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// gatedConn must keep the methods of its TCP connection.
var _ clientConn = gatedConn{}
