package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

// The main goroutine keeps the main thread, which lives as long as the process: a child's parent-death signal is bound to the thread that
// has started it. Dispatchers are started by the main goroutine.
func init() { runtime.LockOSThread() }

// longest is how long a case may run.
const longest = 110 * time.Second

// Object is a JSON object.
type Object = map[string]any

// Root returns the repository's root: the folder above the one that holds the case's folder, which is the working directory.
func Root() (string, error) { return filepath.Abs("../..") }

// runLine returns the line run of the deploy file.
func runLine(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("deploy/balancer.toml has no line run")
	}
	return string(m[1]), nil
}

// Dispatcher is one dispatcher, started as a process of its own with the line run of the deploy file. It keeps its name and address when it
// is started again.
type Dispatcher struct {
	Name, Listen string
	ConfigPath   string
	Settings     Object // see Config
	Limits       Object
	Resolver     string
	PeerListen   string
	Peers        []string

	record *Record
	dir    string
	log    *os.File
	starts int
	cmd    *exec.Cmd
	ended  chan struct{}
}

// loopbackCount counts the addresses handed out.
var loopbackCount int

// OwnAddress returns an address of 127.0.0.0/8 with a free port that nobody else in this process has got.
func OwnAddress(network string) (string, error) {
	loopbackCount++
	host := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250+1, loopbackCount)
	if network == "udp" {
		c, err := net.ListenPacket("udp4", host+":0")
		if err != nil {
			return "", err
		}
		defer func() { _ = c.Close() }()
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// NewDispatcher returns a dispatcher that is not started yet. Its configuration and log are in dir.
func NewDispatcher(r *Record, name, dir string, settings, limits Object, resolver string) (*Dispatcher, error) {
	listen, err := OwnAddress("tcp")
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{Name: name, Listen: listen, ConfigPath: filepath.Join(dir, name+".json"), Settings: settings, Limits: limits,
		Resolver: resolver, record: r, dir: dir}
	d.log, err = os.Create(filepath.Join(dir, name+".log"))
	return d, err
}

// LogPath returns the path of the dispatcher's log.
func (d *Dispatcher) LogPath() string { return d.log.Name() }

// WriteConfig writes the configuration file with the list of nodes as the first event of the name service.
func (d *Dispatcher) WriteConfig(nodes []Row, number int) error {
	targets := []Object{}
	for _, n := range nodes {
		targets = append(targets, Object{"uid": n.ID, "endpoint": n.Address, "az": n.Zone, "model": n.Kind, "pod_group": n.Cell,
			"state": map[bool]string{false: "active", true: "leaving"}[n.Draining], "capacity_hint": 4, "boot_ms": n.StartedMs})
	}
	c := Object{"name": d.Name, "listen": d.Listen, "seed": strconv.FormatUint(uint64(0x8c1f30d2+d.starts), 16), "limits": d.Limits,
		"resolver": d.Resolver, "settings": d.Settings,
		"known": Object{"pos": number, "entries": []Object{{"pos": number, "hosts": Object{"rev": number, "all": true, "targets": targets}}}}}
	if d.PeerListen != "" {
		c["peer_listen"], c["peers"] = d.PeerListen, d.Peers
	}
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.ConfigPath+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(d.ConfigPath+".new", d.ConfigPath)
}

// Start starts the process and waits until it answers an empty query.
func (d *Dispatcher) Start(nodes []Row, number int) error {
	if err := d.WriteConfig(nodes, number); err != nil {
		return err
	}
	root, err := Root()
	if err != nil {
		return err
	}
	run, err := runLine(root)
	if err != nil {
		return err
	}
	d.starts++
	d.cmd = exec.Command("/bin/sh", "-c", run)
	d.cmd.Dir = root
	d.cmd.Env = append(os.Environ(), "NODE_NAME="+d.Name, "NODE_LISTEN="+d.Listen, "NODE_CONFIG="+d.ConfigPath, "TMPDIR="+d.dir)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the case, however that ends
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // the state tells how it ended
		d.record.Printf("process %s ended: %v", d.Name, cmd.ProcessState)
		close(ended)
	}(d.cmd, d.ended)
	d.record.Printf("process %s started at %s", d.Name, d.Listen)
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if isReady(d.Listen) {
			d.record.Printf("process %s ready", d.Name)
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within 10 s", d.Name)
}

// isReady reports whether a dispatcher answers an empty query.
func isReady(address string) bool {
	c, err := Dial(address)
	if err != nil {
		return false
	}
	defer c.Close()
	if c.Send("") != nil {
		return false
	}
	a := c.Read(time.Now().Add(time.Second))
	return a.Empty
}

// Signal sends a signal to the process.
func (d *Dispatcher) Signal(s syscall.Signal) {
	d.record.Printf("signal %v to %s", s, d.Name)
	_ = d.cmd.Process.Signal(s) // it may have ended
}

// Ended reports whether the process has ended.
func (d *Dispatcher) Ended() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// WaitEnd waits until the process has ended, at most for a time.
func (d *Dispatcher) WaitEnd(most time.Duration) bool {
	select {
	case <-d.ended:
		return true
	case <-time.After(most):
		return false
	}
}

// Stop kills the process and waits until it has ended.
func (d *Dispatcher) Stop() {
	if d.cmd != nil && d.ended != nil {
		_ = d.cmd.Process.Kill() // it may have ended
		<-d.ended
	}
	_ = d.log.Close()
}
