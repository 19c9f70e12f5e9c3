package kit2

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Row is one compute node in the list.
type Row struct {
	ID, Address, Zone, Kind string
	Cell                    int
	Draining                bool
	Started                 int64 // Unix milliseconds; 0: long ago
}

// Class is a class of the settings.
type Class = map[string]any

// Settings returns the settings of a small deployment, after the site file of premium-data-bb: three classes, of which the third carries a
// key, one location, two kinds of machine.
func Settings() map[string]any {
	return map[string]any{
		"az": 0, "me": 0, "peersTotal": 1, "tier": 0, "tiers": []string{"query-engines"},
		"classes": []Class{
			{"name": "lookup", "credit": 1.0, "promiseUs": 1500000, "aimStretch": 1.5, "deadlineUs": 7500000, "effect": "retryable",
				"group": "all", "lateWorth": 0.4, "stream": false, "windowUs": 15000000},
			{"name": "report", "credit": 6.0, "promiseUs": 3000000, "aimStretch": 2.5, "deadlineUs": 15000000, "effect": "retryable",
				"group": "all", "lateWorth": 0.4, "stream": false, "windowUs": 15000000},
			{"name": "load", "credit": 5.0, "promiseUs": 3000000, "aimStretch": 3.0, "deadlineUs": 25000000, "effect": "dedup",
				"group": "all", "lateWorth": 0.4, "stream": false, "windowUs": 15000000},
		},
		"clientHabits": map[string]any{"marksRetry": false},
		"countedBy":    "request",
		"customers": []map[string]any{{"allowancePerS": 100.0, "fraction": 0.52, "name": "motor"},
			{"allowancePerS": 92.0, "fraction": 0.48, "name": "property"}},
		"familyInfo": map[string]any{"dop": []int{1, 2, 2}, "grantsCount": true, "kindCores": []int{16, 12}, "maxGrantShare": 0.4,
			"onShortage": "swap", "progressUs": 500000, "ramOfKindMb": []float64{32768, 24576}, "saysCost": false, "takesPriority": true,
			"waitsForLoads": []bool{true, false, false}, "writesTables": []bool{false, false, true}},
		"feedback":      map[string]any{"fields": []string{"busy", "rif"}, "how": "piggyback"},
		"kindOfService": "queries",
		"limits": map[string]any{"cancelling": false, "connIdleUs": 30000000, "connectTimeoutUs": 250000, "cpuUsPerS": 80000,
			"maxRetryAfterUs": 2000000, "mostHeld": 25030, "peers": false, "probes": false, "retryAfter": true, "secondCopies": false,
			"sendCap": 3, "streamsPerConn": 100},
		"models":         []string{"eng-16c", "eng-12c"},
		"overShareWorth": 0.05, "registryMode": "automatic",
		"rules": map[string]any{"coldFrom": 0.31, "coldUs": 14000000, "fallMultiple": 3.0, "graceToAnswerUs": 20000, "mustAskInUs": 10000000,
			"overloadForUs": 3000000, "stopSendingWithinUs": 1000000, "budgetFree": 5, "budgetShare": 0.2, "budgetSpanUs": 5000000},
		"tickUs": 5000, "weightSource": "nominal", "zones": []string{"banska-bystrica-dc"},
	}
}

// Dispatcher is one dispatcher, a process of its own that the command `run` of the deploy file started.
type Dispatcher struct {
	Address string
	Record  *Record
	Sockets int
	Memory  int

	folder, config string
	settings       map[string]any
	command        *exec.Cmd
	ended          chan struct{}
	log            *os.File
	stop           sync.Once
}

// FreeAddress returns an address with a free port on a loopback address that is drawn, so that no other socket takes the port before the
// dispatcher has started.
func FreeAddress() string {
	host := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	Must(err)
	defer l.Close()
	return l.Addr().String()
}

// NewDispatcher returns a dispatcher that is not started yet. Its files are in a temporary folder, which Stop removes.
func NewDispatcher(r *Record, settings map[string]any) *Dispatcher {
	folder, err := os.MkdirTemp("", "case")
	Must(err)
	log, err := os.Create(filepath.Join(folder, "dispatcher.log"))
	Must(err)
	d := &Dispatcher{Address: FreeAddress(), Record: r, Sockets: 1024, Memory: 192, folder: folder,
		config: filepath.Join(folder, "config.json"), settings: settings, log: log}
	startedMu.Lock()
	defer startedMu.Unlock()
	started = append(started, d)
	return d
}

