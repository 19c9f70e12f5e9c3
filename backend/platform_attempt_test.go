package backend

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"embershunt/internal/lineproto"
	"embershunt/nodelist"
	"embershunt/policy"
	"embershunt/simulated"
)

// nodeBehavior is how a node handles a command.
type nodeBehavior func(net.Conn, simulated.PlatformCommand)

// answering answers each request with one answer.
func answering(kind, fields, body string) nodeBehavior {
	return func(c net.Conn, cmd simulated.PlatformCommand) {
		if cmd.Verb == "GET" {
			reply(c, simulated.PlatformAnswer(cmd.ID, kind, fields, body))
		}
	}
}

// writing answers each command with a text, in which ID stands for the request's id.
func writing(text string) nodeBehavior {
	return func(c net.Conn, cmd simulated.PlatformCommand) { reply(c, strings.ReplaceAll(text, "ID", cmd.ID)) }
}

// paging answers with the first of three pages, and with answerPage where a further one is requested.
func paging(answerPage func(n int) string) nodeBehavior {
	return func(c net.Conn, cmd simulated.PlatformCommand) {
		switch cmd.Verb {
		case "GET":
			reply(c, simulated.PlatformAnswer(cmd.ID, "data", "total=3,rep=busy:0.5;rif:7", "a\tb\tc\n"))
		case "PAGE":
			reply(c, answerPage(cmd.N))
		}
	}
}

// page is a further page of the request "id".
func page(n int) string {
	return simulated.PlatformAnswer("id", "page", fmt.Sprintf("index=%d", n), fmt.Sprintf("p\t%d\t\n", n))
}

// duplicatePages answers with the further pages in another order, each twice.
func duplicatePages(c net.Conn, cmd simulated.PlatformCommand) {
	if cmd.Verb == "GET" {
		paging(nil)(c, cmd)
	} else if cmd.Verb == "PAGE" && cmd.N == 2 {
		reply(c, page(2)+page(2)+page(1)+page(1))
	}
}

// truncating closes the connection within an answer.
func truncating(t *testing.T) nodeBehavior {
	return func(c net.Conn, cmd simulated.PlatformCommand) {
		reply(c, cmd.ID+" data total=1 6\r\na\tb")
		closeConn(t, c)
	}
}

// The outcome of every way in which a node may end an attempt in the platform's protocol: conservative about what may have run.
func TestPlatformAttemptOutcomes(t *testing.T) {
	cases := []struct {
		name  string
		serve nodeBehavior
		code  policy.Code
		rows  string
	}{
		{"one page", answering("data", "total=1", "a\tb\tc\nd\te\tf\n"), policy.OK, "a|b|c;d|e|f;"},
		{"no rows", answering("data", "total=1", ""), policy.OK, ""},
		{"three pages", paging(page), policy.OK, "a|b|c;p|1|;p|2|;"},
		{"pages in another order, each twice", duplicatePages, policy.OK, "a|b|c;p|1|;p|2|;"},
		{"a duplicate, and an answer to an unknown request before it", writing(simulated.PlatformAnswer("other", "data", "total=1", "x\ty\tz\n") +
			simulated.PlatformAnswer("ID", "data", "total=1", "a\tb\tc\n") + simulated.PlatformAnswer("ID", "data", "total=1", "a\tb\tc\n")), policy.OK, "a|b|c;"},
		{"full", answering("full", "", ""), policy.Rejected, ""},
		{"expired", answering("moot", "", ""), policy.NeverSent, ""},
		{"failed", answering("failed", "", "what went wrong"), policy.Failed, ""},
		{"a page that its node has lost", paging(func(int) string { return simulated.PlatformAnswer("id", "failed", "", "") }), policy.Failed, ""},
		{"a page for which its node is full", paging(func(int) string { return simulated.PlatformAnswer("id", "full", "", "") }), policy.Failed, ""},
		{"a page whose time is over", paging(func(int) string { return simulated.PlatformAnswer("id", "moot", "", "") }), policy.Failed, ""},
		{"a page beyond the last", paging(func(int) string { return page(7) }), policy.Failed, ""},
		{"a page within a row", answering("data", "total=1", "a\tb\tc\nd\te"), policy.Failed, ""},
		{"a row of two columns", answering("data", "total=1", "a\tb\n"), policy.Failed, ""},
		{"noise in a row", answering("data", "total=1", "a\t\xff\xfe\tc\n"), policy.Failed, ""},
		{"noise", writing("\x00\x01\x02 noise\r\n"), policy.Failed, ""},
		{"an endless line", writing(strings.Repeat("x", 100000)), policy.Failed, ""},
		{"3 GB", writing("ID data total=1 3000000000\r\n" + strings.Repeat("x", 100000)), policy.Failed, ""},
		{"a negative length", writing("ID data total=1 -5\r\nabc\r\n"), policy.Failed, ""},
		{"a length that does not fit", writing("ID data total=1 3\r\na\tb\tc\n\r\n"), policy.Failed, ""},
		{"no total", answering("data", "", "a\tb\tc\n"), policy.Failed, ""},
		{"truncated", truncating(t), policy.ConnectionReset, ""},
		{"reset under a request", func(c net.Conn, _ simulated.PlatformCommand) { simulated.ResetConn(c) }, policy.ConnectionReset, ""},
		{"no answer", func(net.Conn, simulated.PlatformCommand) {}, policy.TimedOut, ""},
		{"a complete page and then nothing", paging(func(int) string { return "" }), policy.TimedOut, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			node, err := simulated.NewPlatformNode("", c.serve)
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
			if strings.Contains(c.name, "pages") && c.code == policy.OK && (end.Load == nil || end.Load.Utilization != 0.5 || end.Load.InFlight != 7) {
				t.Errorf("load %+v", end.Load)
			}
		})
	}
}

