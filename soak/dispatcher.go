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

// Dispatcher is one dispatcher: a process of its own that is killed, terminated and restarted under the same name and address.
type Dispatcher struct {
	record      *Record
	number      int
	program     string
	directory   string
	listen      string
	descriptors int
	nameService *NameService
	log         *os.File

	mu          sync.Mutex
	command     *exec.Cmd
	incarnation *Incarnation
	ended       chan struct{} // closed when the process of this incarnation has ended
	accepting   bool          // clients may open connections
}

// addresses counts the loopback addresses that this process has given away.
var addresses atomic.Uint32

// ownLoopbackAddress returns an address of 127.0.0.0/8 that no other dispatcher of this process has. A dispatcher's port is free
// until it has started, and again while it restarts: on an address of its own no other socket can take the port meanwhile.
func ownLoopbackAddress() string {
	n := addresses.Add(1)
	return net.IPv4(127, byte(64+os.Getpid()%128), byte(n>>8), byte(n)).String()
}

// newDispatcher returns a dispatcher with a free port, which is not started yet.
func newDispatcher(r *Record, number int, o Options, names *NameService) (*Dispatcher, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ownLoopbackAddress(), "0")) // a free port
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }() // the port is free for the dispatcher then
	log, err := os.Create(filepath.Join(o.Directory, fmt.Sprintf("n%d.log", number)))
	if err != nil {
		return nil, err
	}
	return &Dispatcher{record: r, number: number, program: o.Program, directory: o.Directory, listen: l.Addr().String(),
		descriptors: o.Descriptors, nameService: names, log: log}, nil
}

// connectable tells whether clients may open connections now.
func (d *Dispatcher) connectable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.accepting
}

// incarnationNumber is the number of its current incarnation, from 1 on.
func (d *Dispatcher) incarnationNumber() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation.Number
}

func (d *Dispatcher) configPath() string {
	return filepath.Join(d.directory, fmt.Sprintf("n%d.json", d.number))
}

// writeConfig writes its configuration file with the endpoint list and the name service's address.
func (d *Dispatcher) writeConfig(nodes []nodelist.Node) error {
	text, err := configuration{name: fmt.Sprintf("n%d", d.number), listen: d.listen, resolver: d.nameService.Address(), descriptors: d.descriptors,
		nodes: nodes}.marshal()
	if err != nil {
		return err
	}
	return os.WriteFile(d.configPath(), text, 0o600)
}

// Start starts the process with an endpoint list; WaitReady waits until it is ready.
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
	d.logf("start %d", number)
	if err := d.command.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go d.recordEnd(d.command, d.incarnation, d.ended)
	return nil
}

// recordEnd waits for the end of a process, records it and closes ended; Kill waits for it.
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

// maxStartup is how long a process may take to be ready.
const maxStartup = 10 * time.Second

// WaitReady waits until the process answers an empty query, and lets clients connect; false where it took too long.
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

// Signal sends a signal to the process; one that has ended does not get it.
func (d *Dispatcher) Signal(s os.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.command.Process.Signal(s) // the process may have ended
}

// Kill sends SIGKILL and waits until the process has ended.
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

// connectsAfterSIGTERM is how long after SIGTERM clients still open connections.
const connectsAfterSIGTERM = 300 * time.Millisecond

// Terminate ends the process as a planned restart does: SIGTERM, further signals, SIGKILL at the earliest moment that the
// platform's protocol allows.
func (d *Dispatcher) Terminate(further []os.Signal, interval time.Duration) {
	d.mu.Lock()
	incarnation, ended := d.incarnation, d.ended
	d.record.change(func() { incarnation.Terminated = d.record.now() })
	d.logf("SIGTERM, then %v every %v", further, interval)
	_ = d.command.Process.Signal(syscall.SIGTERM) // the process may have ended
	d.mu.Unlock()
	kill := time.After(killAfter())
	closes := time.AfterFunc(connectsAfterSIGTERM, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.accepting = d.accepting && d.incarnation != incarnation
	})
	defer closes.Stop()
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

// MoveNameService moves its name service to another address and notifies the process by SIGHUP.
func (d *Dispatcher) MoveNameService(nodes []nodelist.Node) error {
	if err := d.nameService.Move(); err != nil {
		return err
	}
	if err := d.writeConfig(nodes); err != nil {
		return err
	}
	d.nameService.SetMoved()
	d.logf("name service at %s, SIGHUP", d.nameService.Address())
	d.Signal(syscall.SIGHUP)
	return nil
}

// Close kills the process, closes its name service and records the log lines that must not be there.
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
	defer func() { _ = f.Close() }() // it was only read
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := lines.Text()
		if strings.Contains(line, `"msg":"fault"`) || strings.Contains(line, "panic") || strings.Contains(line, `"msg":"rule violated"`) {
			d.record.change(func() { d.incarnation.Violations = append(d.incarnation.Violations, line) })
		}
	}
	return nil
}

// SetNameFaults sets the faults of its name service.
func (d *Dispatcher) SetNameFaults(f NameFaults) {
	d.logf("name service: %+v", f)
	d.nameService.SetFaults(f)
}

// logf writes a line of the run itself into the dispatcher's log.
func (d *Dispatcher) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.log, "--- %.3f s: %s\n", d.record.now().Seconds(), fmt.Sprintf(format, args...))
}
