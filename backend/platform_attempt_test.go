package backend

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"embershunt/dispatch"
	"embershunt/internal/lineproto"
	"embershunt/nodelist"
	"embershunt/policy"
	"embershunt/simulated"
)

// platformFleet is a fleet with one node that speaks lines.
type platformFleet struct {
	*Fleet
	t        *testing.T
	events   eventRecorder
	clock    dispatch.Clock
	progress []policy.Progress

	startBefore policy.Micros // of the attempts sent
}

func newPlatformFleet(t *testing.T, o Options, addresses ...string) *platformFleet {
	t.Helper()
	f := &platformFleet{t: t, clock: dispatch.NewClock(), events: eventRecorder{make(chan dispatch.Event, 10000)}}
	o.Clock, o.ConnectTimeout = f.clock, 200*time.Millisecond
	f.Fleet = New(o)
	f.Bind(f.events)
	t.Cleanup(func() { f.Close() })
	var nodes []nodelist.Node
	for i, a := range addresses {
		nodes = append(nodes, nodelist.Node{ID: fmt.Sprintf("n%d", i), Platform: a})
	}
	if err := f.SetNodes(nodes); err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *platformFleet) send(id string, n int, node string, within time.Duration) {
	now := f.clock.Now()
	f.Send(dispatch.Attempt{Query: &dispatch.Query{ID: "q-" + id, Deadline: now + 1e7, Work: &lineproto.Request{ID: id, Class: "lookup",
		Text: "SELECT 1", Priority: -1}}, Number: n, Node: node, Deadline: now + within.Microseconds(), StartBefore: f.startBefore})
}

func (f *platformFleet) end() dispatch.AttemptEnded {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			f.t.Fatal("no end in 5 s")
		case ev := <-f.events.events:
			switch ev := ev.(type) {
			case dispatch.AttemptEnded:
				return ev
			case dispatch.PolicyEvent:
				if p, ok := ev.Event.(policy.Progress); ok {
					f.progress = append(f.progress, p)
				}
			}
		}
	}
}

func rowsOf(r any) string {
	result, ok := r.(*lineproto.Result)
	if !ok {
		return ""
	}
	var b strings.Builder
	result.Rows(func(c [][]byte) { fmt.Fprintf(&b, "%s|%s|%s;", c[0], c[1], c[2]) })
	return b.String()
}

