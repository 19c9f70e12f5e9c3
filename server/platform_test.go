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

// platform is a dispatcher on the platform's protocol between stand-ins.
type platform struct {
	t     *testing.T
	d     *server.Platform
	names *simulated.NameService
	cfg   *config.Platform
	file  string
	ended chan error
}

var platformNames = nodelist.Names{Zones: []string{"west"}, Kinds: []string{"std"}}

// settingsText is the settings object of the tests, on the names of the platform's wire.
const settingsText = `{"az":0,"me":0,"peersTotal":1,"zones":["west"],"models":["std"],"classes":[
 {"name":"lookup","credit":1,"promiseUs":500000,"deadlineUs":2500000,"effect":"retryable"},
 {"name":"load","credit":5,"promiseUs":1000000,"deadlineUs":8000000,"effect":"dedup","group":"all","windowUs":15000000}],
 "familyInfo":{"dop":[1,2],"kindCores":[64],"ramOfKindMb":[131072],"waitsForLoads":[true,false],"writesTables":[false,true],"grantsCount":true,"takesPriority":true,"progressUs":200000},
 "feedback":{"how":"piggyback","fields":["busy","rif"]},
 "limits":{"connectTimeoutUs":250000,"connIdleUs":30000000,"streamsPerConn":100,"sendCap":3,"mostHeld":20000,"retryAfter":true,"maxRetryAfterUs":2000000},
 "rules":{"stopSendingWithinUs":1000000,"budgetFree":5,"budgetShare":0.2,"budgetSpanUs":5000000}}`

func newPlatform(t *testing.T, nodes ...nodelist.Node) *platform {
	t.Helper()
	names, err := simulated.NewNameService(platformNames)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(names.Close)
	names.Set(1, nodes)
	var targets []map[string]any
	for _, n := range nodes {
		targets = append(targets, map[string]any{"uid": n.ID, "endpoint": n.Platform, "az": "west", "model": "std", "pod_group": 0,
			"state": "active", "capacity_hint": 1, "boot_ms": 0})
	}
	p := &platform{t: t, names: names, file: filepath.Join(t.TempDir(), "config.json"), ended: make(chan error, 1)}
	p.write(names.Address(), targets)
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
			t.Error("the dispatcher does not end")
		}
	})
	return p
}

func (p *platform) write(resolver string, targets any) {
	p.t.Helper()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "seed": "1",
		"limits": map[string]any{"cores": 0.5, "memory_mb": 64, "sockets": 256}, "resolver": resolver,
		"known":    map[string]any{"pos": 1, "entries": []any{map[string]any{"pos": 1, "hosts": map[string]any{"all": true, "targets": targets}}}},
		"settings": json.RawMessage(settingsText)})
	if err != nil {
		p.t.Fatal(err)
	}
	if err := os.WriteFile(p.file, text, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// pgClient is a client of the platform.
type pgClient struct {
	net.Conn
	r *bufio.Reader
}

func (p *platform) connect() (*pgClient, error) {
	conn, err := net.Dial("tcp", p.d.Address())
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return nil, err
	}
	startup := append([]byte{0, 0, 0, 30, 0, 3, 0, 0}, "user\x00app\x00database\x00dw\x00\x00"...)
	_, _ = conn.Write(startup) // the dispatcher may have closed: until has the error
	c := &pgClient{conn, bufio.NewReader(conn)}
	_, err = c.until()
	return c, err
}

// until reads up to ReadyForQuery: the kinds of the messages, an error's code, the first columns of rows.
func (c *pgClient) until() (string, error) {
	said := ""
	for {
		kind, body, err := pgwire.ReadMessage(c.r, nil, 1<<20)
		if err != nil {
			return said, err
		}
		switch kind {
		case 'Z':
			return said, nil
		case 'D':
			n := int(body[2])<<24 | int(body[3])<<16 | int(body[4])<<8 | int(body[5])
			said += string(body[6:6+n]) + ";"
		case 'E':
			for f := range strings.SplitSeq(string(body), "\x00") {
				if strings.HasPrefix(f, "C") {
					said += f[1:]
				}
			}
		default:
			said += string(kind)
		}
	}
}

var traces struct {
	sync.Mutex
	n int
}

