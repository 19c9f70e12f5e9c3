package server_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"embershunt/config"
	"embershunt/internal/pgwire"
	"embershunt/nodelist"
	"embershunt/policy"
	"embershunt/server"
	"embershunt/simulated"
)

// platformRig runs a dispatcher of the platform's protocol with a simulated name service; tests bring nodes and clients of their own.
type platformRig struct {
	t           *testing.T
	d           *server.Platform
	nameService *simulated.NameService
	cfg         *config.Platform
	memoryMB    int        // limit of memory
	file        string     // path of the configuration file
	ended       chan error // receives the result of Run
}

// platformNames are the zones and kinds of the node lists.
var platformNames = nodelist.Names{Zones: []string{"west"}, Kinds: []string{"std"}}

// platformSettingsJSON is the settings object of the configuration, with the platform's own names.
const platformSettingsJSON = `{"az":0,"me":0,"peersTotal":1,"zones":["west"],"models":["std"],"classes":[
 {"name":"lookup","credit":1,"promiseUs":500000,"deadlineUs":2500000,"effect":"retryable"},
 {"name":"load","credit":5,"promiseUs":1000000,"deadlineUs":8000000,"effect":"dedup","group":"all","windowUs":15000000}],
 "familyInfo":{"dop":[1,2],"kindCores":[64],"ramOfKindMb":[131072],
  "waitsForLoads":[true,false],"writesTables":[false,true],"grantsCount":true,"takesPriority":true,"progressUs":200000},
 "feedback":{"how":"piggyback","fields":["busy","rif"]},
 "limits":{"connectTimeoutUs":250000,"connIdleUs":30000000,"streamsPerConn":100,"sendCap":3,
  "mostHeld":20000,"retryAfter":true,"maxRetryAfterUs":2000000},
 "rules":{"stopSendingWithinUs":1000000,"budgetFree":5,"budgetShare":0.2,"budgetSpanUs":5000000}}`

// newPlatformRigWithMemory starts a name service and a dispatcher, both with a list of these nodes. When the test ends, the dispatcher must
// end within 10 s of its context.
func newPlatformRigWithMemory(t *testing.T, memoryMB int, nodes ...nodelist.Node) *platformRig {
	t.Helper()
	nameService, err := simulated.NewNameService(platformNames)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nameService.Close)
	nameService.Set(1, nodes)
	var targets []map[string]any
	for _, n := range nodes {
		targets = append(targets, map[string]any{"uid": n.ID, "endpoint": n.PlatformAddress, "az": "west", "model": "std", "pod_group": 0,
			"state": "active", "capacity_hint": 1, "boot_ms": 0})
	}
	p := &platformRig{t: t, nameService: nameService, memoryMB: memoryMB, file: filepath.Join(t.TempDir(), "config.json"), ended: make(chan error, 1)}
	p.writeConfig(nameService.Address(), targets)
	if p.cfg, err = config.LoadPlatform(p.file); err != nil {
		t.Fatal(err)
	}
	if p.d, err = server.NewPlatform(p.cfg, nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { p.ended <- p.d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-p.ended:
			if err != nil && !errors.Is(err, context.Canceled) {
				t.Error(err)
			}
		case <-time.After(10 * time.Second):
			t.Error("the dispatcher did not end within 10 s of its context")
		}
	})
	return p
}

// writeConfig writes the configuration file, with the address of the name service and the initial node list.
func (p *platformRig) writeConfig(resolver string, targets any) {
	p.t.Helper()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "seed": "1",
		"limits": map[string]any{"cores": 0.5, "memory_mb": p.memoryMB, "sockets": 256}, "resolver": resolver,
		"known": map[string]any{"pos": 1, "entries": []any{
			map[string]any{"pos": 1, "hosts": map[string]any{"all": true, "targets": targets}}}},
		"settings": json.RawMessage(platformSettingsJSON)})
	if err != nil {
		p.t.Fatal(err)
	}
	if err := os.WriteFile(p.file, text, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// pgClient is a client connection of the dispatcher (PostgreSQL protocol).
type pgClient struct {
	net.Conn
	r *bufio.Reader
}

// connect opens a connection and completes its startup. Reads and writes on it fail after 20 s.
func (p *platformRig) connect() (*pgClient, error) {
	conn, err := net.Dial("tcp", p.d.Address())
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return nil, err
	}
	startup := append([]byte{0, 0, 0, 30, 0, 3, 0, 0}, "user\x00app\x00database\x00dw\x00\x00"...)
	_, _ = conn.Write(startup) // the dispatcher may have closed the connection: readUntilReady returns the error
	c := &pgClient{conn, bufio.NewReader(conn)}
	_, err = c.readUntilReady()
	return c, err
}