// A client that disconnects while its attempt connects, or an attempt whose deadline passes then, says nothing about the node: taken for
// a refused connection it would put the node through a whole slow start.
func TestEndWhileConnectingIsNoFault(t *testing.T) {
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

// What happens while a connection is established, or while a command before it is written, counts when the request is to be written:
// then it must not start, and it is known that it never ran.
func TestNothingStartsLate(t *testing.T) {
	for name, change := range map[string]func(f *platformFleet, rows []nodelist.Node){
		"the client disconnected": func(f *platformFleet, _ []nodelist.Node) { f.Cancel("q-id", 0) },
		"the node drains": func(f *platformFleet, rows []nodelist.Node) {
			rows[0].State = policy.Draining
			f.setNodes(rows)
		},
		"the node is removed": func(f *platformFleet, _ []nodelist.Node) { f.setNodes(nil) },
		"another node has its address": func(f *platformFleet, rows []nodelist.Node) {
			rows[0].ID = "other"
			f.setNodes(rows)
		},
		windowOver: func(f *platformFleet, _ []nodelist.Node) {
			for f.clock.Now() < f.attempt("q-id", 0).spec.StartBefore {
				time.Sleep(time.Millisecond)
			}
		},
		deadlineOver: func(f *platformFleet, _ []nodelist.Node) {
			for f.clock.Now() < f.attempt("q-id", 0).spec.Deadline {
				time.Sleep(time.Millisecond)
			}
		},
	} {
		for blocking, block := range map[string]func(*platformFleet, *simulated.PlatformNode, time.Duration) func(){
			"connecting": sendConnecting, "behind another command": sendBehindAnother,
		} {
			t.Run(name+", "+blocking, func(t *testing.T) {
				node, err := simulated.NewPlatformNode("", func(conn net.Conn, cmd simulated.PlatformCommand) {
					if cmd.Verb == "GET" && cmd.ID != "before" {
						reply(conn, simulated.PlatformAnswer(cmd.ID, "data", "total=1", "a\tb\tc\n"))
					}
				})
				if err != nil {
					t.Fatal(err)
				}
				defer node.Close()
				f := newPlatformFleet(t, Options{MaxPlatformConns: 1}, node.Address())
				timeout := 3 * time.Second
				switch name {
				case windowOver:
					f.startBefore = f.clock.Now() + 50000
				case deadlineOver:
					timeout = 50 * time.Millisecond
				}
				release := block(f, node, timeout)
				change(f, []nodelist.Node{{ID: "n0", Platform: node.Address()}})
				release()
				checkNeverSent(t, f, node)
			})
		}
	}
}

// Cases of TestNothingStartsLate that need settings of their own.
const (
	windowOver   = "the window is over"
	deadlineOver = "the deadline is over"
)

// sendConnecting sends the attempt "id", whose connection is established when release is called: in the very moment in which it is
// not wanted any more.
func sendConnecting(f *platformFleet, _ *simulated.PlatformNode, timeout time.Duration) (release func()) {
	arrived, barrier := make(chan struct{}), make(chan struct{})
	f.dialPlatform = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(context.WithoutCancel(ctx), address)
		close(arrived)
		<-barrier
		return conn, err
	}
	f.send("id", 0, "n0", timeout)
	<-arrived
	return func() { close(barrier) }
}

// sendBehindAnother sends the attempt "id" on a connection on which a command is being written until release is called.
func sendBehindAnother(f *platformFleet, node *simulated.PlatformNode, timeout time.Duration) (release func()) {
	f.send("before", 0, "n0", 5*time.Second)
	for len(node.Commands()) == 0 {
		time.Sleep(time.Millisecond)
	}
	shared := f.attempt("q-before", 0).protocol.(*platformAttempt).conn
	shared.writeMu.Lock()
	f.send("id", 0, "n0", timeout)
	for shared.attemptCount() < 2 {
		time.Sleep(time.Millisecond)
	}
	return shared.writeMu.Unlock
}

