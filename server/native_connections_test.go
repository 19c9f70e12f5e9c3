package server_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ClickHouse/ch-go"

	"embershunt/internal/native"
	"embershunt/nodelist"
	"embershunt/policy"
	"embershunt/simulated"
)

// rawNode is a node of the native protocol that a test plays byte by byte.
type rawNode struct {
	address         string
	mu              sync.Mutex
	queryCount      int // queries
	connectionCount int // connections
}

// queries counts the queries it got.
func (n *rawNode) queries() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queryCount
}

// startRawNode answers each query with what answer writes; the connection is kept up after it where hold says so.
func startRawNode(t testing.TB, revision int, answer func(w io.Writer), hold bool) *rawNode {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &rawNode{address: l.Addr().String()}
	var group sync.WaitGroup
	over := make(chan struct{})
	t.Cleanup(func() { closeQuietly(l); close(over); group.Wait() })
	group.Add(1)
	go func() {
		defer group.Done()
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			group.Add(1)
			go func() {
				defer group.Done()
				defer closeQuietly(conn)
				n.mu.Lock()
				n.connectionCount++
				n.mu.Unlock()
				r := native.NewReader(conn, 1<<20)
				h, err := r.ReadHello()
				if err != nil {
					return
				}
				_, _ = conn.Write(native.Server{Name: "raw", Revision: revision, Timezone: "UTC"}.Encode())
				revision := min(revision, h.Revision)
				if r.ReadAddendum(revision) != nil {
					return
				}
				for {
					code, err := r.ReadClient()
					if err == nil && code == native.ClientPing {
						_, _ = conn.Write([]byte{native.ServerPong})
						continue
					}
					if err != nil || code != native.ClientQuery {
						return
					}
					if _, err := r.ReadQuery(revision); err != nil {
						return
					}
					_, _ = r.ReadClient() // the end of the query's data, whatever it is
					_, _, _ = r.ReadClientData(revision)
					n.mu.Lock()
					n.queryCount++
					n.mu.Unlock()
					if answer(conn); hold {
						_, _ = io.Copy(io.Discard, conn) // until the dispatcher closes
					}
					return
				}
			}()
		}
	}()
	return n
}

// Nodes that go wrong at every place of an answer: while the client has seen no row another node answers, afterwards the
// answer fails, and what a node announces is not allocated before it is there.
func TestNativeNodesThatGoWrongWithinAnAnswer(t *testing.T) {
	progress := []byte{native.ServerProgress, 5, 5, 5, 0, 0, 0}
	rowsOf := func(n, size int) []byte {
		b := block(t, n, size)
		b[0] = native.ServerData
		return b
	}
	rows := func(n int) []byte { return rowsOf(n, 3) }
	large := rowsOf(300, 1000) // more than is kept back
	memory := (&native.Exception{Code: 241, Name: "DB::Exception", Message: "memory"}).Encode()
	huge := append([]byte{native.ServerData, 0, 0, 1, 1, 1, 'c', 6}, "String\x00\xff\xff\xff\xff\xff\xff\xff\xff\x7f"...)
	cases := []struct {
		name   string
		answer []byte
		hold   bool
		want   string // of the Exception; "": the other node answers
	}{
		{"stalls behind Progress", progress, true, ""},
		{"stalls within a varint", []byte{native.ServerData, 0x80}, true, ""},
		{"stalls within a block before any row went out", rows(9)[:40], true, ""},
		{"cuts behind Progress", progress, false, ""},
		{"cuts within a varint", []byte{native.ServerData, 0x80}, false, ""},
		{"an enormous length", huge, true, ""},
		{"a packet that is not known", []byte{77}, true, ""},
		{"cuts within the second block, before any went out", append(rows(9), rows(9)[:40]...), false, ""},
		{"an Exception behind rows that have not gone out", append(rows(9), memory...), true, ""},
		{"cuts within a block, behind rows that went out", append(bytes.Clone(large), rows(9)[:40]...), false, "ANSWER_BROKEN"},
		{"an Exception behind rows that went out", append(bytes.Clone(large), memory...), true, "ANSWER_BROKEN"},
		{"an Exception about the statement", (&native.Exception{Code: 62, Name: "DB::Exception", Message: "Syntax error",
			Nested: &native.Exception{Code: 27, Name: "DB::Exception", Message: "the cause"}}).Encode(), true, "Syntax error"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			raw := startRawNode(t, native.NewestRevision, func(w io.Writer) { _, _ = w.Write(c.answer) }, c.hold)
			good := simulated.NewNode("good", simulated.Model{}, 1)
			if err := good.Start("127.0.0.1:0", false); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(good.Crash)
			r := newRigWith(t, 0, func(string) string {
				return fmt.Sprintf(`{"list": [{"name": "raw", "native": %q}, {"name": "good", "native": %q}]}`, raw.address, good.Native)
			}, "")
			for range 30 { // until the raw node was asked
				client := r.rawNative(t)
				client.ask("SELECT node, row /* rows=3 class=report */", native.Setting{Name: "max_execution_time", Value: "8"})
				got := 0
				p := client.until(native.ServerData)
				for ; p.Code == native.ServerData; p = client.until(native.ServerData) {
					got += p.Block.Rows
				}
				if raw.queries() == 0 {
					if p.Code != native.ServerEndOfStream || got != 3 {
						t.Fatalf("the good node: %d rows, %v", got, p.Exception)
					}
					continue
				}
				if c.want == "" && (p.Code != native.ServerEndOfStream || got != 3) {
					t.Errorf("%d rows, %v, want three of the good node", got, p.Exception)
				}
				if c.want != "" && (p.Exception == nil || !strings.Contains(p.Exception.Message, c.want)) {
					t.Errorf("%v, want %q", p.Exception, c.want)
				}
				if c.want == "Syntax error" && (p.Exception == nil || p.Exception.Nested == nil || p.Exception.Nested.Message != "the cause") {
					t.Errorf("nested: %+v", p.Exception)
				}
				return
			}
			t.Error("the raw node was never asked")
		})
	}
}

