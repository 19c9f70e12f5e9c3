// Case 3: clients that have sent many requests at once go, and the dispatcher goes on sending their requests to compute nodes.
// It exits with 1 if an attempt began more than 0.1 s (and the 50 ms of every time limit) after its client had gone, 0 if none did, and 2 if
// it could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"embershunt/review/standin"
)

const (
	sessions      = 6
	commands      = 40                     // of each session
	patience      = 8 * time.Second        // of each request
	work          = 400 * time.Millisecond // of each request at a node
	statementSize = 1500
	leaveAfter    = 1350 * time.Millisecond // after the commands were sent
	slack         = 150 * time.Millisecond  // 0.1 s after a client has gone, and the 50 ms by which every time limit is extended
)

// session is what one client did.
type session struct {
	ids  []string
	gone time.Time // when it had written its CancelRequest, or closed its connection; zero: it stayed
	err  error
}

func main() { os.Exit(run()) }

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := standin.NewRecord("record.txt")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	fail := func(err error) int {
		record.Verdict("cannot run: %v", err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return fail(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	var rows []standin.Row
	var nodes []*standin.Node
	for i := range 3 {
		n, err := standin.NewNode(record, fmt.Sprintf("s-%d", i), "", func(q *standin.Request) { q.Serve(work) })
		if err != nil {
			return fail(err)
		}
		nodes = append(nodes, n)
		rows = append(rows, standin.Row{ID: n.ID, Address: n.Address(), Zone: "west", Kind: "std"})
	}
	names, err := standin.NewNameService(record, rows)
	if err != nil {
		return fail(err)
	}
	defer names.Close()
	settings := standin.Settings([]string{"west"}, 1, 0,
		standin.Class{Name: "lookup", Effect: "retryable", PromiseUs: 1500000, DeadlineUs: patience.Microseconds(), Stretch: 1.5})
	d, err := standin.NewDispatcher(record, "n1", dir, settings, standin.Limits(192, 1024), names.Address())
	if err != nil {
		return fail(err)
	}
	defer d.Stop()
	if err := d.Start(rows, 1); err != nil {
		return fail(err)
	}
	var wg sync.WaitGroup
	all := make([]session, sessions)
	for i := range sessions {
		wg.Add(1)
		go func() {
			defer wg.Done()
			all[i] = atOnce(record, d.Listen, i, trouble, i%2 == 0)
		}()
	}
	wg.Wait()
	if d.Ended() {
		record.Verdict("broken: the dispatcher has ended")
		return 1
	}
	for _, s := range all {
		if s.err != nil {
			return fail(s.err)
		}
	}
	time.Sleep(3 * time.Second) // for attempts that begin late
	return judge(record, all, nodes)
}

// atOnce sends all commands at once. With leave set the client goes after leaveAfter: it sends a CancelRequest and closes half a second
// later, or closes without a word. Else it stays until all commands have their answers.
func atOnce(record *standin.Record, address string, number int, leave, cancels bool) (s session) {
	c, err := standin.Dial(address)
	if err != nil {
		return session{err: err}
	}
	defer c.Close()
	var messages []byte
	for i := range commands {
		id := fmt.Sprintf("%08x%04x%04x", rand.Uint32(), number, i)
		text := fmt.Sprintf("/* route=lookup,trace=%s,patience=%d */ SELECT day, note FROM sales_17.orders WHERE tag = '", id, patience.Milliseconds())
		messages = append(messages, standin.QueryMessage(text+strings.Repeat("x", statementSize-len(text)-1)+"'")...)
		s.ids = append(s.ids, id)
		record.Printf("client %d: sends %s", number, id)
	}
	if s.err = c.SendBytes(messages); s.err != nil {
		return s
	}
	leaves := time.Now().Add(leaveAfter)
	for i := 0; i < commands; i++ {
		until := time.Now().Add(2 * patience)
		if leave {
			until = leaves
		}
		a := c.Read(until)
		if a.Err != nil {
			break
		}
		record.Printf("client %d: %s %s %s", number, a.Kind(), s.ids[i], a.Code)
	}
	if !leave {
		return s
	}
	if cancels {
		c.Cancel(address)
		s.gone = time.Now()
		record.Printf("client %d: has sent its CancelRequest", number)
		time.Sleep(500 * time.Millisecond)
	}
	c.Close()
	record.Printf("client %d: has closed", number)
	if s.gone.IsZero() {
		s.gone = time.Now()
	}
	return s
}

// judge counts the attempts that began after their client had gone.
func judge(record *standin.Record, all []session, nodes []*standin.Node) int {
	gone := map[string]time.Time{}
	for _, s := range all {
		for _, id := range s.ids {
			gone[id] = s.gone
		}
	}
	attempts, late, latest := 0, 0, time.Duration(0)
	for _, n := range nodes {
		for _, r := range n.Requests() {
			attempts++
			if at := gone[r.ID]; !at.IsZero() && r.At.Sub(at) > slack {
				late++
				latest = max(latest, r.At.Sub(at))
				record.Printf("broken: %s reached %s %.3f s after its client had gone", r.ID, r.Node, r.At.Sub(at).Seconds())
			}
		}
	}
	record.Verdict("%d attempts; %d began more than %v after their client had gone, the last %.3f s after it", attempts, late, slack, latest.Seconds())
	if late > 0 {
		return 1
	}
	return 0
}