// checkNeverSent waits for the end of the attempt "id" and checks that it was never sent, and is known as such.
func checkNeverSent(t *testing.T, f *platformFleet, node *simulated.PlatformNode) {
	t.Helper()
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
}

// A duplicate of an answer that arrives when its attempt is over is ignored: it goes neither to the next attempt on the connection nor to
// the same query sent again.
func TestDuplicateAnswerAfterTheEnd(t *testing.T) {
	first := ""
	node, err := simulated.NewPlatformNode("", func(c net.Conn, cmd simulated.PlatformCommand) {
		if cmd.Verb != "GET" {
			return
		}
		if first == "" {
			first = cmd.ID
		} else { // half of the copy, then the rest with the next answer behind it
			copied := simulated.PlatformAnswer(first, "data", "total=1", "old\t\t\n")
			reply(c, copied[:11])
			reply(c, copied[11:])
		}
		reply(c, simulated.PlatformAnswer(cmd.ID, "data", "total=1", cmd.ID+"\t\t\n"))
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

// The end of a connection on which nothing was written may be noticed when the attempt is on another one already: that does not end the
// attempt, which is not sent a second time while it runs.
func TestLateCloseOfAnotherConnection(t *testing.T) {
	node, err := simulated.NewPlatformNode("", func(c net.Conn, cmd simulated.PlatformCommand) {
		if cmd.ID == "go" {
			reply(c, simulated.PlatformAnswer("id", "data", "total=1", "a\tb\tc\n"))
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
	ended := newPlatformConn(f.Fleet, &f.nodes["n0"].platform, &net.TCPConn{}, out)
	out.connClosed(ended, net.ErrClosed)
	if err := out.receive(ended, &lineproto.Answer{ID: "id", Kind: lineproto.Failed}); err != nil {
		t.Error(err)
	}
	f.send("go", 0, "n0", 5*time.Second) // on the same connection
	if end := f.end(); end.ID != "q-id" || end.Code != policy.OK {
		t.Errorf("%s ended with code %d (%v)", end.ID, end.Code, end.Err)
	}
}

// An abandoned request is dropped on its node, its late answer is ignored, and its id is not used again on the connection.
func TestAbandonedRequests(t *testing.T) {
	got := make(chan simulated.PlatformCommand, 10)
	node, err := simulated.NewPlatformNode("", func(c net.Conn, cmd simulated.PlatformCommand) {
		if cmd.Verb == "DROP" {
			reply(c, simulated.PlatformAnswer(cmd.ID, "data", "total=1", "late\t\t\n"))
		}
		if cmd.Verb == "PING" {
			reply(c, simulated.PlatformAnswer(cmd.ID, "well", "", ""))
		}
		if cmd.Verb == "GET" && cmd.Text == "SELECT 1" && len(got) > 1 {
			reply(c, simulated.PlatformAnswer(cmd.ID, "data", "total=1", "new\t\t\n"))
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
		t.Errorf("%d connections: the id was used again where it had been abandoned", node.Accepted())
	}
}

// A priority that waits behind another command reaches the node neither before its request nor after the request's end.
func TestPriorityOnlyWhileTheRequestRuns(t *testing.T) {
	answer := make(chan struct{})
	node, err := simulated.NewPlatformNode("", func(c net.Conn, cmd simulated.PlatformCommand) {
		if cmd.ID == "id" && cmd.Verb == "GET" {
			<-answer
			reply(c, simulated.PlatformAnswer("id", "data", "total=1", ""))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	f := newPlatformFleet(t, Options{MaxPlatformConns: 1}, node.Address())
	release := sendBehindAnother(f, node, 5*time.Second)
	request := f.attempt("q-id", 0).protocol.(*platformAttempt)
	for _, when := range []func(){release, func() { close(answer); f.end(); request.conn.writeMu.Unlock() }} {
		changed := make(chan struct{})
		go func() { request.setPriority(3); close(changed) }()
		for range 1000 { // it waits for the command before it
			runtime.Gosched()
		}
		when()
		<-changed
		for len(node.Commands()) < 2 {
			time.Sleep(time.Millisecond)
		}
		request.conn.writeMu.Lock()
	}
	request.conn.writeMu.Unlock()
	f.send("last", 0, "n0", 5*time.Second) // on the same connection
	for commands := node.Commands(); commands[len(commands)-1].ID != "last"; commands = node.Commands() {
		time.Sleep(time.Millisecond)
	}
	commands := node.Commands()
	if commands[1].Verb != "GET" {
		t.Errorf("the priority came before its request: %v", commands)
	}
	if len(commands) > 4 || len(commands) == 4 && commands[2].Verb != "RANK" {
		t.Errorf("the priority came again, after the end of its request: %v", commands)
	}
}