// What is no native client at all, or a broken one, gets an error and disturbs nobody.
func TestWhatIsNoNativeClient(t *testing.T) {
	r := newRig(t, 1, "")
	for name, c := range map[string]struct{ sent, says string }{
		"HTTP":                   {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP"},
		"an old revision":        {string(native.Hello{Name: "old", Revision: 50000, User: "u"}.Encode()), "54429"},
		"an enormous length":     {"\x00\xff\xff\xff\xff\xff\xff\xff\xff\x7f", "at most"},
		"garbage behind a Hello": {string(native.Hello{Name: "c", Revision: native.NewestRevision, User: "u"}.Encode()) + "\x00\x63", "99"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", r.d.NativeAddress())
			if err != nil {
				t.Fatal(err)
			}
			defer closeQuietly(conn)
			if _, err := io.WriteString(conn, c.sent); err != nil {
				t.Fatal(err)
			}
			in := native.NewReader(conn, 1<<20)
			_, err = in.ReadServerHello()
			if err == nil {
				var p native.Packet
				if p, err = in.ReadServer(native.NewestRevision); err == nil && p.Exception != nil {
					err = p.Exception
				}
			}
			if err == nil || !strings.Contains(err.Error(), c.says) {
				t.Errorf("%v, want %q", err, c.says)
			}
			if _, err := io.Copy(io.Discard, conn); err != nil {
				t.Error("not closed in order: ", err)
			}
		})
	}
	c := r.native(t, "u")
	defer closeQuietly(c)
	if n, err := selectNative(t.Context(), c, "SELECT 1 /* rows=2 */"); err != nil || n != 2 {
		t.Errorf("after them: %d, %v", n, err)
	}
}

// Clients and nodes of other revisions: an old client at new nodes, and a new one at old nodes, which are learned of at
// the first query.
func TestOldAndNewRevisions(t *testing.T) {
	for _, c := range []struct {
		name         string
		client, node int
	}{{"an old client", native.OldestRevision, 0}, {"old nodes", 0, native.OldestRevision}, {"both old", 54453, 54450}} {
		t.Run(c.name, func(t *testing.T) {
			old := simulated.NewNode("old", simulated.Model{}, 1)
			old.Revision = c.node
			if err := old.Start("127.0.0.1:0", false); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(old.Crash)
			r := newRigWith(t, 0, func(string) string {
				return fmt.Sprintf(`{"list": [{"name": "old", "native": %q}]}`, old.Native)
			}, "")
			var err error
			for range 3 { // the first meets nodes whose revision is not known
				var client *ch.Client
				client, err = ch.Dial(t.Context(), ch.Options{Address: r.d.NativeAddress(), User: "u", ProtocolVersion: c.client})
				if err != nil {
					t.Fatal(err)
				}
				var n int
				n, err = selectNative(t.Context(), client, "SELECT 1 /* rows=2000 */")
				closeQuietly(client)
				if err == nil && n != 2000 {
					t.Errorf("%d rows", n)
				}
				if err == nil {
					break
				}
			}
			if err != nil {
				t.Error(err)
			}
		})
	}
}

// idleEnv names the address and count for the process that holds idle clients.
const idleEnv = "EMBERSHUNT_IDLE"