// Every way in which a node may end an attempt over lines, with care for what may have run.
func TestEndsOfLineAttempts(t *testing.T) {
	say := func(word, fields, body string) func(net.Conn, simulated.LineCommand) {
		return func(c net.Conn, cmd simulated.LineCommand) {
			if cmd.Verb == "GET" {
				fmt.Fprint(c, simulated.LineAnswer(cmd.ID, word, fields, body))
			}
		}
	}
	raw := func(text string) func(net.Conn, simulated.LineCommand) {
		return func(c net.Conn, cmd simulated.LineCommand) { fmt.Fprint(c, strings.ReplaceAll(text, "ID", cmd.ID)) }
	}
	paged := func(page func(n int) string) func(net.Conn, simulated.LineCommand) {
		return func(c net.Conn, cmd simulated.LineCommand) {
			switch cmd.Verb {
			case "GET":
				fmt.Fprint(c, simulated.LineAnswer(cmd.ID, "data", "total=3,rep=busy:0.5;rif:7", "a\tb\tc\n"))
			case "PAGE":
				fmt.Fprint(c, page(cmd.N))
			}
		}
	}
	whole := func(n int) string {
		return simulated.LineAnswer("id", "page", fmt.Sprintf("index=%d", n), fmt.Sprintf("p\t%d\t\n", n))
	}
	cases := []struct {
		name string
		play func(net.Conn, simulated.LineCommand)
		code policy.Code
		rows string
	}{
		{"one page", say("data", "total=1", "a\tb\tc\nd\te\tf\n"), policy.OK, "a|b|c;d|e|f;"},
		{"no rows", say("data", "total=1", ""), policy.OK, ""},
		{"three pages", paged(whole), policy.OK, "a|b|c;p|1|;p|2|;"},
		{"pages in another order, each twice", func(c net.Conn, cmd simulated.LineCommand) {
			if cmd.Verb == "GET" {
				paged(nil)(c, cmd)
			} else if cmd.Verb == "PAGE" && cmd.N == 2 {
				fmt.Fprint(c, whole(2)+whole(2)+whole(1)+whole(1))
			}
		}, policy.OK, "a|b|c;p|1|;p|2|;"},
		{"a second copy and an answer to nobody before it", raw(simulated.LineAnswer("other", "data", "total=1", "x\ty\tz\n") +
			simulated.LineAnswer("ID", "data", "total=1", "a\tb\tc\n") + simulated.LineAnswer("ID", "data", "total=1", "a\tb\tc\n")), policy.OK, "a|b|c;"},
		{"full", say("full", "", ""), policy.Rejected, ""},
		{"moot", say("moot", "", ""), policy.NeverSent, ""},
		{"failed", say("failed", "", "what went wrong"), policy.Failed, ""},
		{"a page that its node has lost", paged(func(int) string { return simulated.LineAnswer("id", "failed", "", "") }), policy.Failed, ""},
		{"a page beyond the last", paged(func(int) string { return whole(7) }), policy.Failed, ""},
		{"a page within a row", say("data", "total=1", "a\tb\tc\nd\te"), policy.Failed, ""},
		{"a row of two columns", say("data", "total=1", "a\tb\n"), policy.Failed, ""},
		{"noise in a row", say("data", "total=1", "a\t\xff\xfe\tc\n"), policy.Failed, ""},
		{"noise", raw("\x00\x01\x02 noise\r\n"), policy.Failed, ""},
		{"an endless line", raw(strings.Repeat("x", 100000)), policy.Failed, ""},
		{"3 GB", raw("ID data total=1 3000000000\r\n" + strings.Repeat("x", 100000)), policy.Failed, ""},
		{"a negative length", raw("ID data total=1 -5\r\nabc\r\n"), policy.Failed, ""},
		{"a length that does not fit", raw("ID data total=1 3\r\na\tb\tc\n\r\n"), policy.Failed, ""},
		{"no total", say("data", "", "a\tb\tc\n"), policy.Failed, ""},
		{"cut short", func(c net.Conn, cmd simulated.LineCommand) {
			fmt.Fprintf(c, "%s data total=1 6\r\na\tb", cmd.ID)
			c.Close()
		}, policy.ConnectionReset, ""},
		{"reset under a request", func(c net.Conn, _ simulated.LineCommand) { simulated.ResetConn(c) }, policy.ConnectionReset, ""},
		{"never", func(net.Conn, simulated.LineCommand) {}, policy.TimedOut, ""},
		{"a whole page and then nothing", paged(func(int) string { return "" }), policy.TimedOut, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			node, err := simulated.NewLineNode("", c.play)
			if err != nil {
				t.Fatal(err)
			}
			defer node.Close()
			f := newPlatformFleet(t, Options{}, node.Address())
			f.send("id", 0, "n0", 300*time.Millisecond)
			end := f.end()
			if end.Code != c.code || rowsOf(end.Result) != c.rows {
				t.Errorf("code %d (%v), rows %q; want %d, %q", end.Code, end.Err, rowsOf(end.Result), c.code, c.rows)
			}
			if strings.Contains(c.name, "pages") && c.code == policy.OK && (end.Load == nil || end.Load.Util != 0.5 || end.Load.InFlight != 7) {
				t.Errorf("load %+v", end.Load)
			}
		})
	}
}

