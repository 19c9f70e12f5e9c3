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

// rawNode is a node of the native protocol whose answers are bytes chosen by a test.
type rawNode struct {
	address         string
	mu              sync.Mutex
	queryCount      int
	connectionCount int
}

// queries returns the number of queries that the node has received.
func (n *rawNode) queries() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queryCount
}

// startRawNode starts a node that answers the query of each connection with the bytes that answer writes. Afterwards it closes the
// connection, or with keepOpen waits until the dispatcher closes it.
func startRawNode(t testing.TB, revision int, answer func(w io.Writer), keepOpen bool) *rawNode {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &rawNode{address: l.Addr().String()}
	var group sync.WaitGroup
	done := make(chan struct{})
	t.Cleanup(func() { closeQuietly(l); close(done); group.Wait() })
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
				_, _ = conn.Write(native.ServerInfo{Name: "raw", Revision: revision, Timezone: "UTC"}.Encode())
				revision := min(revision, h.Revision)
				if r.ReadAddendum(revision) != nil {
					return
				}
				for {
					code, err := r.ReadClientPacketCode()
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
					_, _ = r.ReadClientPacketCode() // the empty block that ends the query's data; not checked
					_, _, _ = r.ReadClientData(revision)
					n.mu.Lock()
					n.queryCount++
					n.mu.Unlock()
					if answer(conn); keepOpen {
						_, _ = io.Copy(io.Discard, conn) // until the dispatcher closes
					}
					return
				}
			}()
		}
	}()
	return n
}

// A node stalls, disconnects or sends a malformed packet at different points of an answer. Before any row has gone to the client
// another node answers; afterwards the query fails with ANSWER_BROKEN. An enormous string length must not be allocated before the
// bytes have arrived.
func TestNativeNodeFaultsDuringAnswer(t *testing.T) {
	progress := []byte{native.ServerProgress, 5, 5, 5, 0, 0, 0}
	rowsOf := func(n, size int) []byte {
		b := block(t, n, size)
		b[0] = native.ServerData
		return b
	}
	rows := func(n int) []byte { return rowsOf(n, 3) }
	large := rowsOf(300, 1000) // more than maxHeldBytes of package backend (256 KiB), so that its rows go to the client at once
	memoryLimit := (&native.Exception{Code: 241, Name: "DB::Exception", Message: "memory"}).Encode()
	hugeLength := append([]byte{native.ServerData, 0, 0, 1, 1, 1, 'c', 6}, "String\x00\xff\xff\xff\xff\xff\xff\xff\xff\x7f"...)
	cases := []struct {
		name     string
		answer   []byte
		keepOpen bool
		want     string // part of the Exception's message; "": the other node answers
	}{
		{"stalls after Progress", progress, true, ""},
		{"stalls within a varint", []byte{native.ServerData, 0x80}, true, ""},
		{"stalls within the first block", rows(9)[:40], true, ""},
		{"disconnects after Progress", progress, false, ""},
		{"disconnects within a varint", []byte{native.ServerData, 0x80}, false, ""},
		{"an enormous length", hugeLength, true, ""},
		{"an unknown packet", []byte{77}, true, ""},
		{"disconnects within the second block, before any row was forwarded", append(rows(9), rows(9)[:40]...), false, ""},
		{"an Exception after rows that were not forwarded", append(rows(9), memoryLimit...), true, ""},
		{"disconnects within a block, after rows that were forwarded", append(bytes.Clone(large), rows(9)[:40]...), false, "ANSWER_BROKEN"},
		{"an Exception after rows that were forwarded", append(bytes.Clone(large), memoryLimit...), true, "ANSWER_BROKEN"},
		{"an Exception about the statement", (&native.Exception{Code: 62, Name: "DB::Exception", Message: "Syntax error",
			Nested: &native.Exception{Code: 27, Name: "DB::Exception", Message: "the cause"}}).Encode(), true, "Syntax error"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			raw := startRawNode(t, native.NewestRevision, func(w io.Writer) { _, _ = w.Write(c.answer) }, c.keepOpen)
			good := simulated.NewNode("good", simulated.MachineModel{}, 1)
			if err := good.Start("127.0.0.1:0", false); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(good.Crash)
			r := newRigWith(t, 0, func(string) string {
				return fmt.Sprintf(`{"list": [{"name": "raw", "native": %q}, {"name": "good", "native": %q}]}`,
					raw.address, good.NativeAddress)
			}, "")
			for range 30 { // until the dispatcher has sent a query to the raw node
				client := r.rawNative(t)
				client.ask("SELECT node, row /* rows=3 class=report */", native.Setting{Name: "max_execution_time", Value: "8"})
				rowCount := 0
				p := client.until(native.ServerData)
				for ; p.Code == native.ServerData; p = client.until(native.ServerData) {
					rowCount += p.Block.Rows
				}
				if raw.queries() == 0 {
					if p.Code != native.ServerEndOfStream || rowCount != 3 {
						t.Fatalf("the good node: %d rows, %v", rowCount, p.Exception)
					}
					continue
				}
				if c.want == "" && (p.Code != native.ServerEndOfStream || rowCount != 3) {
					t.Errorf("%d rows, %v, want 3 rows from the good node", rowCount, p.Exception)
				}
				if c.want != "" && (p.Exception == nil || !strings.Contains(p.Exception.Message, c.want)) {
					t.Errorf("%v, want %q", p.Exception, c.want)
				}
				if c.want == "Syntax error" && (p.Exception == nil || p.Exception.Nested == nil || p.Exception.Nested.Message != "the cause") {
					t.Errorf("the Exception lost its nested Exception: %+v", p.Exception)
				}
				return
			}
			t.Error("the raw node received no query in 30 attempts")
		})
	}
}

