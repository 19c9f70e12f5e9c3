package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"embershunt/nodelist"
)

// Dispatcher runs one dispatcher as a separate process, which is killed, terminated and restarted under the same name and address.
type Dispatcher struct {
	record      *Record
	number      int
	program     string // path of the executable
	directory   string // of the configuration file and the log
	listen      string // host:port for clients
	descriptors int    // file descriptors that the process may use
	nameService *NameService
	log         *os.File // output of all incarnations

	mu          sync.Mutex
	command     *exec.Cmd
	incarnation *Incarnation
	ended       chan struct{} // closed when the process of this incarnation has ended
	accepting   bool          // clients may open connections
}

// addressesAssigned counts the loopback addresses that ownLoopbackAddress has returned.
var addressesAssigned atomic.Uint32

// ownLoopbackAddress returns an address of 127.0.0.0/8 that no other dispatcher of this process has. A dispatcher's port is free
// until the dispatcher has started, and again while it restarts. Since no other socket uses the address, none can take the port meanwhile.
func ownLoopbackAddress() string {
	n := addressesAssigned.Add(1)
	return net.IPv4(127, byte(64+os.Getpid()%128), byte(n>>8), byte(n)).String()
}

// newDispatcher returns a dispatcher that has an address with a free port and is not started yet.
func newDispatcher(r *Record, number int, o Options, nameService *NameService) (*Dispatcher, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ownLoopbackAddress(), "0")) // the system chooses a free port
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }() // frees the port for the dispatcher
	log, err := os.Create(filepath.Join(o.Directory, fmt.Sprintf("n%d.log", number)))
	if err != nil {
		return nil, err
	}
	return &Dispatcher{record: r, number: number, program: o.Program, directory: o.Directory, listen: l.Addr().String(),
		descriptors: o.Descriptors, nameService: nameService, log: log}, nil
}

// connectable reports whether clients may open connections now.
func (d *Dispatcher) connectable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.accepting
}

// incarnationNumber returns the number of the current incarnation, which counts from 1.
func (d *Dispatcher) incarnationNumber() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation.Number
}

func (d *Dispatcher) configPath() string {
	return filepath.Join(d.directory, fmt.Sprintf("n%d.json", d.number))
}

// writeConfig writes the dispatcher's configuration file, with the endpoint list and the name service's address.
func (d *Dispatcher) writeConfig(nodes []nodelist.Node) error {
	text, err := configuration{name: fmt.Sprintf("n%d", d.number), listen: d.listen, resolver: d.nameService.Address(), descriptors: d.descriptors,
		nodes: nodes}.marshal()
	if err != nil {
		return err
	}
	return os.WriteFile(d.configPath(), text, 0o600)
}

// Start starts the next incarnation, whose configuration file holds the given endpoint list. WaitReady waits until it is ready.
func (d *Dispatcher) Start(nodes []nodelist.Node) error {
	if err := d.writeConfig(nodes); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	number := 1
	if d.incarnation != nil {
		number = d.incarnation.Number + 1
	}
	d.nameService.Restart(number, nodes)
	d.incarnation = &Incarnation{Dispatcher: d.number, Number: number, Started: d.record.now()}
	d.record.addIncarnation(d.incarnation)
	d.command = exec.Command(d.program, "--platform")
	d.command.Env = append(os.Environ(), "NODE_CONFIG="+d.configPath())
	d.command.Stdout, d.command.Stderr = d.log, d.log
	d.logf("start of incarnation %d", number)
	if err := d.command.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go d.recordEnd(d.command, d.incarnation, d.ended)
	return nil
}

// recordEnd waits until a process has ended, records its exit code, and closes ended, which Kill and Terminate wait for.
func (d *Dispatcher) recordEnd(command *exec.Cmd, incarnation *Incarnation, ended chan<- struct{}) {
	defer close(ended)
	err := command.Wait()
	d.record.change(func() { incarnation.Ended, incarnation.ExitCode = d.record.now(), command.ProcessState.ExitCode() })
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		d.record.change(func() { incarnation.Violations = append(incarnation.Violations, err.Error()) })
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.incarnation == incarnation {
		d.accepting = false
	}
}

