// Case 10: clients that send much at once and go. See claim.txt.
package main

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"embershunt/review/kit2"
)

const (
	clients   = 20
	atOnce    = 200  // requests that each of them sends at once
	statement = 1000 // bytes of a statement with its comment
	patience  = 7 * time.Second
	work      = time.Second
	slack     = 150 * time.Millisecond // 0.1 s by the page, and 50 ms as for every limit
)

func main() { kit2.Main(run) }

func run() int {
	r := kit2.NewRecord()
	var rows []kit2.Row
	var nodes []*kit2.Node
	for i := range 6 {
		n := kit2.NewNode(r, fmt.Sprintf("s-%d", i))
		n.Run = func(q *kit2.Request) { q.Serve(work) }
		nodes = append(nodes, n)
		rows = append(rows, kit2.Row{ID: n.ID, Address: n.Address, Zone: "banska-bystrica-dc", Kind: "eng-16c", Cell: i / 3})
	}
	names := kit2.NewNameService(r, rows)
	d := kit2.NewDispatcher(r, kit2.Settings())
	d.Configure(names)
	d.Start()
	goneAt := make([]time.Duration, clients)
	var all sync.WaitGroup
	for c := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			goneAt[c] = client(r, d.Address, c)
		}()
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(patience)
	var breaks []string
	for _, n := range nodes {
		for _, q := range n.Requests() {
			c, err := strconv.ParseInt(q.ID[:8], 16, 32)
			kit2.Must(err)
			if late := q.At - goneAt[c&0xffff]; late > slack {
				breaks = append(breaks, fmt.Sprintf("an attempt of %s began at %s %v after its client had closed its connection", q.ID, n.ID,
					late.Round(time.Millisecond)))
			}
		}
	}
	if !d.Running() {
		breaks = append(breaks, "the dispatcher has ended")
	}
	return r.Finish(breaks)
}

// client sends its requests at once and closes its connection; without the disruption it sends three of them, one after the other, and
// closes when it has its answers. It returns when it had closed.
func client(r *kit2.Record, address string, number int) time.Duration {
	s, err := kit2.Connect(context.Background(), address)
	kit2.Must(err)
	message := func(i int) []byte {
		return kit2.QueryMessage(kit2.Statement("lookup", fmt.Sprintf("000a%04x%08x", number, i), patience, "", 200, statement))
	}
	if kit2.Trouble() {
		var b []byte
		for i := range atOnce {
			b = append(b, message(i)...)
		}
		_ = s.SetWriteDeadline(time.Now().Add(5 * time.Second))
		_, err := s.Write(b)
		kit2.Must(err)
		r.Logf("client %d wrote %d requests, %d bytes", number, atOnce, len(b))
	} else {
		for i := range 3 {
			_, err := s.Write(message(i))
			kit2.Must(err)
			a := s.ReadAnswer()
			r.Logf("client %d: %s %s", number, a.Kind(), a.Code)
		}
	}
	_ = s.Close()
	r.Logf("client %d closed its connection", number)
	return r.Since()
}
