// Case 8: idle clients fill the descriptors. See claim.txt.
package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"embershunt/review/kit2"
)

const (
	sockets  = 256
	crowd    = 200                   // idle clients
	rest     = 20000                 // microseconds that an idle client waits at most before it comes again
	usual    = 60                    // usual clients, one connection each: under a third of the descriptors
	seconds  = 20                    // of requests
	patience = 5 * time.Second       // of a request
	work     = 50 * time.Millisecond // at a node
	// A connection that ends this long after its request had been written was not shut unread, and the request did not cross a close: "a
	// request that crosses such a close within 50 ms".
	crossing = time.Second
)

func main() { kit2.Main(run) }

func run() int {
	r := kit2.NewRecord()
	var rows []kit2.Row
	for i := range 6 {
		n := kit2.NewNode(r, fmt.Sprintf("s-%d", i))
		n.Run = func(q *kit2.Request) { q.Serve(work) }
		rows = append(rows, kit2.Row{ID: n.ID, Address: n.Address, Zone: "banska-bystrica-dc", Kind: "eng-16c", Cell: i / 3})
	}
	names := kit2.NewNameService(r, rows)
	d := kit2.NewDispatcher(r, kit2.Settings())
	d.Sockets = sockets
	d.Configure(names)
	d.Start()
	stop := time.Now().Add(seconds * time.Second)
	var opened atomic.Int64
	if kit2.Trouble() {
		for range crowd {
			go idle(d.Address, stop, &opened)
		}
		time.Sleep(time.Second)
	}
	var mu sync.Mutex
	var breaks []string
	kinds := map[string]int{}
	var serial atomic.Int64
	var clients sync.WaitGroup
	for range usual {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(stop) {
				kind, lost := ask(r, d.Address, fmt.Sprintf("08%014x", serial.Add(1)))
				mu.Lock()
				kinds[kind]++
				if lost != "" {
					breaks = append(breaks, lost)
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	r.Logf("usual clients: %v; idle clients opened %d connections", kinds, opened.Load())
	if !d.Running() {
		breaks = append(breaks, "the dispatcher has ended")
	}
	return r.Finish(breaks)
}

// idle opens a connection, says nothing and, when it is turned away, does the same again after a moment.
func idle(address string, stop time.Time, opened *atomic.Int64) {
	for time.Now().Before(stop) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		opened.Add(1)
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, _ = c.Read(make([]byte, 1))
		_ = c.Close()
		time.Sleep(time.Duration(rand.IntN(rest)) * time.Microsecond)
	}
}

// ask opens a connection and, up to 20 ms later, sends the start-up message with its first query directly behind it. It returns what
// became of the request, and a break if the connection ended, or the request's time did, without an answer.
func ask(r *kit2.Record, address, trace string) (kind, lost string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection", ""
	}
	defer conn.Close()
	s := kit2.NewSession(conn)
	time.Sleep(time.Duration(rand.IntN(20000)) * time.Microsecond)
	message := append(kit2.Startup(), kit2.QueryMessage(kit2.Statement("lookup", trace, patience, "", 50, 0))...)
	if _, err := conn.Write(message); err != nil {
		return "not written", ""
	}
	sent := time.Now()
	r.Logf("%s sent", trace)
	_ = conn.SetReadDeadline(sent.Add(patience + kit2.AnswerSlack))
	a := s.ReadAnswer() // to the start-up message
	if a.Err == nil && a.Code == "" {
		a = s.ReadAnswer()
	}
	took := time.Since(sent).Round(time.Millisecond)
	r.Logf("%s: %s %s %v after %v", trace, a.Kind(), a.Code, a.Err, took)
	switch {
	case a.Kind() != "closed":
		return a.Kind(), ""
	case took < crossing:
		return "closed at once", ""
	case errors.Is(a.Err, io.EOF):
		return "closed late", fmt.Sprintf("%s: its connection took the request, was silent for %v and ended without an answer (%v)", trace, took, a.Err)
	}
	return "no answer", fmt.Sprintf("%s: no answer: %v after %v", trace, a.Err, took)
}