// TestHoldIdleClients is no test: it is the process that TestIdleNativeConnections starts for its clients.
func TestHoldIdleClients(t *testing.T) {
	address, count, ok := strings.Cut(os.Getenv(idleEnv), " ")
	if !ok {
		t.Skip("started by another test")
	}
	n, err := strconv.Atoi(count)
	if err != nil {
		t.Fatal(err)
	}
	for range n {
		c, err := native.Dial(t.Context(), address, native.Hello{Name: "idle", User: "u"})
		if err != nil {
			t.Fatal(err)
		}
		defer closeQuietly(c)
	}
	fmt.Println("all up")
	_, _ = io.Copy(io.Discard, os.Stdin) // until the test closes it
}

// Many idle connections, of another process, cost little; queries beside them are answered; they are gone when their
// clients are.
func TestIdleNativeConnections(t *testing.T) {
	r := newRig(t, 1, "")
	n := 2000
	if *many > 100 {
		n = 10000
	}
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapInuse + m.StackInuse)
	}
	before := heap()
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run", "^TestHoldIdleClients$")
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d", idleEnv, r.d.NativeAddress(), n))
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	line, _ := bufio.NewReader(out).ReadString('\n')
	if line != "all up\n" {
		t.Fatalf("the clients said %q", line)
	}
	if got := r.d.Native().Conns(); got != n {
		t.Errorf("%d connections, want %d", got, n)
	}
	t.Logf("%d idle connections take %d bytes each", n, (heap()-before)/int64(n))
	c := r.native(t, "u")
	defer closeQuietly(c)
	if rows, err := selectNative(t.Context(), c, "SELECT 1 /* rows=2 */"); err != nil || rows != 2 {
		t.Errorf("%d, %v", rows, err)
	}
	closeQuietly(in)
	_, _ = io.Copy(io.Discard, out) // Wait has the error
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := r.d.Native().AwaitConns(ctx, 1); err != nil {
		t.Errorf("%d connections are left, want 1", r.d.Native().Conns())
	}
}

// A client calls a large answer off in the middle of its blocks and uses the connection again: what it reads up to the end
// is complete packets, and the node gets the cancellation.
func TestCancelledInTheMiddleOfAnAnswer(t *testing.T) {
	r := newRig(t, 1, "")
	c := r.rawNative(t)
	for range 3 {
		c.ask("SELECT 1 /* rows=40000 row_bytes=500 */")
		if p := c.until(native.ServerData); p.Code != native.ServerData {
			t.Fatal(p.Code, p.Exception)
		}
		c.send([]byte{native.ClientCancel})
		rows := 0
		p := c.until(native.ServerData)
		for ; p.Code == native.ServerData; p = c.until(native.ServerData) {
			rows += p.Block.Rows
		}
		if p.Code != native.ServerEndOfStream || rows >= 40000 {
			t.Fatalf("packet %d, %v, %d rows", p.Code, p.Exception, rows)
		}
		c.ask("SELECT 2 /* rows=3 */")
		rows = 0
		for p = c.until(native.ServerData); p.Code == native.ServerData; p = c.until(native.ServerData) {
			rows += p.Block.Rows
		}
		if p.Code != native.ServerEndOfStream || rows != 3 {
			t.Fatalf("the next query: packet %d, %v, %d rows", p.Code, p.Exception, rows)
		}
	}
}

// A node drains while connections to it are pooled: nothing new goes there, over neither; once it has left the list they
// are closed.
func TestDrainWithPooledConnections(t *testing.T) {
	r := newRig(t, 2, "")
	c := r.rawNative(t)
	ask := func() {
		t.Helper()
		c.ask("SELECT 1 /* rows=1 */")
		if p := c.until(native.ServerEndOfStream); p.Code != native.ServerEndOfStream {
			t.Fatal(p.Exception)
		}
	}
	for len(r.nodes[0].Attempts()) == 0 {
		ask()
	}
	set := func(drains bool) {
		rows := []nodelist.Node{{ID: "node-1", Address: r.nodes[1].Address, Native: r.nodes[1].Native}}
		if drains {
			rows = append(rows, nodelist.Node{ID: "node-0", Address: r.nodes[0].Address, Native: r.nodes[0].Native, State: policy.Draining})
		}
		if err := r.d.Fleet().SetNodes(rows); err != nil {
			t.Fatal(err)
		}
	}
	set(true)
	before := len(r.nodes[0].Attempts())
	for range 30 {
		ask()
	}
	if n := len(r.nodes[0].Attempts()) - before; n > 0 {
		t.Errorf("%d queries reached the node that drains", n)
	}
	set(false)
	ask()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if r.nodes[0].Await(ctx, func([]simulated.AttemptRecord) bool { return r.nodes[0].NativeConns() == 0 }) != nil {
		t.Errorf("%d connections to the node that left", r.nodes[0].NativeConns())
	}
}