// Configure writes the configuration file.
func (d *Dispatcher) Configure(names *NameService) {
	rows, number := names.List()
	var targets []map[string]any
	for _, n := range rows {
		state := "active"
		if n.Draining {
			state = "leaving"
		}
		targets = append(targets, map[string]any{"uid": n.ID, "endpoint": n.Address, "az": n.Zone, "model": n.Kind, "pod_group": n.Cell,
			"state": state, "capacity_hint": 16, "boot_ms": n.Started})
	}
	entry := map[string]any{"pos": number, "hosts": map[string]any{"rev": number, "all": true, "targets": targets}}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": d.Address, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": d.Memory, "sockets": d.Sockets},
		"peer_listen": "127.0.0.1:0", "peers": []string{"127.0.0.1:9"}, "resolver": names.Address(),
		"known": map[string]any{"pos": number, "entries": []any{entry}}, "settings": d.settings})
	Must(err)
	Must(os.WriteFile(d.config+".new", text, 0o600))
	Must(os.Rename(d.config+".new", d.config))
}

// Start starts the process and waits until it answers an empty query.
func (d *Dispatcher) Start() {
	root := os.Getenv("ROOT")
	d.command = exec.Command("/bin/sh", "-c", "exec bin/dispatcher --platform")
	d.command.Dir = root
	d.command.Env = append(os.Environ(), "NODE_CONFIG="+d.config, "NODE_NAME=n0", "NODE_LISTEN="+d.Address)
	d.command.Stdout, d.command.Stderr = d.log, d.log
	Must(d.command.Start())
	d.ended = make(chan struct{})
	command, ended := d.command, d.ended
	go func() {
		defer close(ended)
		err := command.Wait()
		d.Record.Logf("dispatcher ended: %v %v", command.ProcessState, err)
	}()
	d.Record.Logf("dispatcher started, pid %d, clients at %s", d.command.Process.Pid, d.Address)
	until := time.Now().Add(10 * time.Second)
	for !Ready(d.Address) {
		if time.Now().After(until) {
			Must(errors.New("the dispatcher is not ready after 10 s"))
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.Record.Logf("dispatcher ready")
}

// Running reports whether the process has not ended.
func (d *Dispatcher) Running() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process.
func (d *Dispatcher) Signal(s syscall.Signal) {
	d.Record.Logf("signal to the dispatcher: %v", s)
	_ = d.command.Process.Signal(s)
}

// AwaitEnd waits until the process has ended; it returns false after the given time.
func (d *Dispatcher) AwaitEnd(within time.Duration) bool {
	select {
	case <-d.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// Kill ends the process at once.
func (d *Dispatcher) Kill() {
	_ = d.command.Process.Kill()
	<-d.ended
}

// PID returns the process id.
func (d *Dispatcher) PID() int { return d.command.Process.Pid }

// Log returns the lines of the dispatcher's log that contain a text.
func (d *Dispatcher) Log(text string) (lines []string) {
	all, _ := os.ReadFile(d.log.Name())
	for line := range strings.SplitSeq(string(all), "\n") {
		if strings.Contains(line, text) && line != "" {
			lines = append(lines, line)
		}
	}
	return lines
}

// Stop kills the process, if it runs, and removes its files. It may be called more than once.
func (d *Dispatcher) Stop() {
	d.stop.Do(func() {
		if d.ended != nil {
			d.Kill()
		}
		_ = d.log.Close()
		_ = os.RemoveAll(d.folder)
	})
}

// Ready reports whether a dispatcher answers an empty query.
func Ready(address string) bool {
	s, err := Connect(context.Background(), address)
	if err != nil {
		return false
	}
	defer s.Close()
	_ = s.SetDeadline(time.Now().Add(time.Second))
	if _, err := s.Write(QueryMessage("")); err != nil {
		return false
	}
	a := s.ReadAnswer()
	return a.Empty
}