// A client of another protocol, of an unsupported revision, or with malformed packets gets an error and an orderly close, and later
// clients are served.
func TestInvalidNativeClients(t *testing.T) {
	r := newRig(t, 1, "")
	for name, c := range map[string]struct{ sent, message string }{
		"HTTP":                {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP"},
		"an old revision":     {string(native.Hello{Name: "old", Revision: 50000, User: "u"}.Encode()), "54429"},
		"an enormous length":  {"\x00\xff\xff\xff\xff\xff\xff\xff\xff\x7f", "at most"},
		"garbage after Hello": {string(native.Hello{Name: "c", Revision: native.NewestRevision, User: "u"}.Encode()) + "\x00\x63", "99"},
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
				if p, err = in.ReadServerPacket(native.NewestRevision); err == nil && p.Exception != nil {
					err = p.Exception
				}
			}
			if err == nil || !strings.Contains(err.Error(), c.message) {
				t.Errorf("%v, want %q", err, c.message)
			}
			if _, err := io.Copy(io.Discard, conn); err != nil {
				t.Error("the connection was not closed in order: ", err)
			}
		})
	}
	c := r.native(t, "u")
	defer closeQuietly(c)
	if n, err := selectNative(t.Context(), c, "SELECT 1 /* rows=2 */"); err != nil || n != 2 {
		t.Errorf("a valid client afterwards: %d rows, %v", n, err)
	}
}

