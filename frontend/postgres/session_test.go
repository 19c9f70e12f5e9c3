package postgres

import (
	"bufio"
	"context"
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

// dispatcher is what a front posts to: it answers, or keeps queries until a test does.
type testDispatcher struct {
	answer func(q *dispatch.Query) (dispatch.Outcome, bool)

	mu           sync.Mutex
	open         map[string]*dispatch.Query
	disconnected chan string
}

func (d *testDispatcher) Post(ev dispatch.Event) {
	switch ev := ev.(type) {
	case dispatch.QueryReceived:
		d.mu.Lock()
		d.open[ev.Query.ID] = ev.Query
		d.mu.Unlock()
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
			d.disconnected <- q.Work.(*lineproto.Request).ID
		}
	}
}

// servedRows is a served answer of so many rows.
func servedRows(rows int) dispatch.Outcome {
	r := &lineproto.Result{}
	a, err := lineproto.NewReader(strings.NewReader(fmt.Sprintf("a data total=1 %d\r\n%s\r\n", 6*rows, strings.Repeat("x\ty\tz\n", rows)))).Read()
	if err != nil {
		panic(err)
	}
	r.Add(&a)
	return dispatch.Outcome{Kind: dispatch.Served, Result: r}
}

type testServer struct {
	t          *testing.T
	front      *Front
	dispatcher *testDispatcher
	address    string
	gate       *gatedListener
	stop       func()
	beginEnd   func() // tells the front to end, without waiting for it
}

// gatedListener is a listener whose connections hold back what they have read while it is shut.
type gatedListener struct {
	*net.TCPListener

	mu      sync.Mutex
	barrier chan struct{} // nil: open
	held    chan struct{} // gets a value for each read that is held back
}

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

func startServer(t *testing.T, o Options, answer func(q *dispatch.Query) (dispatch.Outcome, bool)) *testServer {
	t.Helper()
	d := &testDispatcher{answer: answer, open: map[string]*dispatch.Query{}, disconnected: make(chan string, 100)}
	o.Settings = testSettings()
	s := &testServer{t: t, dispatcher: d, front: New(o, frontend.NewIntake(d, dispatch.NewClock(), frontend.Tables{}))}
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	s.gate = &gatedListener{TCPListener: l}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.front.Serve(ctx, s.gate) }()
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
	t.Cleanup(s.stop)
	return s
}

// client is one connection to a front.
type client struct {
	t *testing.T
	net.Conn
	r   *bufio.Reader
	key pgwire.Key
}

var startupMessage = append([]byte{0, 0, 0, 30, 0, 3, 0, 0}, "user\x00app\x00database\x00dw\x00\x00"...)

func message(kind byte, body string) []byte {
	n := len(body) + 4
	return append([]byte{kind, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, body...)
}

func query(text string) []byte { return message('Q', text+"\x00") }

func (s *testServer) connect() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	s.t.Cleanup(func() { conn.Close() })
	return &client{t: s.t, Conn: conn, r: bufio.NewReader(conn)}
}

// session connects and shakes hands.
func (s *testServer) session() *client {
	s.t.Helper()
	c := s.connect()
	c.Write(startupMessage)
	if got := c.until('Z'); !strings.HasPrefix(got, "R") {
		s.t.Fatalf("start-up answered with %s", got)
	}
	return c
}

