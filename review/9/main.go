// Case 9: bad clients that send large statements, under the limit on memory. See claim.txt.
package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"embershunt/review/kit2"
)

const (
	memoryMB   = 64
	sockets    = 608
	badClients = 300
	badAtOnce  = 6     // requests that each of them sends at once
	badBytes   = 64000 // of a statement
	perSecond  = 20    // requests of usual clients
	seconds    = 15
	patience   = 5 * time.Second
)

func main() { kit2.Main(run) }

// privateMemory returns the private memory of a process in kB, without the pages of the program's file.
func privateMemory(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if words := strings.Fields(line); len(words) == 3 && words[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(words[1])
			return kb
		}
	}
	return 0
}

func run() int {
	r := kit2.NewRecord()
	var rows []kit2.Row
	for i := range 6 {
		n := kit2.NewNode(r, fmt.Sprintf("s-%d", i))
		n.Run = func(q *kit2.Request) { q.Serve(200 * time.Millisecond) }
		rows = append(rows, kit2.Row{ID: n.ID, Address: n.Address, Zone: "banska-bystrica-dc", Kind: "eng-16c", Cell: i / 3})
	}
	names := kit2.NewNameService(r, rows)
	d := kit2.NewDispatcher(r, kit2.Settings())
	d.Memory, d.Sockets = memoryMB, sockets
	d.Configure(names)
	d.Start()

	// The platform: over memory_mb the dispatcher is killed.
	var most, killed atomic.Int64
	over := make(chan struct{})
	go func() {
		for d.Running() {
			kb := privateMemory(d.PID())
			most.Store(max(most.Load(), int64(kb)))
			if kb > memoryMB<<10 {
				killed.Store(1)
				r.Logf("the dispatcher holds %d kB and is killed", kb)
				d.Kill()
				close(over)
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	var clients sync.WaitGroup
	for i := range perSecond * seconds {
		if killed.Load() > 0 {
			break
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			kit2.Ask(r, d.Address, "lookup", fmt.Sprintf("%016x", 0x0900000000000000+i), patience, "", 200, 0)
		}()
		if i == 3*perSecond && kit2.Trouble() {
			r.Logf("%d bad clients come; each sends %d requests of %d bytes at once", badClients, badAtOnce, badBytes)
			for b := range badClients {
				go badClient(d.Address, b)
			}
		}
		time.Sleep(time.Second / perSecond)
	}
	select {
	case <-over:
	case <-time.After(patience):
	}
	clients.Wait()
	r.Logf("most private memory: %d kB of %d kB", most.Load(), memoryMB<<10)
	var breaks []string
	if killed.Load() > 0 {
		breaks = append(breaks, fmt.Sprintf("the dispatcher held %d kB of private memory, more than memory_mb (%d kB), and was killed", most.Load(), memoryMB<<10))
	} else if !d.Running() {
		breaks = append(breaks, "the dispatcher has ended")
	}
	return r.Finish(breaks)
}

// badClient sends its requests at once and reads whatever it is sent; when it has its answers, it does the same again.
func badClient(address string, number int) {
	for round := 0; ; round++ {
		s, err := kit2.Connect(context.Background(), address)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		var all []byte
		for i := range badAtOnce {
			trace := fmt.Sprintf("bad%05x%04x%04x", number, round, i)
			all = append(all, kit2.QueryMessage(kit2.Statement("lookup", trace, patience, "", 200, badBytes))...)
		}
		go func() { _, _ = s.Write(all) }()
		for range badAtOnce {
			if a := s.ReadAnswer(); a.Err != nil {
				break
			}
		}
		_ = s.Close()
	}
}
