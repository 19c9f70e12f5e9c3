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
	"syscall"
	"time"

	"embershunt/nodelist"
)

// Dispatcher is one dispatcher: a process of its own that is killed, ended and started again under the same name and address.
type Dispatcher struct {
	record  *Record
	number  int
	program string
	folder  string
	listen  string
	sockets int
	names   *NameService
	log     *os.File

	mu      sync.Mutex
	command *exec.Cmd
	life    *Life
	ended   chan struct{} // closed when the process of this life has ended
	open    bool          // clients may open connections
}

func newDispatcher(r *Record, number int, program, folder string, names *NameService, sockets int) (*Dispatcher, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // an address that is free
	if err != nil {
		return nil, err
	}
	defer l.Close()
	log, err := os.Create(filepath.Join(folder, fmt.Sprintf("n%d.log", number)))
	if err != nil {
		return nil, err
	}
	return &Dispatcher{record: r, number: number, program: program, folder: folder, listen: l.Addr().String(), sockets: sockets,
		names: names, log: log}, nil
}

// connectable tells whether clients may open connections now.
func (d *Dispatcher) connectable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// current is the number of its start.
func (d *Dispatcher) current() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.life.Start
}

func (d *Dispatcher) file() string { return filepath.Join(d.folder, fmt.Sprintf("n%d.json", d.number)) }

// configure writes its file with the list in force and the name service's address.
func (d *Dispatcher) configure(nodes []nodelist.Node) error {
	text, err := configuration{name: fmt.Sprintf("n%d", d.number), listen: d.listen, resolver: d.names.Address(), sockets: d.sockets,
		nodes: nodes}.marshal()
	if err != nil {
		return err
	}
	return os.WriteFile(d.file(), text, 0o600)
}

// Begin starts the process with the list in force; Ready waits for it.
func (d *Dispatcher) Begin(nodes []nodelist.Node) error {
	if err := d.configure(nodes); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	start := 1
	if d.life != nil {
		start = d.life.Start + 1
	}
	d.names.Begin(start, nodes)
	d.life = &Life{Dispatcher: d.number, Start: start, Began: d.record.now()}
	d.record.addLife(d.life)
	d.command = exec.Command(d.program, "--platform")
	d.command.Env = append(os.Environ(), "NODE_CONFIG="+d.file())
	d.command.Stdout, d.command.Stderr = d.log, d.log
	d.note("start %d", start)
	if err := d.command.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func(command *exec.Cmd, life *Life, ended chan struct{}) {
		defer close(ended)
		err := command.Wait()
		d.record.change(func() { life.Ended, life.ExitCode = d.record.now(), command.ProcessState.ExitCode() })
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			d.record.change(func() { life.Violations = append(life.Violations, err.Error()) })
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.life == life {
			d.open = false
		}
	}(d.command, d.life, d.ended)
	return nil
}

// readyMost is how long a process may take to be ready.
const readyMost = 10 * time.Second

// Ready waits until the process answers an empty query, and lets clients come.
func (d *Dispatcher) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyMost)
	defer cancel()
	for !answered(ctx, d.listen) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(10 * time.Millisecond):
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open = true
	d.record.change(func() { d.life.Ready = d.record.now() })
	return true
}

// Signal sends a signal to the process.
func (d *Dispatcher) Signal(s os.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.command.Process.Signal(s)
}

// Kill kills the process outright and waits for its end.
func (d *Dispatcher) Kill() {
	d.mu.Lock()
	d.open = false
	life, ended := d.life, d.ended
	select {
	case <-ended:
	default:
		d.record.change(func() { life.Killed = d.record.now() })
	}
	d.command.Process.Kill()
	d.mu.Unlock()
	<-ended
}

// How long after SIGTERM clients still open connections.
const connectsAfterTerm = 300 * time.Millisecond

// Terminate plays a planned restart's end: SIGTERM, further signals, SIGKILL at the earliest moment that the protocol page allows.
func (d *Dispatcher) Terminate(further []os.Signal, between time.Duration) {
	d.mu.Lock()
	life, ended := d.life, d.ended
	d.record.change(func() { life.Terminated = d.record.now() })
	d.note("SIGTERM, then %v every %v", further, between)
	d.command.Process.Signal(syscall.SIGTERM)
	d.mu.Unlock()
	kill := time.After(killAfter())
	closes := time.AfterFunc(connectsAfterTerm, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.open = d.open && d.life != life
	})
	defer closes.Stop()
	for _, s := range further {
		select {
		case <-ended:
			return
		case <-time.After(between):
			d.Signal(s)
		}
	}
	select {
	case <-ended:
	case <-kill:
		d.Kill()
	}
}

// Move moves its name service and tells it by SIGHUP.
func (d *Dispatcher) Move(nodes []nodelist.Node) error {
	if err := d.names.Move(); err != nil {
		return err
	}
	if err := d.configure(nodes); err != nil {
		return err
	}
	d.names.Moved()
	d.note("name service at %s, SIGHUP", d.names.Address())
	d.Signal(syscall.SIGHUP)
	return nil
}

// Close ends it and reads what its log must not hold.
func (d *Dispatcher) Close() error {
	d.Kill()
	d.names.Close()
	if err := d.log.Close(); err != nil {
		return err
	}
	f, err := os.Open(d.log.Name())
	if err != nil {
		return err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := lines.Text()
		if strings.Contains(line, `"msg":"fault"`) || strings.Contains(line, "panic") || strings.Contains(line, `"msg":"rule violated"`) {
			d.record.change(func() { d.life.Violations = append(d.life.Violations, line) })
		}
	}
	return nil
}

// SetNameFaults has its name service misbehave from now on.
func (d *Dispatcher) SetNameFaults(f NameFaults) {
	d.note("name service: %+v", f)
	d.names.SetFaults(f)
}

// note writes a line of the run's own into the dispatcher's log.
func (d *Dispatcher) note(format string, args ...any) {
	fmt.Fprintf(d.log, "--- %.3f s: %s\n", d.record.now().Seconds(), fmt.Sprintf(format, args...))
}