// maxStartup is how long a process may take to become ready.
const maxStartup = 10 * time.Second

// WaitReady waits until the process answers an empty query, and then lets clients connect. It returns false after maxStartup, or where
// ctx has ended.
func (d *Dispatcher) WaitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, maxStartup)
	defer cancel()
	for !isReady(ctx, d.listen) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(10 * time.Millisecond):
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.accepting = true
	d.record.change(func() { d.incarnation.Ready = d.record.now() })
	return true
}

// Signal sends a signal to the process, if it is still running.
func (d *Dispatcher) Signal(s os.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.command.Process.Signal(s) // the process may have ended
}

// Kill sends SIGKILL and waits until the process has ended. Clients open no more connections until the next WaitReady.
func (d *Dispatcher) Kill() {
	d.mu.Lock()
	d.accepting = false
	incarnation, ended := d.incarnation, d.ended
	select {
	case <-ended:
	default:
		d.record.change(func() { incarnation.Killed = d.record.now() })
	}
	_ = d.command.Process.Kill() // the process may have ended
	d.mu.Unlock()
	<-ended
}

// connectsAfterSIGTERM is how long clients still open connections after SIGTERM.
const connectsAfterSIGTERM = 300 * time.Millisecond

// Terminate ends the process as a planned restart does: it sends SIGTERM, then the further signals with an interval before each, and
// SIGKILL at the earliest time that the platform's protocol allows.
func (d *Dispatcher) Terminate(further []os.Signal, interval time.Duration) {
	d.mu.Lock()
	incarnation, ended := d.incarnation, d.ended
	d.record.change(func() { incarnation.Terminated = d.record.now() })
	d.logf("SIGTERM, then %v every %v", further, interval)
	_ = d.command.Process.Signal(syscall.SIGTERM) // the process may have ended
	d.mu.Unlock()
	kill := time.After(killAfter())
	stopConnects := time.AfterFunc(connectsAfterSIGTERM, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.accepting = d.accepting && d.incarnation != incarnation
	})
	defer stopConnects.Stop()
	for _, s := range further {
		select {
		case <-ended:
			return
		case <-time.After(interval):
			d.Signal(s)
		}
	}
	select {
	case <-ended:
	case <-kill:
		d.Kill()
	}
}

// MoveNameService moves the dispatcher's name service to another port, writes its address and the endpoint list to the configuration
// file, and has the process read the file by SIGHUP.
func (d *Dispatcher) MoveNameService(nodes []nodelist.Node) error {
	if err := d.nameService.Move(); err != nil {
		return err
	}
	if err := d.writeConfig(nodes); err != nil {
		return err
	}
	d.nameService.SetMoved()
	d.logf("name service moved to %s, sending SIGHUP", d.nameService.Address())
	d.Signal(syscall.SIGHUP)
	return nil
}

// Close kills the process, closes its name service, and records the log lines that report a fault, a panic or a violated rule. All of
// them are recorded with the last incarnation, whichever incarnation wrote them.
func (d *Dispatcher) Close() error {
	d.Kill()
	d.nameService.Close()
	if err := d.log.Close(); err != nil {
		return err
	}
	f, err := os.Open(d.log.Name())
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the file was only read
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := lines.Text()
		if strings.Contains(line, `"msg":"fault"`) || strings.Contains(line, "panic") || strings.Contains(line, `"msg":"rule violated"`) {
			d.record.change(func() { d.incarnation.Violations = append(d.incarnation.Violations, line) })
		}
	}
	return nil
}

// SetNameServiceFaults sets the faults of the dispatcher's name service.
func (d *Dispatcher) SetNameServiceFaults(f NameServiceFaults) {
	d.logf("name service faults: %+v", f)
	d.nameService.SetFaults(f)
}

// logf writes a line about the run into the dispatcher's log, with the time since the start of the run. "---" marks such lines.
func (d *Dispatcher) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.log, "--- %.3f s: %s\n", d.record.now().Seconds(), fmt.Sprintf(format, args...))
}