func (c *pgClient) ask(class, text string) (string, error) {
	traces.Lock()
	traces.n++
	trace := traces.n
	traces.Unlock()
	q := fmt.Sprintf("/* route=%s,trace=%016x,patience=2000,nonce=n%d */ %s\x00", class, trace, trace, text)
	n := len(q) + 4
	_, _ = c.Write(append([]byte{'Q', byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, q...)) // until has the error
	return c.until()
}

// lineNode answers every query with its own name, in two pages.
func lineNode(t *testing.T, id string) (*simulated.PlatformNode, nodelist.Node) {
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
	return node, nodelist.Node{ID: id, Platform: node.Address(), Weight: 1}
}

// The whole way: id, class, statement and key reach the node as the client sent them, the rows come back.
func TestPlatformServes(t *testing.T) {
	node, row := lineNode(t, "s-1")
	p := newPlatform(t, row)
	c, err := p.connect()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(c)
	text := "INSERT INTO sales_17.orders SELECT 'ü /* x */ -- y' FROM staging.b\r\n"
	if got, err := c.ask("load", text); got != "Ts-1;end;C" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if got, err := c.ask("lookup", "SELECT 1"); got != "Ts-1;end;C" || err != nil {
		t.Fatalf("%q, %v", got, err)
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
	if len(gets) != 2 || gets[0].Text != text || !strings.HasPrefix(gets[0].Fields, "lane=load,ttl=") || !strings.Contains(gets[0].Fields, ",dedupe=n") ||
		strings.Contains(gets[1].Fields, "dedupe") || len(gets[0].ID) != 16 {
		t.Errorf("the node got %+v", gets)
	}
	if closed == 0 {
		t.Error("pages are not let go")
	}
}

// A node that drains gets nothing new, one that takes the address of another is asked by its own name, and the name service
// may move on a reload; a bad file changes nothing.
func TestPlatformFollowsTheList(t *testing.T) {
	node1, row1 := lineNode(t, "s-1")
	_, row2 := lineNode(t, "s-2")
	p := newPlatform(t, row1)
	c, err := p.connect()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(c)
	answeredBy := func(want string) {
		t.Helper()
		for range 200 {
			got, err := c.ask("lookup", "SELECT 1")
			if err != nil {
				t.Fatal(err)
			}
			if strings.Contains(got, want) {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("%s never answers", want)
	}
	answeredBy("s-1;")
	row1.State = policy.Draining
	p.names.Set(2, []nodelist.Node{row1, row2})
	answeredBy("s-2;")
	before := len(node1.Commands())
	for range 20 {
		_, _ = c.ask("lookup", "SELECT 1") // where it went is what counts
	}
	if len(node1.Commands()) != before {
		t.Error("a node that drains got something new")
	}
	other, err := simulated.NewNameService(platformNames)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	row3 := row1
	row3.ID, row3.State = "s-3", policy.Healthy // in place of s-1, at its address
	other.Set(3, []nodelist.Node{row3})
	if err := os.WriteFile(p.file, []byte(`{"listen":`), 0o600); err != nil {
		t.Fatal(err)
	}
	p.d.Reload(p.file)
	if got, err := c.ask("lookup", "SELECT 1"); !strings.Contains(got, "s-2;") || err != nil {
		t.Errorf("after a bad file: %q, %v", got, err)
	}
	p.write(other.Address(), []any{})
	p.d.Reload(p.file)
	answeredBy("s-1;") // the node there says its own name
}

// An order to stop: clients are served for a moment, later ones refused at once with word that they may try elsewhere, what
// was accepted gets its answer, and the dispatcher ends.
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
	p := newPlatform(t, nodelist.Node{ID: "s-1", Platform: node.Address(), Weight: 1})
	slow, err := p.connect()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(slow)
	said := make(chan string, 1)
	go func() { got, _ := slow.ask("lookup", "SELECT slow"); said <- got }()
	c, err := p.connect()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(c)
	for len(node.Commands()) == 0 {
		time.Sleep(time.Millisecond)
	}
	p.d.Drain()
	served, refused := 0, 0
	for refused == 0 {
		if fresh, err := p.connect(); err != nil {
			t.Fatalf("a new connection while it drains: %v", err)
		} else {
			closeQuietly(fresh)
		}
		switch got, err := c.ask("lookup", "SELECT 1"); {
		case got == "Ts-1;C" && err == nil:
			served++
		case got == "57P03":
			refused++
		default:
			t.Fatalf("%q, %v", got, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	close(release)
	if got := <-said; served == 0 || got != "Ts-1;C" {
		t.Errorf("%d served while draining; the one held got %q", served, got)
	}
	select {
	case err := <-p.ended:
		if p.ended <- nil; err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("it does not end")
	}
}

// Thousands of ids and connections and hundreds of nodes that come and go: what is kept returns to its level.
func TestPlatformKeepsNothing(t *testing.T) {
	node, row := lineNode(t, "s-0")
	p := newPlatform(t, row)
	heap := func() uint64 {
		var m runtime.MemStats
		node.Forget()
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
			p.names.Set(number, []nodelist.Node{row})
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
						if _, err := c.ask("lookup", "SELECT 1"); err != nil {
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
		t.Errorf("%d KB kept more after 6,000 queries, 600 connections and 150 nodes", (after-before)>>10)
	}
	if now := runtime.NumGoroutine(); now > goroutines+20 {
		t.Errorf("%d goroutines, %d before", now, goroutines)
	}
}