// until reads messages up to one of a kind, or to the end, and returns their kinds; an error's SQLSTATE stands behind it.
func (c *client) until(last byte) (kinds string) {
	for {
		kind, body, err := pgwire.ReadMessage(c.r, nil, 1<<20)
		if err != nil {
			return kinds + "."
		}
		kinds += string(kind)
		if kind == 'K' {
			c.key = pgwire.Key{Process: uint32(body[0])<<24 | uint32(body[1])<<16 | uint32(body[2])<<8 | uint32(body[3]),
				Secret: uint32(body[4])<<24 | uint32(body[5])<<16 | uint32(body[6])<<8 | uint32(body[7])}
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

func queryWithFields(trace int, rest string) []byte {
	return query(fmt.Sprintf("/* route=lookup,trace=%016x,patience=2000 */ %s", trace, rest))
}

// The final answers as clients see them. None but a refusal wears a code of class 53 or 57P03.
func TestFinalAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		v    dispatch.Outcome
		want string
	}{
		"served":        {servedRows(3), "TDDDCZ"},
		"no rows":       {servedRows(0), "TCZ"},
		"refused":       {dispatch.Outcome{Kind: dispatch.Shed, Reason: dispatch.ReasonOverload, RetryAfter: 250700}, "E(53000)(pause 250)Z"},
		"refused, full": {dispatch.Outcome{Kind: dispatch.Shed, Reason: dispatch.ReasonFull}, "E(53000)Z"},
		"draining":      {dispatch.Outcome{Kind: dispatch.Shed, Reason: dispatch.ReasonDraining}, "E(57P03)Z"},
		"failed":        {dispatch.Outcome{Kind: dispatch.Failed, Reason: dispatch.ReasonAttempt, RetryAfter: 5000}, "E(58000)Z"},
		"deadline":      {dispatch.Outcome{Kind: dispatch.Failed, Reason: dispatch.ReasonDeadline}, "E(57014)Z"},
		"stopped":       {dispatch.Outcome{Kind: dispatch.Failed, Reason: dispatch.ReasonStopped}, "E(57P01)Z"},
		"fault":         {dispatch.Outcome{Kind: dispatch.Failed, Reason: dispatch.ReasonInternal}, "E(XX000)Z"},
		"no result":     {dispatch.Outcome{Kind: dispatch.Served}, "E(XX000)Z"},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, Options{}, func(*dispatch.Query) (dispatch.Outcome, bool) { return c.v, true })
			cl := s.session()
			for i := range 2 {
				cl.Write(queryWithFields(i, "SELECT 1"))
				if got := cl.until('Z'); got != c.want {
					t.Errorf("%s, want %s", got, c.want)
				}
			}
		})
	}
}

// The first query may come right behind the start-up message, and anything may come in pieces; ready is told by an answer to
// the empty query.
func TestQueriesInPieces(t *testing.T) {
	s := startServer(t, Options{}, func(q *dispatch.Query) (dispatch.Outcome, bool) {
		if q.Work.(*lineproto.Request).Text != "SELECT 'ü'" || q.TableGroup != 0 || q.Deadline <= 0 {
			return dispatch.Outcome{Kind: dispatch.Failed}, true
		}
		return servedRows(1), true
	})
	whole := append(append([]byte{}, startupMessage...), queryWithFields(1, "SELECT 'ü'")...)
	for cut := 1; cut < len(whole); cut++ {
		c := s.connect()
		c.Write(whole[:cut])
		c.Write(whole[cut:])
		if got := c.until('Z') + c.until('Z'); !strings.HasSuffix(got, "KZTDCZ") {
			t.Fatalf("cut at %d: %s", cut, got)
		}
		c.Close()
	}
	c := s.connect()
	c.Write([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	if b, _ := c.r.ReadByte(); b != 'N' {
		t.Errorf("encryption answered with %q", b)
	}
	c.Write(startupMessage)
	c.until('Z')
	for _, empty := range []string{"", " ;\n"} {
		c.Write(query(empty))
		if got := c.until('Z'); got != "IZ" {
			t.Errorf("the empty query %q answered with %s", empty, got)
		}
	}
	c.Write(message('X', ""))
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("after the end: %v", err)
	}
}

// Whatever cannot be used gets an error that promises nothing, or a close, and disturbs nobody.
func TestBadClients(t *testing.T) {
	const begin = 200 * time.Millisecond
	s := startServer(t, Options{BeginTimeout: begin, MaxStatement: 4096}, func(q *dispatch.Query) (dispatch.Outcome, bool) {
		return servedRows(1), q.Work.(*lineproto.Request).Text != "SELECT held"
	})
	usual := s.session()
	usual.Write(queryWithFields(77, "SELECT held"))
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"noise":                      {[]byte("\x00\x01\x02\x03noise that is no start-up"), "E(08P01)."},
		"silence":                    {nil, "."},
		"half a start-up":            {startupMessage[:11], "E(08P01)."},
		"silence after the start-up": {startupMessage, "."},
		"half a query":               {append(startupMessage[:len(startupMessage):len(startupMessage)], queryWithFields(1, "SELECT 1")[:30]...), "E(08P01)."},
		"no fields":                  {query("SELECT 1"), "E(22023)Z"},
		"an unknown class":           {query("/* route=x,trace=9b1f03aa5c7e2d41,patience=15 */ SELECT 1"), "E(22023)Z"},
		"no id":                      {query("/* route=lookup,patience=15 */ SELECT 1"), "E(22023)Z"},
		"an id that is open":         {queryWithFields(77, "SELECT 2"), "E(55006)Z"},
		"60 MB":                      {append([]byte{'Q', 3, 0x93, 0x87, 0}, make([]byte, 100000)...), "E(54000)."},
		"a negative length":          {[]byte{'Q', 255, 255, 255, 240}, "E(08P01)."},
		"an unknown type":            {message('P', "x"), "E(0A000)."},
		"a statement without an end": {message('Q', "SELECT"), "E(08P01)."},
		"one behind an open one":     {append(queryWithFields(4, "SELECT held"), 0), "E(08P01)."},
	} {
		t.Run(name, func(t *testing.T) {
			var cl *client
			if strings.HasSuffix(c.want, "Z") || strings.HasPrefix(c.want, "E(5400") || c.in != nil && (c.in[0] == 'Q' || c.in[0] == 'P') {
				cl = s.session()
			} else {
				cl = s.connect()
			}
			begun := time.Now()
			cl.Write(c.in)
			got := cl.until('Z')
			if strings.HasPrefix(got, "R") {
				got = cl.until('Z')
			}
			if got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
			if took := time.Since(begun); took > 10*begin {
				t.Errorf("after %v", took)
			}
		})
	}
	s.dispatcher.mu.Lock()
	for _, q := range s.dispatcher.open {
		if q.Work.(*lineproto.Request).ID == fmt.Sprintf("%016x", 77) {
			q.Client.Answer(servedRows(1))
		}
	}
	s.dispatcher.mu.Unlock()
	if got := usual.until('Z'); got != "TDCZ" {
		t.Errorf("the usual client got %s", got)
	}
}

