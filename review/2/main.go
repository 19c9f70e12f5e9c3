// Case 2: a compute node drains, and the dispatcher is told so. Then the name service's answers bring an older list for 2.6 s, and the
// dispatcher sends new requests to the draining node again. It exits with 1 if a request began at the draining node later than the grace
// after the dispatcher was told, 0 if none did, and 2 if it could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"embershunt/review/standin"
)

const (
	clients  = 8
	patience = 4 * time.Second
	work     = 20 * time.Millisecond
	grace    = time.Second             // stopSendingWithinUs in the settings
	slack    = 50 * time.Millisecond   // by which every time limit is extended
	older    = 2600 * time.Millisecond // how long answers bring an older list
)

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
	for i := range 4 {
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
	stop := make(chan struct{})
	errs := make([]error, clients)
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = ask(record, d.Listen, i, stop)
		}()
	}
	time.Sleep(2 * time.Second)

	// The drain, and several good answers that tell it. The node stays up and goes on serving what it gets.
	draining := append([]standin.Row(nil), rows...)
	draining[0].Draining = true
	number := names.Set(draining)
	for names.Answers(number) == 0 {
		time.Sleep(time.Millisecond)
	}
	told := time.Now()
	record.Printf("the dispatcher has been told that s-0 drains")
	for names.Answers(number) < 5 && time.Since(told) < 5*time.Second {
		time.Sleep(time.Millisecond)
	}
	names.SetOlder(trouble)
	time.Sleep(older)
	names.SetOlder(false)
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	if d.Ended() {
		record.Verdict("broken: the dispatcher has ended")
		return 1
	}
	for _, err := range errs {
		if err != nil {
			return fail(err)
		}
	}
	return judge(record, nodes, told)
}

// ask sends one request after the other until stop is closed.
func ask(record *standin.Record, address string, number int, stop chan struct{}) error {
	c, err := standin.Dial(address)
	if err != nil {
		return err
	}
	defer c.Close()
	for {
		select {
		case <-stop:
			return nil
		case <-time.After(time.Duration(10+rand.IntN(20)) * time.Millisecond):
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		if err := c.Send(fmt.Sprintf("/* route=lookup,trace=%s,patience=%d */ SELECT day FROM sales_%d.orders", id, patience.Milliseconds(), rand.IntN(9))); err != nil {
			return err
		}
		record.Printf("client %d: sent %s", number, id)
		a := c.Read(time.Now().Add(patience + time.Second))
		if a.Err != nil {
			return a.Err
		}
		record.Printf("client %d: %s %s", number, a.Kind(), id)
	}
}

// judge counts the requests that reached the draining node too late.
func judge(record *standin.Record, nodes []*standin.Node, told time.Time) int {
	all, late, first, last := 0, 0, time.Duration(0), time.Duration(0)
	for _, n := range nodes {
		for _, r := range n.Requests() {
			all++
			if after := r.At.Sub(told); n == nodes[0] && after > grace+slack {
				late++
				if first == 0 {
					first = after
				}
				last = max(last, after)
				record.Printf("broken: %s reached %s %.3f s after the dispatcher was told that it drains", r.ID, r.Node, after.Seconds())
			}
		}
	}
	record.Verdict("%d requests at nodes; at the draining node later than %v after the dispatcher was told: %d, from %.3f s to %.3f s",
		all, grace+slack, late, first.Seconds(), last.Seconds())
	if late > 0 {
		record.Verdict("rule 3 is broken")
		return 1
	}
	return 0
}
