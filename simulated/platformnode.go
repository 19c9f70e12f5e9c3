package simulated

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
)

// PlatformCommand is a command that a PlatformNode received.
type PlatformCommand struct {
	Verb, ID, Fields, Text string
	Number                 int // page number of PAGE, priority of RANK
}

// PlatformNode is a query node of the platform's line protocol that a test scripts: it calls a function with every command, and the
// function writes the answers to the connection.
type PlatformNode struct {
	listener net.Listener
	handle   func(c net.Conn, cmd PlatformCommand)
	done     sync.WaitGroup

	mu       sync.Mutex
	conns    map[net.Conn]bool
	commands []PlatformCommand
	accepted int
}

// NewPlatformNode returns a node that listens on an address; "" is any free port on loopback. If handle is nil, commands are only
// recorded.
func NewPlatformNode(address string, handle func(c net.Conn, cmd PlatformCommand)) (*PlatformNode, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n := &PlatformNode{listener: l, handle: handle, conns: map[net.Conn]bool{}}
	n.done.Add(1)
	go n.accept()
	return n, nil
}

// Address returns the address that the node listens on, as host:port.
func (n *PlatformNode) Address() string { return n.listener.Addr().String() }

// Commands returns the commands received so far.
func (n *PlatformNode) Commands() []PlatformCommand {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]PlatformCommand(nil), n.commands...)
}

// ClearCommands clears the record of commands received so far.
func (n *PlatformNode) ClearCommands() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.commands = nil
}

// Accepted returns how many connections the node has accepted.
func (n *PlatformNode) Accepted() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepted
}

// Close stops the node like a process that crashes: its connections are reset.
func (n *PlatformNode) Close() {
	_ = n.listener.Close() // the accept loop ends either way
	n.mu.Lock()
	for c := range n.conns {
		ResetConn(c)
	}
	n.mu.Unlock()
	n.done.Wait()
}

// accept serves connections until the listener is closed.
func (n *PlatformNode) accept() {
	defer n.done.Done()
	for {
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns[c] = true
		n.accepted++
		n.mu.Unlock()
		n.done.Add(1)
		go n.serve(c)
	}
}

// serve records and handles a connection's commands until it ends.
func (n *PlatformNode) serve(c net.Conn) {
	defer n.done.Done()
	defer func() {
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
		_ = c.Close() // it may be closed already
	}()
	r := bufio.NewReader(c)
	for {
		cmd, err := readCommand(r)
		if err != nil {
			return
		}
		n.mu.Lock()
		n.commands = append(n.commands, cmd)
		n.mu.Unlock()
		if n.handle != nil {
			n.handle(c, cmd)
		}
	}
}

// readCommand reads one command, with the text of a GET. It panics if the command has too few words, which the dispatcher under test
// never sends.
func readCommand(r *bufio.Reader) (PlatformCommand, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return PlatformCommand{}, err
	}
	words := strings.Fields(line)
	cmd := PlatformCommand{Verb: words[0]}
	if len(words) > 1 {
		cmd.ID = words[1]
	}
	switch cmd.Verb {
	case "GET":
		length, err := strconv.Atoi(words[3])
		if err != nil {
			return PlatformCommand{}, err
		}
		text := make([]byte, length+2)
		if _, err := io.ReadFull(r, text); err != nil {
			return PlatformCommand{}, err
		}
		cmd.Fields, cmd.Text = words[2], string(text[:length])
	case "PAGE", "RANK":
		cmd.Number, _ = strconv.Atoi(words[2]) // 0 if it is not a number
	}
	return cmd, nil
}

// PlatformAnswer returns an answer of the platform's line protocol. fields may be "" for none.
func PlatformAnswer(id, outcome, fields, body string) string {
	if fields == "" {
		fields = "-"
	}
	return fmt.Sprintf("%s %s %s %d\r\n%s\r\n", id, outcome, fields, len(body), body)
}

// ResetConn closes a connection so that the peer receives a TCP reset.
func ResetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close() // nothing more is sent on it
}