// Clients that send much at once and go without reading disturb nobody, and nothing of theirs stays.
func TestAFloodThatGoes(t *testing.T) {
	s := startServer(t, Options{MaxStatement: 4096}, func(*dispatch.Query) (dispatch.Outcome, bool) { return servedRows(1), true })
	usual := s.session()
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for j := range 25 {
				c, err := net.Dial("tcp", s.address)
				if err != nil {
					t.Error(err)
					return
				}
				c.Write(startupMessage)
				for k := range 50 {
					c.Write(queryWithFields(1000*i+50*j+k, strings.Repeat("SELECT 1 ", 100*(k%7))))
				}
				c.Close()
			}
		})
	}
	for i := range 100 {
		usual.Write(queryWithFields(1<<20+i, "SELECT 1"))
		if got := usual.until('Z'); got != "TDCZ" {
			t.Fatalf("the usual client got %s", got)
		}
	}
	group.Wait()
	s.stop()
	if len(s.front.sessions)+len(s.front.traces) > 0 {
		t.Errorf("%d sessions and %d ids are left", len(s.front.sessions), len(s.front.traces))
	}
}

// A client leaves by a cancel with its key, or by closing; another key does nothing. Its query is told as left, once.
func TestClientsThatLeave(t *testing.T) {
	s := startServer(t, Options{}, nil)
	wait := func() string {
		select {
		case id := <-s.dispatcher.disconnected:
			return id[14:]
		case <-time.After(5 * time.Second):
			t.Fatal("nobody left")
			return ""
		}
	}
	cancel := func(k pgwire.Key) {
		c := s.connect()
		c.Write([]byte{0, 0, 0, 16, 4, 210, 22, 46, byte(k.Process >> 24), byte(k.Process >> 16), byte(k.Process >> 8), byte(k.Process),
			byte(k.Secret >> 24), byte(k.Secret >> 16), byte(k.Secret >> 8), byte(k.Secret)})
		if _, err := c.r.ReadByte(); err == nil {
			t.Error("a cancel was answered")
		}
	}
	a, b := s.session(), s.session()
	a.Write(queryWithFields(1, "SELECT 1"))
	b.Write(queryWithFields(2, "SELECT 1"))
	s.opened(2)
	cancel(pgwire.Key{Process: a.key.Process, Secret: a.key.Secret + 1})
	cancel(a.key)
	if id := wait(); id != "01" {
		t.Errorf("%s left, want 01", id)
	}
	if got := a.until('Z'); got != "E(57014)Z" {
		t.Errorf("%s", got)
	}
	b.Close()
	if id := wait(); id != "02" {
		t.Errorf("%s left, want 02", id)
	}
	a.Write(queryWithFields(3, "SELECT 1")) // the session goes on
	s.opened(1)
}

