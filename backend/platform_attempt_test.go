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

// answering returns a behavior that answers each request with one answer.
func answering(kind, fields, body string) nodeBehavior {
	return func(c net.Conn, cmd simulated.PlatformCommand) {
		if cmd.Verb == "GET" {
			reply(c, simulated.PlatformAnswer(cmd.ID, kind, fields, body))
		}
	}
}

// writing returns a behavior that answers each command with a text, in which ID stands for the request's id.
func writing(text string) nodeBehavior {
	return func(c net.Conn, cmd simulated.PlatformCommand) { reply(c, strings.ReplaceAll(text, "ID", cmd.ID)) }
}

// paging returns a behavior that answers a request with the first of three pages, and a command for a further page with answerPage.
func paging(answerPage func(n int) string) nodeBehavior {
	return func(c net.Conn, cmd simulated.PlatformCommand) {
		switch cmd.Verb {
		case "GET":
			reply(c, simulated.PlatformAnswer(cmd.ID, "data", "total=3,rep=busy:0.5;rif:7", "a\tb\tc\n"))
		case "PAGE":
			reply(c, answerPage(cmd.Number))
		}
	}
}

// page returns page n of the request "id", as the node writes it.
func page(n int) string {
	return simulated.PlatformAnswer("id", "page", fmt.Sprintf("index=%d", n), fmt.Sprintf("p\t%d\t\n", n))
}

// duplicatePages answers like paging, but sends the further pages in another order, each twice.
func duplicatePages(c net.Conn, cmd simulated.PlatformCommand) {
	if cmd.Verb == "GET" {
		paging(nil)(c, cmd)
	} else if cmd.Verb == "PAGE" && cmd.Number == 2 {
		reply(c, page(2)+page(2)+page(1)+page(1))
	}
}

// truncating returns a behavior that closes the connection in the middle of an answer.
func truncating(t *testing.T) nodeBehavior {
	return func(c net.Conn, cmd simulated.PlatformCommand) {
		reply(c, cmd.ID+" data total=1 6\r\na\tb")
		closeConn(t, c)
	}
}

// Checks the outcome of every way in which a node may end an attempt in the platform's protocol. Unless it is proved that the request
// did not run, the outcome must be one that means that it may have run.
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
		{"a duplicate, and an answer to an unknown request before it",
			writing(simulated.PlatformAnswer("other", "data", "total=1", "x\ty\tz\n") +
				simulated.PlatformAnswer("ID", "data", "total=1", "a\tb\tc\n") +
				simulated.PlatformAnswer("ID", "data", "total=1", "a\tb\tc\n")), policy.OK, "a|b|c;"},
		{"at capacity", answering("full", "", ""), policy.Rejected, ""},
		{"expired", answering("moot", "", ""), policy.NeverSent, ""},
		{"failed", answering("failed", "", "what went wrong"), policy.Failed, ""},
		{"a page that the node has lost", paging(func(int) string { return simulated.PlatformAnswer("id", "failed", "", "") }),
			policy.Failed, ""},
		{"a page for which the node is at capacity", paging(func(int) string { return simulated.PlatformAnswer("id", "full", "", "") }),
			policy.Failed, ""},
		{"an expired page", paging(func(int) string { return simulated.PlatformAnswer("id", "moot", "", "") }), policy.Failed, ""},
		{"a page beyond the last", paging(func(int) string { return page(7) }), policy.Failed, ""},
		{"a page that ends within a row", answering("data", "total=1", "a\tb\tc\nd\te"), policy.Failed, ""},
		{"a row of two columns", answering("data", "total=1", "a\tb\n"), policy.Failed, ""},
		{"a row that is not UTF-8", answering("data", "total=1", "a\t\xff\xfe\tc\n"), policy.Failed, ""},
		{"bytes that are not an answer", writing("\x00\x01\x02 noise\r\n"), policy.Failed, ""},
		{"a line without an end", writing(strings.Repeat("x", 100000)), policy.Failed, ""},
		{"a length of 3 GB", writing("ID data total=1 3000000000\r\n" + strings.Repeat("x", 100000)), policy.Failed, ""},
		{"a negative length", writing("ID data total=1 -5\r\nabc\r\n"), policy.Failed, ""},
		{"a length that does not fit", writing("ID data total=1 3\r\na\tb\tc\n\r\n"), policy.Failed, ""},
		{"no total in the first page", answering("data", "", "a\tb\tc\n"), policy.Failed, ""},
		{"connection closed within an answer", truncating(t), policy.ConnectionReset, ""},
		{"connection reset during a request", func(c net.Conn, _ simulated.PlatformCommand) { simulated.ResetConn(c) },
			policy.ConnectionReset, ""},
		{"no answer", func(net.Conn, simulated.PlatformCommand) {}, policy.TimedOut, ""},
		{"one complete page and no further one", paging(func(int) string { return "" }), policy.TimedOut, ""},
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
			if strings.Contains(c.name, "pages") && c.code == policy.OK &&
				(end.Load == nil || end.Load.Utilization != 0.5 || end.Load.InFlight != 7) {
				t.Errorf("load %+v, want utilization 0.5 and 7 in flight", end.Load)
			}
		})
	}
}

