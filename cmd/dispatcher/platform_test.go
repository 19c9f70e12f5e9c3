package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// runDispatcherEnv names the environment variable that makes the test binary run as the dispatcher.
const runDispatcherEnv = "EMBERDISPATCH_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runDispatcherEnv) != "" {
		os.Args = []string{"dispatcher", "--platform"}
		main()
	}
	os.Exit(m.Run())
}

// validConfig is a platform configuration file that the dispatcher accepts.
const validConfig = `{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{"cores":0.5,"memory_mb":64,"sockets":128},"resolver":"127.0.0.1:9",
 "known":{"pos":1,"entries":[]},"settings":{"az":0,"me":0,"peersTotal":1,"zones":["west"],"models":["std"],
 "classes":[{"name":"lookup","credit":1,"promiseUs":500000,"deadlineUs":2500000,"effect":"retryable"}]}}`

// process is a dispatcher in a process of its own.
type process struct {
	*exec.Cmd
	file  string // path of its configuration
	mu    sync.Mutex
	log   bytes.Buffer // all lines so far; guarded by mu
	lines chan string  // of its output; closed at the end of the test
}

// startProcess starts a dispatcher with the configuration text; the end of the test kills it.
func startProcess(t *testing.T, text string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(os.Args[0]), file: filepath.Join(t.TempDir(), "config.json"), lines: make(chan string, 1000)}
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p.Env = append(os.Environ(), runDispatcherEnv+"=1", "NODE_CONFIG="+p.file)
	r, w := io.Pipe()
	p.Stdout, p.Stderr = w, w // one writer for both, so that lines of the two don't interleave
	go func() {
		defer close(p.lines)
		for s := bufio.NewScanner(r); s.Scan(); {
			p.mu.Lock()
			fmt.Fprintln(&p.log, s.Text())
			p.mu.Unlock()
			p.lines <- s.Text()
		}
	}()
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill() // the process may have ended
		_ = w.Close()
	})
	return p
}

// waitForLine waits for the next line of the process's output that contains text, and returns the line.
func (p *process) waitForLine(t *testing.T, text string) string {
	t.Helper()
	for line := range p.lines {
		if strings.Contains(line, text) {
			return line
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Fatalf("the dispatcher's log has no line with %q:\n%s", text, p.log.String())
	return ""
}

// waitExit waits for the end of the process and returns its exit code.
func (p *process) waitExit(t *testing.T) int {
	t.Helper()
	var exit *exec.ExitError
	if err := p.Wait(); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return p.ProcessState.ExitCode()
}

// With an invalid configuration file the dispatcher exits with code 2 and reports the field, the value found and the values allowed.
func TestStartWithInvalidConfig(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"sockets": {`"sockets":128`, `"sockets":3`, "limits.sockets: found 3; allowed: 64 and more"},
		"listen":  {`"listen":"127.0.0.1:0"`, `"listen":"here"`, `listen: found "here"; allowed: ADDRESS:PORT`},
		"effect":  {`"effect":"retryable"`, `"effect":"maybe"`, `classes[0].effect: unknown value "maybe"`},
		"syntax":  {`"name":"n0",`, `"name":`, "byte "},
	} {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t, strings.Replace(validConfig, c.old, c.new, 1))
			p.waitForLine(t, c.want)
			if code := p.waitExit(t); code != 2 {
				t.Errorf("exit code %d, want 2", code)
			}
		})
	}
}

// sendSignal sends a signal to the process unless the process has already ended.
func sendSignal(t *testing.T, p *process, signal os.Signal) {
	t.Helper()
	if err := p.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatal(err)
	}
}

// SIGHUP with an invalid file keeps the old configuration. SIGTERM drains the dispatcher, which exits with code 0; a second SIGTERM has
// no effect.
func TestSignals(t *testing.T) {
	p := startProcess(t, validConfig)
	p.waitForLine(t, `"serving"`)
	sendSignal(t, p, syscall.SIGHUP)
	p.waitForLine(t, "configuration reloaded")
	if err := os.WriteFile(p.file, []byte(strings.Replace(validConfig, `"seed":"1"`, `"seed":"x"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	sendSignal(t, p, syscall.SIGHUP)
	if line := p.waitForLine(t, "the old one stays"); !strings.Contains(line, `seed: found \"x\"; allowed: up to 16 hex digits`) {
		t.Errorf("the log line does not name the invalid field: %s", line)
	}
	sendSignal(t, p, syscall.SIGTERM)
	p.waitForLine(t, "draining")
	sendSignal(t, p, syscall.SIGTERM)
	p.waitForLine(t, "drained")
	if code := p.waitExit(t); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
}

// With a listen port that is in use the dispatcher exits with code 1 and logs the reason.
func TestStartWithPortInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := startProcess(t, strings.Replace(validConfig, "127.0.0.1:0", l.Addr().String(), 1))
	p.waitForLine(t, "address already in use")
	if code := p.waitExit(t); code != 1 {
		t.Errorf("exit code %d, want 1", code)
	}
}