// What proves that nothing ran, and what does not: nobody listens, a new connection that breaks, a kept one that has ended.
func TestConnectionsOfLineAttempts(t *testing.T) {
	serve := func(c net.Conn, cmd simulated.LineCommand) {
		if cmd.Verb == "GET" {
			fmt.Fprint(c, simulated.LineAnswer(cmd.ID, "data", "total=1", "a\tb\tc\n"))
		}
	}
	node, err := simulated.NewLineNode("", serve)
	if err != nil {
		t.Fatal(err)
	}
	address := node.Address()
	f := newPlatformFleet(t, Options{}, address)
	broken := 2
	f.dialPlatform = func(ctx context.Context, address string) (net.Conn, error) {
		if broken--; broken >= 0 {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNRESET}
		}
		return dialTCP(ctx, address)
	}
	f.send("a", 0, "n0", time.Second)
	if end := f.end(); end.Code != policy.OK {
		t.Errorf("two new connections broke: code %d (%v)", end.Code, end.Err)
	}
	broken = maxPlatformConnAttempts
	f.send("b", 0, "n0", time.Second) // on the kept connection
	if end := f.end(); end.Code != policy.OK || node.Accepted() != 1 {
		t.Errorf("code %d (%v), %d connections", end.Code, end.Err, node.Accepted())
	}
	f.send("c", 0, "gone", time.Second)
	if end := f.end(); end.Code != policy.ConnectionRefused {
		t.Errorf("a node that is not listed: code %d", end.Code)
	}
	node.Close()
	broken = 0
	f.send("d", 0, "n0", time.Second)
	if end := f.end(); end.Code != policy.ConnectionRefused && end.Code != policy.ConnectionReset {
		t.Errorf("nobody listens: code %d (%v)", end.Code, end.Err)
	}
	f.send("e", 0, "n0", time.Second)
	if end := f.end(); end.Code != policy.ConnectionRefused {
		t.Errorf("nobody listens: code %d (%v)", end.Code, end.Err)
	}
	if node, err = simulated.NewLineNode(address, serve); err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	f.send("f", 0, "n0", time.Second)
	if end := f.end(); end.Code != policy.OK {
		t.Errorf("it is back: code %d (%v)", end.Code, end.Err)
	}
}

