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

// The test's own program is the dispatcher where this is set.
const asDispatcher = "EMBERDISPATCH_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(asDispatcher) != "" {
		os.Args = []string{"dispatcher", "--platform"}
		main()
	}
	os.Exit(m.Run())
}

const goodFile = `{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{"cores":0.5,"memory_mb":64,"sockets":128},"resolver":"127.0.0.1:9",
 "known":{"pos":1,"entries":[]},"settings":{"az":0,"me":0,"peersTotal":1,"zones":["west"],"models":["std"],
 "classes":[{"name":"lookup","credit":1,"promiseUs":500000,"deadlineUs":2500000,"effect":"retryable"}]}}`

// process is a dispatcher that runs as a process of its own.
type process struct {
	*exec.Cmd
	file string
	mu   sync.Mutex
	log  bytes.Buffer
	line chan string
}

func start(t *testing.T, text string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(os.Args[0]), file: filepath.Join(t.TempDir(), "config.json"), line: make(chan string, 1000)}
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p.Env = append(os.Environ(), asDispatcher+"=1", "NODE_CONFIG="+p.file)
	r, w := io.Pipe()
	p.Stdout, p.Stderr = w, w // one writer for both: its lines stay whole
	go func() {
		defer close(p.line)
		for s := bufio.NewScanner(r); s.Scan(); {
			p.mu.Lock()
			fmt.Fprintln(&p.log, s.Text())
			p.mu.Unlock()
			p.line <- s.Text()
		}
	}()
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill() // it may have ended
		_ = w.Close()
	})
	return p
}

// until waits for a line of its log that holds some text, and returns it.
func (p *process) until(t *testing.T, text string) string {
	t.Helper()
	for line := range p.line {
		if strings.Contains(line, text) {
			return line
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Fatalf("no %q in its log:\n%s", text, p.log.String())
	return ""
}

func (p *process) code(t *testing.T) int {
	t.Helper()
	var exit *exec.ExitError
	if err := p.Wait(); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return p.ProcessState.ExitCode()
}

// A file that cannot be used ends the start with code 2, and place, found and allowed are named.
func TestABadFileAtStart(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"sockets": {`"sockets":128`, `"sockets":3`, "limits.sockets: found 3; allowed: 64 and more"},
		"listen":  {`"listen":"127.0.0.1:0"`, `"listen":"here"`, `listen: found "here"; allowed: ADDRESS:PORT`},
		"effect":  {`"effect":"retryable"`, `"effect":"maybe"`, `classes[0].effect: unknown value "maybe"`},
		"form":    {`"name":"n0",`, `"name":`, "byte "},
	} {
		t.Run(name, func(t *testing.T) {
			p := start(t, strings.Replace(goodFile, c.old, c.new, 1))
			p.until(t, c.want)
			if code := p.code(t); code != 2 {
				t.Errorf("exit code %d, want 2", code)
			}
		})
	}
}

// sendSignal signals the program, unless it has ended already.
func sendSignal(t *testing.T, p *process, signal os.Signal) {
	t.Helper()
	if err := p.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatal(err)
	}
}

// A bad file on SIGHUP changes nothing; SIGTERM ends it with code 0, a second one changes nothing.
func TestSignals(t *testing.T) {
	p := start(t, goodFile)
	p.until(t, `"serving"`)
	sendSignal(t, p, syscall.SIGHUP)
	p.until(t, "configuration reloaded")
	if err := os.WriteFile(p.file, []byte(strings.Replace(goodFile, `"seed":"1"`, `"seed":"x"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	sendSignal(t, p, syscall.SIGHUP)
	if line := p.until(t, "the old one stays"); !strings.Contains(line, `seed: found \"x\"; allowed: up to 16 hex digits`) {
		t.Errorf("the log says %s", line)
	}
	sendSignal(t, p, syscall.SIGTERM)
	p.until(t, "draining")
	sendSignal(t, p, syscall.SIGTERM)
	p.until(t, "drained")
	if code := p.code(t); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
}

// A port that is taken ends the start with code 1 and a word on it.
func TestAPortThatIsTaken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := start(t, strings.Replace(goodFile, "127.0.0.1:0", l.Addr().String(), 1))
	p.until(t, "address already in use")
	if code := p.code(t); code != 1 {
		t.Errorf("exit code %d, want 1", code)
	}
}