// An attempt that ends while it connects, because its client disconnects or its deadline passes, says nothing about the node. If it
// counted as a refused connection the node would go through a complete slow start.
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
			t.Errorf("attempt with a deadline in %v: code %d (%v), want %d", within, end.Code, end.Err, policy.NeverSent)
		}
	}
}

// An attempt may lose the permission to start while its connection is established, or while it waits for the write of another command.
// Its request must then not be written, and the attempt must be reported as never sent.
func TestNoSendAfterPermissionEnds(t *testing.T) {
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
		for phase, block := range map[string]func(*platformFleet, *simulated.PlatformNode, time.Duration) func(){
			"connecting": sendConnecting, "behind another command": sendBehindAnother,
		} {
			t.Run(name+", "+phase, func(t *testing.T) {
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
				change(f, []nodelist.Node{{ID: "n0", PlatformAddress: node.Address()}})
				release()
				checkNeverSent(t, f, node)
			})
		}
	}
}

// Cases of TestNoSendAfterPermissionEnds that need settings of their own.
const (
	windowOver   = "the dedup window is over"
	deadlineOver = "the deadline has passed"
)

// sendConnecting sends the attempt "id" and holds back its established connection until release is called, even if the attempt ends
// before that.
func sendConnecting(f *platformFleet, _ *simulated.PlatformNode, timeout time.Duration) (release func()) {
	connected, proceed := make(chan struct{}), make(chan struct{})
	f.dialPlatform = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(context.WithoutCancel(ctx), address)
		close(connected)
		<-proceed
		return conn, err
	}
	f.send("id", 0, "n0", timeout)
	<-connected
	return func() { close(proceed) }
}

// sendBehindAnother sends the attempt "id" on a connection that it shares with the attempt "before". The connection's write lock is held
// until release is called, as if another command were being written.
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

// checkNeverSent waits for the end of the attempt "id" and checks that its request was never sent and that its code says so.
func checkNeverSent(t *testing.T, f *platformFleet, node *simulated.PlatformNode) {
	t.Helper()
	end := f.end()
	for end.ID == "q-before" { // the end of the other attempt does not matter
		end = f.end()
	}
	if end.Code != policy.NeverSent {
		t.Errorf("code %d (%v), want %d", end.Code, end.Err, policy.NeverSent)
	}
	for _, cmd := range node.Commands() {
		if cmd.ID == "id" {
			t.Errorf("the node received %+v", cmd)
		}
	}
}

// A duplicate of an answer that arrives after the end of its attempt is ignored: it is not taken for the answer to a later attempt on the
// connection.
func TestDuplicateAnswerAfterTheEnd(t *testing.T) {
	first := ""
	node, err := simulated.NewPlatformNode("", func(c net.Conn, cmd simulated.PlatformCommand) {
		if cmd.Verb != "GET" {
			return
		}
		if first == "" {
			first = cmd.ID
		} else { // a duplicate in two parts; the next answer follows the second
			duplicate := simulated.PlatformAnswer(first, "data", "total=1", "old\t\t\n")
			reply(c, duplicate[:11])
			reply(c, duplicate[11:])
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
		t.Errorf("%d connections, want 1", node.Accepted())
	}
}

// The end of a connection on which nothing was written may be noticed after the attempt has moved to another connection. It must not end
// the attempt, which might then be sent a second time while it runs.
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
	running := f.attempt("q-id", 0).protocol.(*platformAttempt)
	closedConn := newPlatformConn(f.Fleet, &f.nodes["n0"].platform, &net.TCPConn{}, running)
	running.connClosed(closedConn, net.ErrClosed)
	if err := running.receive(closedConn, &lineproto.Answer{ID: "id", Kind: lineproto.Failed}); err != nil {
		t.Error(err)
	}
	f.send("go", 0, "n0", 5*time.Second) // on the same connection
	if end := f.end(); end.ID != "q-id" || end.Code != policy.OK {
		t.Errorf("%s ended with code %d (%v)", end.ID, end.Code, end.Err)
	}
}

// An abandoned request is cancelled on its node, its late answer is ignored, and its id is not used again on the connection.
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
		t.Errorf("%d connections, want 2: the id of an abandoned request must not be used again on its connection", node.Accepted())
	}
}

// A priority command may have to wait until another command is written to the connection. It must then reach the node neither before the
// request whose priority it changes nor after the end of that request, where it would apply to a later attempt of the same ID.
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
		for range 1000 { // lets setPriority run until it waits for the write lock
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
		t.Errorf("the priority command came before its request: %v", commands)
	}
	if len(commands) > 4 || len(commands) == 4 && commands[2].Verb != "RANK" {
		t.Errorf("another priority command came after the end of its request: %v", commands)
	}
}