// A client that leaves while its attempt connects, or an attempt whose time is up then, tells nothing of the node: taken for a
// refused connection it would make the node cold for its whole ramp.
func TestWhatEndsWhileItConnectsIsNoFault(t *testing.T) {
	for _, within := range []time.Duration{5 * time.Second, 20 * time.Millisecond} {
		f := newPlatformFleet(t, Options{}, "127.0.0.1:1")
		dialling := make(chan struct{})
		f.dialPlatform = func(ctx context.Context, _ string) (net.Conn, error) {
			close(dialling)
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
		f.options.ConnectTimeout = 5 * time.Second
		f.send("id", 0, "n0", within)
		<-dialling
		if within == 5*time.Second {
			f.Cancel("q-id", 0)
		}
		if end := f.end(); end.Code != policy.NeverSent {
			t.Errorf("over within %v: code %d (%v), want %d", within, end.Code, end.Err, policy.NeverSent)
		}
	}
}

// What happened while a connection came up, or while a command before it was written, counts when the request is to be written: then
// it must not begin, and that it never ran is known.
func TestNothingBeginsLate(t *testing.T) {
	type crossing struct {
		f    *platformFleet
		rows []nodelist.Node
	}
	for name, cross := range map[string]func(c *crossing){
		"the client left":  func(c *crossing) { c.f.Cancel("q-id", 0) },
		"the node drains":  func(c *crossing) { c.rows[0].State = policy.Draining; c.f.SetNodes(c.rows) },
		"the node is gone": func(c *crossing) { c.f.SetNodes(nil) },
		"another node has its address": func(c *crossing) {
			c.rows[0].ID = "other"
			c.f.SetNodes(c.rows)
		},
		"the window is over": func(c *crossing) {
			for c.f.clock.Now() < c.f.attempt("q-id", 0).spec.StartBefore {
				time.Sleep(time.Millisecond)
			}
		},
		"the time is up": func(c *crossing) {
			for c.f.clock.Now() < c.f.attempt("q-id", 0).spec.Deadline {
				time.Sleep(time.Millisecond)
			}
		},
	} {
		for _, held := range []string{"connecting", "behind another command"} {
			t.Run(name+", "+held, func(t *testing.T) {
				node, err := simulated.NewLineNode("", func(conn net.Conn, cmd simulated.LineCommand) {
					if cmd.Verb == "GET" && cmd.ID != "before" {
						fmt.Fprint(conn, simulated.LineAnswer(cmd.ID, "data", "total=1", "a\tb\tc\n"))
					}
				})
				if err != nil {
					t.Fatal(err)
				}
				defer node.Close()
				f := newPlatformFleet(t, Options{MaxPlatformConns: 1}, node.Address())
				c := &crossing{f, []nodelist.Node{{ID: "n0", Platform: node.Address()}}}
				arrived, release := make(chan struct{}), func() {}
				within := 3 * time.Second
				if name == "the window is over" {
					f.startBefore = f.clock.Now() + 50000
				}
				if name == "the time is up" {
					within = 50 * time.Millisecond
				}
				if held == "connecting" {
					barrier := make(chan struct{})
					release = func() { close(barrier) }
					f.dialPlatform = func(_ context.Context, address string) (net.Conn, error) { // up in the very moment it is not wanted
						conn, err := dialTCP(context.Background(), address)
						close(arrived)
						<-barrier
						return conn, err
					}
					f.send("id", 0, "n0", within)
					<-arrived
				} else {
					f.send("before", 0, "n0", 5*time.Second)
					for len(node.Commands()) == 0 {
						time.Sleep(time.Millisecond)
					}
					shared := f.attempt("q-before", 0).protocol.(*platformAttempt).conn
					shared.writeMu.Lock()
					release = shared.writeMu.Unlock
					f.send("id", 0, "n0", within)
					for shared.attemptCount() < 2 {
						time.Sleep(time.Millisecond)
					}
				}
				cross(c)
				release()
				end := f.end()
				for end.ID == "q-before" { // ends with its node
					end = f.end()
				}
				if end.Code != policy.NeverSent {
					t.Errorf("code %d (%v), want %d", end.Code, end.Err, policy.NeverSent)
				}
				for _, cmd := range node.Commands() {
					if cmd.ID == "id" {
						t.Errorf("the node got %+v", cmd)
					}
				}
			})
		}
	}
}

// A second copy of an answer that comes when its attempt is over belongs to nobody: neither to the next attempt on the connection nor to
// the same query asked again.
func TestASecondCopyLater(t *testing.T) {
	first := ""
	node, err := simulated.NewLineNode("", func(c net.Conn, cmd simulated.LineCommand) {
		if cmd.Verb != "GET" {
			return
		}
		if first == "" {
			first = cmd.ID
		} else { // half of the copy, then the rest with the next answer behind it
			copied := simulated.LineAnswer(first, "data", "total=1", "old\t\t\n")
			fmt.Fprint(c, copied[:11])
			fmt.Fprint(c, copied[11:])
		}
		fmt.Fprint(c, simulated.LineAnswer(cmd.ID, "data", "total=1", cmd.ID+"\t\t\n"))
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	f := newPlatformFleet(t, Options{}, node.Address())
	for _, id := range []string{"a", "b", "c"} {
		f.send(id, 0, "n0", time.Second)
		if end := f.end(); end.Code != policy.OK || rowsOf(end.Result) != id+"||;" {
			t.Errorf("%s: code %d (%v), rows %q", id, end.Code, end.Err, rowsOf(end.Result))
		}
	}
	if node.Accepted() != 1 {
		t.Errorf("%d connections", node.Accepted())
	}
}

// A connection that ended before anything was written on it may tell so when the attempt is on another one already: that is no end of
// it, and it is not sent a second time while it runs.
func TestALateEndOfAnotherConnection(t *testing.T) {
	node, err := simulated.NewLineNode("", func(c net.Conn, cmd simulated.LineCommand) {
		if cmd.ID == "go" {
			fmt.Fprint(c, simulated.LineAnswer("id", "data", "total=1", "a\tb\tc\n"))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	f := newPlatformFleet(t, Options{MaxPlatformConns: 1}, node.Address())
	f.send("id", 0, "n0", 5*time.Second)
	for len(node.Commands()) == 0 {
		time.Sleep(time.Millisecond)
	}
	out := f.attempt("q-id", 0).protocol.(*platformAttempt)
	ended := &platformConn{fleet: f.Fleet, attempts: map[string]*platformAttempt{"id": out}}
	out.connClosed(ended, net.ErrClosed)
	if err := out.receive(ended, &lineproto.Answer{ID: "id", Word: lineproto.Failed}); err != nil {
		t.Error(err)
	}
	f.send("go", 0, "n0", 5*time.Second) // on the same connection
	if end := f.end(); end.ID != "q-id" || end.Code != policy.OK {
		t.Errorf("%s ended with code %d (%v)", end.ID, end.Code, end.Err)
	}
}

// Probes count among the connections held, and a connection that was closed makes room at once.
func TestEverySocketIsCounted(t *testing.T) {
	node, err := simulated.NewLineNode("", func(c net.Conn, cmd simulated.LineCommand) {
		if cmd.Verb == "GET" {
			fmt.Fprint(c, simulated.LineAnswer(cmd.ID, "data", "total=1", "a\tb\tc\n"))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	other, err := simulated.NewLineNode("", func(c net.Conn, cmd simulated.LineCommand) {
		fmt.Fprint(c, simulated.LineAnswer(cmd.ID, "data", "total=1", "a\tb\tc\n"))
	})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	f := newPlatformFleet(t, Options{MaxPlatformConns: 1}, node.Address(), other.Address())
	dialled := make(chan int64, 1)
	f.dialPlatform = func(ctx context.Context, address string) (net.Conn, error) {
		dialled <- f.PlatformConns()
		return dialTCP(ctx, address)
	}
	f.HealthCheck("n0")
	if n := <-dialled; n != 1 {
		t.Errorf("%d connections counted while a probe connects, want 1", n)
	}
	for f.PlatformConns() > 0 {
		time.Sleep(time.Millisecond)
	}
	for i := range 20 { // each has to take the other node's idle connection
		f.send(fmt.Sprintf("r%d", i), 0, fmt.Sprintf("n%d", i%2), time.Second)
		if end := f.end(); end.Code != policy.OK {
			t.Fatalf("attempt %d: code %d (%v)", i, end.Code, end.Err)
		}
		<-dialled
	}
}

// Attempts share a connection only where there are no more, never beyond what the node takes, and never with their own id.
func TestAttemptsShareConnectionsAtLast(t *testing.T) {
	hold := make(chan struct{})
	node, err := simulated.NewLineNode("", func(c net.Conn, cmd simulated.LineCommand) {
		if cmd.Verb == "GET" && cmd.ID == "last" {
			close(hold)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	f := newPlatformFleet(t, Options{MaxPlatformConns: 2, MaxAttemptsPerConn: 2}, node.Address())
	for i := range 4 {
		id := fmt.Sprintf("r%d", i)
		if i == 3 {
			id = "last"
		}
		f.send(id, 0, "n0", 3*time.Second)
		for len(node.Commands()) < i+1 {
			time.Sleep(time.Millisecond)
		}
	}
	<-hold
	if node.Accepted() != 2 {
		t.Errorf("%d connections for 4 attempts, want 2", node.Accepted())
	}
	f.send("more", 0, "n0", 3*time.Second)
	if end := f.end(); end.Code != policy.NeverSent {
		t.Errorf("no room on any connection: code %d (%v)", end.Code, end.Err)
	}
}

// A given-up request is dropped at its node, its late answer goes to nobody, and its id does not come back on the connection.
func TestGivenUpRequests(t *testing.T) {
	var mu sync.Mutex
	conns := map[string]net.Conn{}
	got := make(chan simulated.LineCommand, 10)
	node, err := simulated.NewLineNode("", func(c net.Conn, cmd simulated.LineCommand) {
		mu.Lock()
		conns[cmd.Verb] = c
		mu.Unlock()
		if cmd.Verb == "DROP" {
			fmt.Fprint(c, simulated.LineAnswer(cmd.ID, "data", "total=1", "late\t\t\n"))
		}
		if cmd.Verb == "GET" && cmd.Text == "SELECT 1" && len(got) > 1 {
			fmt.Fprint(c, simulated.LineAnswer(cmd.ID, "data", "total=1", "new\t\t\n"))
		}
		got <- cmd
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	f := newPlatformFleet(t, Options{}, node.Address())
	f.send("id", 0, "n0", 3*time.Second)
	for len(got) < 1 {
		time.Sleep(time.Millisecond)
	}
	f.Cancel("q-id", 0)
	if end := f.end(); end.Code != policy.Cancelled {
		t.Fatalf("code %d", end.Code)
	}
	for len(got) < 2 {
		time.Sleep(time.Millisecond)
	}
	f.send("id", 1, "n0", 3*time.Second)
	if end := f.end(); end.Code != policy.OK || rowsOf(end.Result) != "new||;" {
		t.Errorf("code %d, rows %q", end.Code, rowsOf(end.Result))
	}
	if node.Accepted() != 2 {
		t.Errorf("%d connections: the id came back where it had been given up", node.Accepted())
	}
}

// A node in place of another at its address inherits no connection, and one that has gone keeps none.
func TestANodeThatTakesAnAddress(t *testing.T) {
	node, err := simulated.NewLineNode("", func(c net.Conn, cmd simulated.LineCommand) {
		if cmd.Verb == "GET" {
			fmt.Fprint(c, simulated.LineAnswer(cmd.ID, "news", "why=p,datum=0.5", "")+simulated.LineAnswer(cmd.ID, "news", "why=w,datum=2", "")+
				simulated.LineAnswer(cmd.ID, "data", "total=1", ""))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	f := newPlatformFleet(t, Options{}, node.Address())
	f.send("a", 0, "n0", time.Second)
	f.end()
	want := []policy.Progress{{ID: "q-a", Endpoint: "n0", Kind: policy.FractionDone, Value: 0.5}, {ID: "q-a", Endpoint: "n0", Kind: policy.WaitingForTables, Value: 2}}
	if fmt.Sprint(f.progress) != fmt.Sprint(want) {
		t.Errorf("notes %v, want %v", f.progress, want)
	}
	f.SetNodes([]nodelist.Node{{ID: "n1", Platform: node.Address()}})
	f.send("b", 0, "n1", time.Second)
	if f.end(); node.Accepted() != 2 {
		t.Errorf("%d connections, want one for each node", node.Accepted())
	}
	f.SetNodes(nil)
	for f.PlatformConns() > 0 { // readers see the end of their connections
		time.Sleep(time.Millisecond)
	}
	if f.nodes["n0"] != nil || f.nodes["n1"] != nil || len(f.attempts) > 0 {
		t.Error("something is kept of nodes that have gone")
	}
}

func TestLoadReports(t *testing.T) {
	for s, want := range map[string]*policy.Load{
		"inflight:7;util:0.61":       {Util: 0.61, InFlight: 7, Queue: -1, Memory: -1, Disk: -1},
		"rif:7;busy:0.61;q:2;x0:0.5": {Util: 0.61, InFlight: 7, Queue: 2, Memory: 0.5, Disk: -1},
		"":                           nil,
		"util:x":                     nil,
		"util:-1":                    nil,
		"util:NaN":                   nil,
	} {
		got := platformLoad(s)
		if (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("%q: %+v, want %+v", s, got, want)
		}
	}
}