// Clients and nodes of different protocol revisions work together. The dispatcher learns the revision of a node at its first
// query, so that the first queries of a newer client may fail.
func TestOldAndNewRevisions(t *testing.T) {
	for _, c := range []struct {
		name         string
		client, node int
	}{{"an old client", native.OldestRevision, 0}, {"old nodes", 0, native.OldestRevision}, {"both old", 54453, 54450}} {
		t.Run(c.name, func(t *testing.T) {
			old := simulated.NewNode("old", simulated.MachineModel{}, 1)
			old.Revision = c.node
			if err := old.Start("127.0.0.1:0", false); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(old.Crash)
			r := newRigWith(t, 0, func(string) string {
				return fmt.Sprintf(`{"list": [{"name": "old", "native": %q}]}`, old.NativeAddress)
			}, "")
			var err error
			for range 3 { // the first query may fail, as the node's revision is not known yet
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

// idleEnv is the environment variable with the dispatcher's address and the number of connections for the process of idle clients.
const idleEnv = "EMBERSHUNT_IDLE"

// TestHoldIdleClients tests nothing itself: it runs in the process that TestIdleNativeConnections starts for its clients.
func TestHoldIdleClients(t *testing.T) {
	address, count, ok := strings.Cut(os.Getenv(idleEnv), " ")
	if !ok {
		t.Skip("runs only in the process that TestIdleNativeConnections starts")
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
	fmt.Println("all connected")
	_, _ = io.Copy(io.Discard, os.Stdin) // until the parent process closes it
}

// Beside thousands of idle connections of another process, whose memory is logged, queries are served, and the dispatcher closes the
// connections when their clients are gone. The process of its own keeps the clients' memory out of the measurement.
func TestIdleNativeConnections(t *testing.T) {
	r := newRig(t, 1, "")
	n := 2000
	if *dispatcherCount > 100 {
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
	if line != "all connected\n" {
		t.Fatalf("the process of idle clients printed %q", line)
	}
	if got := r.d.NativeFrontend().Conns(); got != n {
		t.Errorf("%d connections, want %d", got, n)
	}
	t.Logf("%d idle connections take %d bytes each", n, (heap()-before)/int64(n))
	c := r.native(t, "u")
	defer closeQuietly(c)
	if rows, err := selectNative(t.Context(), c, "SELECT 1 /* rows=2 */"); err != nil || rows != 2 {
		t.Errorf("a query beside them: %d rows, %v", rows, err)
	}
	closeQuietly(in)
	_, _ = io.Copy(io.Discard, out) // cmd.Wait returns the error
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := r.d.NativeFrontend().AwaitConns(ctx, 1); err != nil {
		t.Errorf("%d connections are left, want 1", r.d.NativeFrontend().Conns())
	}
}

// A client cancels a query in the middle of a large answer and uses the connection again: it reads complete packets up to
// EndOfStream, and fewer rows than the whole answer.
func TestCancelDuringAnswer(t *testing.T) {
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

// A node that drains gets no new queries over the connections that are pooled to it; once it has left the node list, they are closed.
func TestDrainWithPooledConnections(t *testing.T) {
	r := newRig(t, 2, "")
	c := r.rawNative(t)
	query := func() {
		t.Helper()
		c.ask("SELECT 1 /* rows=1 */")
		if p := c.until(native.ServerEndOfStream); p.Code != native.ServerEndOfStream {
			t.Fatal(p.Exception)
		}
	}
	for len(r.nodes[0].Attempts()) == 0 {
		query()
	}
	setNodes := func(withDraining bool) {
		rows := []nodelist.Node{{ID: "node-1", FlightSQLAddress: r.nodes[1].Address, NativeAddress: r.nodes[1].NativeAddress}}
		if withDraining {
			rows = append(rows, nodelist.Node{ID: "node-0", FlightSQLAddress: r.nodes[0].Address,
				NativeAddress: r.nodes[0].NativeAddress, State: policy.Draining})
		}
		if err := r.d.Fleet().SetNodes(rows); err != nil {
			t.Fatal(err)
		}
	}
	setNodes(true)
	before := len(r.nodes[0].Attempts())
	for range 30 {
		query()
	}
	if n := len(r.nodes[0].Attempts()) - before; n > 0 {
		t.Errorf("%d queries reached the draining node", n)
	}
	setNodes(false)
	query()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if r.nodes[0].Await(ctx, func([]simulated.AttemptRecord) bool { return r.nodes[0].NativeConns() == 0 }) != nil {
		t.Errorf("%d connections are open to the node that left the list", r.nodes[0].NativeConns())
	}
}