// opened waits until so many queries are open at the desk.
func (s *testServer) opened(n int) {
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
	s.t.Fatalf("not %d open", n)
}

// At the front's bound silent connections make room, those with an open query never; where all have one, the newcomer is
// told that nothing was read.
func TestTooManyConnections(t *testing.T) {
	s := startServer(t, Options{MostSessions: 4, BeginTimeout: time.Minute}, nil)
	busy := s.session()
	busy.Write(queryWithFields(1, "SELECT 1"))
	s.opened(1)
	for range 20 { // silent ones, by the dozen
		s.connect()
	}
	other := s.session()
	other.Write(queryWithFields(2, "SELECT 1"))
	s.opened(2)
	for i := range 2 {
		c := s.session()
		c.Write(queryWithFields(3+i, "SELECT 1"))
		s.opened(3 + i)
	}
	if got := s.connect().until('Z'); got != "E(53300)." {
		t.Errorf("one too many: %s", got)
	}
	if open, away, _ := s.front.Counts(); open != 4 || away != 1 {
		t.Errorf("%d open, %d turned away", open, away)
	}
}

// In a flood of clients that ask once and stay, and of some that bring half a query, who has just connected is not the one to go:
// a query is on its way there, while an idle client only has to connect again.
func TestNewcomersAreNotTheFirstToGo(t *testing.T) {
	s := startServer(t, Options{MostSessions: 8, BeginTimeout: time.Minute}, func(*dispatch.Query) (dispatch.Outcome, bool) { return servedRows(0), true })
	for i := range 60 {
		fresh := s.session()
		for j := range 3 { // each asks once and stays
			c := s.session()
			c.Write(queryWithFields(10*i+j, "SELECT 1"))
			if got := c.until('Z'); got != "TCZ" {
				t.Fatalf("client %d.%d: %s", i, j, got)
			}
		}
		fresh.Write(queryWithFields(10*i+9, "SELECT 1"))
		if got := fresh.until('Z'); got != "TCZ" {
			t.Fatalf("the newcomer %d: %s", i, got)
		}
	}
}

// Commands sent at once are answered one after the other, whole and in order, however many there are; nothing is handed over before
// its turn.
func TestCommandsSentAtOnce(t *testing.T) {
	var mu sync.Mutex
	out, most, n := 0, 0, 0
	var s *testServer
	s = startServer(t, Options{}, func(q *dispatch.Query) (dispatch.Outcome, bool) {
		mu.Lock()
		defer mu.Unlock()
		out, n = out+1, n+1
		most = max(most, out)
		rows := n
		go func() {
			mu.Lock()
			out--
			mu.Unlock()
			q.Client.Answer(servedRows(rows))
		}()
		return dispatch.Outcome{}, false
	})
	c := s.connect()
	const many = 3 * maxPipelinedCommands
	all := append([]byte{}, startupMessage...)
	for i := range many {
		all = append(all, queryWithFields(i, "SELECT 1")...)
		if i == 5 {
			all = append(all, query("")...)
		}
	}
	go c.Write(all)
	c.until('Z')
	for i := range many {
		if got := c.until('Z'); got != "T"+strings.Repeat("D", i+1)+"CZ" {
			t.Fatalf("answer %d is %s", i, got)
		}
		if i == 5 {
			if got := c.until('Z'); got != "IZ" {
				t.Fatalf("the empty query in between: %s", got)
			}
		}
	}
	if most != 1 {
		t.Errorf("%d at once", most)
	}
}