// readUntilReady reads messages up to ReadyForQuery and returns a summary of them: the first column of each row with a semicolon, the
// SQLSTATE of an error, and the type byte of each other message.
func (c *pgClient) readUntilReady() (string, error) {
	summary := ""
	for {
		kind, body, err := pgwire.ReadMessage(c.r, nil, 1<<20)
		if err != nil {
			return summary, err
		}
		switch kind {
		case 'Z':
			return summary, nil
		case 'D':
			n := int(body[2])<<24 | int(body[3])<<16 | int(body[4])<<8 | int(body[5])
			summary += string(body[6:6+n]) + ";"
		case 'E':
			for f := range strings.SplitSeq(string(body), "\x00") {
				if strings.HasPrefix(f, "C") {
					summary += f[1:]
				}
			}
		default:
			summary += string(kind)
		}
	}
}

// lastTrace is the newest trace number of a query; each query has its own.
var lastTrace struct {
	sync.Mutex
	n int
}

// query sends a query with the platform's hints in a comment in front of its text, and returns the summary of the answer.
func (c *pgClient) query(class, text string) (string, error) {
	lastTrace.Lock()
	lastTrace.n++
	trace := lastTrace.n
	lastTrace.Unlock()
	q := fmt.Sprintf("/* route=%s,trace=%016x,patience=2000,nonce=n%d */ %s\x00", class, trace, trace, text)
	n := len(q) + 4
	_, _ = c.Write(append([]byte{'Q', byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, q...)) // readUntilReady returns the error
	return c.readUntilReady()
}

// newPlatformNode starts a node that answers every query in two pages of one row each, the first with the node's id. It also returns the
// node's row for node lists.
func newPlatformNode(t *testing.T, id string) (*simulated.PlatformNode, nodelist.Node) {
	t.Helper()
	node, err := simulated.NewPlatformNode("", func(c net.Conn, cmd simulated.PlatformCommand) {
		switch cmd.Verb {
		case "GET":
			_, _ = fmt.Fprint(c, simulated.PlatformAnswer(cmd.ID, "data", "total=2,rep=busy:0.1;rif:1", id+"\ta\tb\n"))
		case "PAGE":
			_, _ = fmt.Fprint(c, simulated.PlatformAnswer(cmd.ID, "page", "index=1", "end\ta\tb\n"))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	return node, nodelist.Node{ID: id, PlatformAddress: node.Address(), Weight: 1}
}

// A query's id, class, statement and, for an update, deduplication token reach the node, the statement unchanged. The rows of all pages
// reach the client, and the answer is closed at the node.
func TestPlatformQueryRoundTrip(t *testing.T) {
	node, row := newPlatformNode(t, "s-1")
	p := newPlatformRig(t, row)
	c, err := p.connect()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(c)
	text := "INSERT INTO sales_17.orders SELECT 'ü /* x */ -- y' FROM staging.b\r\n"
	if got, err := c.query("load", text); got != "Ts-1;end;C" || err != nil {
		t.Fatalf("update: %q, %v", got, err)
	}
	if got, err := c.query("lookup", "SELECT 1"); got != "Ts-1;end;C" || err != nil {
		t.Fatalf("query: %q, %v", got, err)
	}
	var gets []simulated.PlatformCommand
	closed := 0
	for _, cmd := range node.Commands() {
		if cmd.Verb == "GET" {
			gets = append(gets, cmd)
		}
		if cmd.Verb == "CLOSE" {
			closed++
		}
	}
	if len(gets) != 2 || gets[0].Text != text || !strings.HasPrefix(gets[0].Fields, "lane=load,ttl=") ||
		!strings.Contains(gets[0].Fields, ",dedupe=n") || strings.Contains(gets[1].Fields, "dedupe") || len(gets[0].ID) != 16 {
		t.Errorf("the node received %+v", gets)
	}
	if closed == 0 {
		t.Error("the node received no CLOSE")
	}
}

// A draining node receives no new queries, and a node listed under a new id at a former node's address is used. A reload of the
// configuration changes the address of the name service; a reload of a malformed file changes nothing.
func TestPlatformFollowsNodeList(t *testing.T) {
	node1, row1 := newPlatformNode(t, "s-1")
	_, row2 := newPlatformNode(t, "s-2")
	p := newPlatformRig(t, row1)
	c, err := p.connect()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(c)
	awaitAnswerFrom := func(want string) {
		t.Helper()
		for range 200 {
			got, err := c.query("lookup", "SELECT 1")
			if err != nil {
				t.Fatal(err)
			}
			if strings.Contains(got, want) {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("no answer from %s to 200 queries", want)
	}
	awaitAnswerFrom("s-1;")
	row1.State = policy.Draining
	p.nameService.Set(2, []nodelist.Node{row1, row2})
	awaitAnswerFrom("s-2;")
	before := len(node1.Commands())
	for range 20 {
		_, _ = c.query("lookup", "SELECT 1") // only the node that receives it matters
	}
	if len(node1.Commands()) != before {
		t.Error("a draining node received a command")
	}
	other, err := simulated.NewNameService(platformNames)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	row3 := row1
	row3.ID, row3.State = "s-3", policy.Healthy // takes the place of s-1 at its address
	other.Set(3, []nodelist.Node{row3})
	if err := os.WriteFile(p.file, []byte(`{"listen":`), 0o600); err != nil {
		t.Fatal(err)
	}
	p.d.Reload(p.file)
	if got, err := c.query("lookup", "SELECT 1"); !strings.Contains(got, "s-2;") || err != nil {
		t.Errorf("after the reload of a malformed file: %q, %v; want an answer from s-2", got, err)
	}
	p.writeConfig(other.Address(), []any{})
	p.d.Reload(p.file)
	awaitAnswerFrom("s-1;") // the node at that address still answers with s-1
}

// After Drain, queries are served for a while (drainDelay) and later ones are rejected with SQLSTATE 57P03, which tells clients that
// they may try elsewhere. Connections are still accepted. Queries in flight get their answers, and Run returns.
func TestPlatformDrains(t *testing.T) {
	release := make(chan struct{})
	node, err := simulated.NewPlatformNode("", func(c net.Conn, cmd simulated.PlatformCommand) {
		if cmd.Verb == "GET" {
			if strings.Contains(cmd.Text, "slow") {
				<-release
			}
			_, _ = fmt.Fprint(c, simulated.PlatformAnswer(cmd.ID, "data", "total=1", "s-1\ta\tb\n"))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	p := newPlatformRig(t, nodelist.Node{ID: "s-1", PlatformAddress: node.Address(), Weight: 1})
	slow, err := p.connect()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(slow)
	slowAnswer := make(chan string, 1)
	go func() { got, _ := slow.query("lookup", "SELECT slow"); slowAnswer <- got }()
	c, err := p.connect()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(c)
	for len(node.Commands()) == 0 {
		time.Sleep(time.Millisecond)
	}
	p.d.Drain()
	served, rejected := 0, 0
	for rejected == 0 {
		if fresh, err := p.connect(); err != nil {
			t.Fatalf("new connection while the dispatcher drains: %v", err)
		} else {
			closeQuietly(fresh)
		}
		switch got, err := c.query("lookup", "SELECT 1"); {
		case got == "Ts-1;C" && err == nil:
			served++
		case got == "57P03":
			rejected++
		default:
			t.Fatalf("query after Drain: %q, %v", got, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	close(release)
	if got := <-slowAnswer; served == 0 || got != "Ts-1;C" {
		t.Errorf("%d queries served after Drain, want some; the slow query got %q", served, got)
	}
	select {
	case err := <-p.ended:
		if p.ended <- nil; err != nil { // nil for the cleanup, which receives again
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the dispatcher did not end within 5 s of its last answer")
	}
}

// Memory and goroutines do not grow with past queries, connections and nodes: 6,000 queries on 600 connections and 150 node lists with a
// new node each leave at most 300 KB and 20 goroutines.
func TestPlatformDoesNotLeak(t *testing.T) {
	node, row := newPlatformNode(t, "s-0")
	p := newPlatformRig(t, row)
	heap := func() uint64 {
		var m runtime.MemStats
		node.ClearCommands() // the node's records are not the dispatcher's memory
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	number := uint32(1)
	round := func(n int) {
		for range n {
			number++
			row.ID = fmt.Sprintf("s-%d", number)
			p.nameService.Set(number, []nodelist.Node{row})
			var group sync.WaitGroup
			for range 4 {
				group.Go(func() {
					c, err := p.connect()
					if err != nil {
						t.Error(err)
						return
					}
					defer closeQuietly(c)
					for range 10 {
						if _, err := c.query("lookup", "SELECT 1"); err != nil {
							t.Error(err)
							return
						}
					}
				})
			}
			group.Wait()
		}
	}
	round(50)
	before, goroutines := heap(), runtime.NumGoroutine()
	round(150)
	after := heap()
	if after > before+300<<10 {
		t.Errorf("%d KB more on the heap after 6,000 queries, 600 connections and 150 nodes", (after-before)>>10)
	}
	if now := runtime.NumGoroutine(); now > goroutines+20 {
		t.Errorf("%d goroutines after the queries, %d before", now, goroutines)
	}
}