// A client that leaves takes with it all it had sent ahead: one of it was handed over, and is told as left; so does one that calls off.
func TestWhoLeavesTakesAllAlong(t *testing.T) {
	for name, leave := range map[string]func(s *testServer, c *client){
		"close":     func(_ *testServer, c *client) { c.Close() },
		"terminate": func(_ *testServer, c *client) { c.Write(message('X', "")) },
		"cancel":    func(s *testServer, c *client) { s.front.cancel(c.key) },
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, Options{}, nil)
			c := s.session()
			c.Write(append(queryWithFields(1, "SELECT 1"), append(queryWithFields(2, "SELECT 1"), queryWithFields(3, "SELECT 1")...)...))
			s.opened(1)
			for ahead := 0; ahead < 2; { // both were read ahead
				s.front.mu.Lock()
				for _, o := range s.front.sessions {
					o.mu.Lock()
					ahead = len(o.state.commands)
					o.mu.Unlock()
				}
				s.front.mu.Unlock()
			}
			leave(s, c)
			if id := <-s.dispatcher.disconnected; id[14:] != "01" {
				t.Errorf("%s left", id)
			}
			if name == "cancel" {
				if got := c.until('Z') + c.until('Z') + c.until('Z'); got != "E(57014)ZE(53000)ZE(53000)Z" {
					t.Errorf("answers %s", got)
				}
			}
			s.stop()
			if len(s.dispatcher.open) > 0 || len(s.dispatcher.disconnected) > 0 {
				t.Errorf("%d handed over after the client left", len(s.dispatcher.open)+len(s.dispatcher.disconnected))
			}
		})
	}
}

// A call-off whose query has not been read yet: the query is not handed over when it comes.
func TestCallOffBeforeItsQuery(t *testing.T) {
	s := startServer(t, Options{}, nil)
	c := s.session()
	open := s.gate.close()
	c.Write(queryWithFields(1, "SELECT 1"))
	<-s.gate.held
	s.front.cancel(c.key)
	open()
	if got := c.until('Z'); got != "E(57014)Z" {
		t.Errorf("%s", got)
	}
	s.opened(0)
}

// A query that has been read but not looked at when its session is made to close: it is taken as a whole or not at all. Here the close
// comes first: the query is refused, since nothing runs for it, and never handed over.
func TestCloseAgainstAQuery(t *testing.T) {
	for name, shut := range map[string]func(s *testServer) bool{
		"evicted":        func(s *testServer) bool { return s.front.evict(false) },
		"end of a drain": func(s *testServer) bool { s.beginEnd(); <-s.front.closesBegun; return true },
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, Options{DrainIdle: time.Millisecond}, func(*dispatch.Query) (dispatch.Outcome, bool) { return servedRows(1), true })
			c := s.session()
			c.Write(queryWithFields(1, "SELECT 1"))
			c.until('Z')
			for resting := false; !resting; { // the answer is read before its worker has ended
				s.front.mu.Lock()
				for _, o := range s.front.sessions {
					phase, _, _ := o.snapshot()
					resting = phase == idle
				}
				s.front.mu.Unlock()
			}
			open := s.gate.close()
			c.Write(queryWithFields(2, "SELECT 1"))
			<-s.gate.held
			closed := shut(s)
			open()
			if !closed {
				t.Fatal("not closed")
			}
			if got := c.until('.'); got != "E(57P03)Z." {
				t.Errorf("%s", got)
			}
		})
	}
}

// An answer that is being written when its session is to go is written whole, and is the only one.
func TestNoCloseBeforeTheAnswer(t *testing.T) {
	s := startServer(t, Options{MostSessions: 1}, nil)
	c := s.session()
	c.Write(queryWithFields(1, "SELECT 1"))
	s.opened(1)
	if s.front.evict(false) {
		t.Fatal("a session with an open query was evicted")
	}
	s.beginEnd()
	s.dispatcher.mu.Lock()
	for _, q := range s.dispatcher.open {
		q.Client.Answer(servedRows(1000))
	}
	s.dispatcher.mu.Unlock()
	if got := c.until('.'); got != "T"+strings.Repeat("D", 1000)+"CZ." {
		t.Errorf("%d bytes of an answer", len(got))
	}
}

// Where all sessions are busy a client can still call off its query, and a newcomer reads that nothing was read, whatever it had sent.
func TestCallOffAtTheBound(t *testing.T) {
	s := startServer(t, Options{MostSessions: 1}, nil)
	busy := s.session()
	busy.Write(queryWithFields(1, "SELECT 1"))
	s.opened(1)
	for range 50 {
		c := s.connect()
		c.Write(append(append([]byte{}, startupMessage...), queryWithFields(2, "SELECT 1")...))
		if got := c.until('Z'); got != "E(53300)." {
			t.Fatalf("a newcomer got %s", got)
		}
	}
	c := s.connect()
	c.Write([]byte{0, 0, 0, 16, 4, 210, 22, 46, byte(busy.key.Process >> 24), byte(busy.key.Process >> 16), byte(busy.key.Process >> 8),
		byte(busy.key.Process), byte(busy.key.Secret >> 24), byte(busy.key.Secret >> 16), byte(busy.key.Secret >> 8), byte(busy.key.Secret)})
	if got := busy.until('Z'); got != "E(57014)Z" {
		t.Errorf("%s", got)
	}
}

// Who comes while the front ends, and has not been taken yet, is answered: the front goes on until nothing has come for a while.
// Resting sessions end without a reset.
func TestLateComersAtTheEnd(t *testing.T) {
	stopped := make(chan struct{})
	s := startServer(t, Options{DrainIdle: 50 * time.Millisecond}, func(*dispatch.Query) (dispatch.Outcome, bool) {
		<-stopped
		return dispatch.Outcome{Kind: dispatch.Shed, Reason: dispatch.ReasonDraining}, true
	})
	resting := s.session()
	late := s.connect()
	late.Write(append(append([]byte{}, startupMessage...), queryWithFields(1, "SELECT 1")...))
	s.beginEnd()
	later := s.connect()
	later.Write(append(append([]byte{}, startupMessage...), queryWithFields(2, "SELECT 1")...))
	close(stopped)
	for _, c := range []*client{late, later} {
		if got := c.until('Z') + c.until('Z'); !strings.HasSuffix(got, "ZE(57P03)Z") {
			t.Errorf("a late comer got %s", got)
		}
	}
	if _, err := resting.r.ReadByte(); err != io.EOF {
		t.Errorf("a resting session ends with %v", err)
	}
}

// A client that never stops sending does not hold up the end, neither while it is served nor when its session closes.
func TestTheEndDoesNotWaitForAFlood(t *testing.T) {
	var group sync.WaitGroup
	var s *testServer
	s = startServer(t, Options{DrainIdle: 5 * time.Millisecond}, func(q *dispatch.Query) (dispatch.Outcome, bool) {
		group.Go(func() { // while more is read ahead, as long as any is
			for i, ahead := 0, false; i < 100 && !ahead; i++ {
				time.Sleep(time.Millisecond)
				s.front.mu.Lock()
				for _, o := range s.front.sessions {
					o.mu.Lock()
					ahead = len(o.state.commands) > 0
					o.mu.Unlock()
				}
				s.front.mu.Unlock()
			}
			q.Client.Answer(servedRows(1))
		})
		return dispatch.Outcome{}, false
	})
	c := s.session()
	group.Go(func() { io.Copy(io.Discard, c.r) })
	group.Go(func() {
		batch := append(queryWithFields(1, "SELECT 1"), queryWithFields(2, "SELECT 1")...)
		for {
			if _, err := c.Write(batch); err != nil {
				return
			}
		}
	})
	begun := time.Now()
	s.stop()
	if took := time.Since(begun); took > 5*time.Second { // far beyond quiet, sweep and linger: as long as the flood goes on
		t.Errorf("the end took %v", took)
	}
	c.Close()
	group.Wait()
}

// What is open when the front stops gets its answer written before connections close.
func TestAnswersAreWrittenBeforeTheEnd(t *testing.T) {
	s := startServer(t, Options{}, nil)
	c := s.session()
	c.Write(queryWithFields(1, "SELECT 1"))
	s.opened(1)
	done := make(chan struct{})
	go func() { s.stop(); close(done) }()
	for _, q := range s.dispatcher.open { // the loop has ended: nobody else reads it
		q.Client.Answer(servedRows(1000))
	}
	if got := c.until('Z'); strings.Count(got, "D") != 1000 {
		t.Errorf("%d rows of 1000", strings.Count(got, "D"))
	}
	<-done
}

// Who sends again as soon as it is turned away waits, ever longer.
func TestBadQueriesInARowAreSlowed(t *testing.T) {
	s := startServer(t, Options{}, nil)
	c := s.session()
	begun := time.Now()
	for range 5 {
		c.Write(query("SELECT 1"))
		c.until('Z')
	}
	if took := time.Since(begun); took < 15*protocolErrorPause { // 1 + 2 + 4 + 8, before the fifth answer
		t.Errorf("five bad queries in %v", took)
	}
}
