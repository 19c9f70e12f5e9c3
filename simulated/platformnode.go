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

// LineCommand is one command that a LineNode received.
type LineCommand struct {
	Verb, ID, Fields, Text string
	N                      int // of PAGE and RANK
}

// LineNode is a query node of the platform's line protocol that a test scripts: a function is called with every command, and
// writes answers to the connection.
type LineNode struct {
	listener net.Listener
	handle   func(c net.Conn, cmd LineCommand)
	done     sync.WaitGroup

	mu       sync.Mutex
	conns    map[net.Conn]bool
	commands []LineCommand
	accepted int
}

// NewLineNode listens at an address, "" for any free port on loopback. handle may be nil: commands are only recorded.
func NewLineNode(address string, handle func(c net.Conn, cmd LineCommand)) (*LineNode, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n := &LineNode{listener: l, handle: handle, conns: map[net.Conn]bool{}}
	n.done.Add(1)
	go n.accept()
	return n, nil
}

// Address is where it listens.
func (n *LineNode) Address() string { return n.listener.Addr().String() }

// Commands returns the commands received so far.
func (n *LineNode) Commands() []LineCommand {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]LineCommand(nil), n.commands...)
}

// Forget clears the commands received so far.
func (n *LineNode) Forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.commands = nil
}

// Accepted counts the connections accepted.
func (n *LineNode) Accepted() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepted
}

// Close ends it as a process that dies: its connections break.
func (n *LineNode) Close() {
	_ = n.listener.Close() // the accept loop ends either way
	n.mu.Lock()
	for c := range n.conns {
		ResetConn(c)
	}
	n.mu.Unlock()
	n.done.Wait()
}

// accept serves connections until the listener is closed.
func (n *LineNode) accept() {
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
func (n *LineNode) serve(c net.Conn) {
	defer n.done.Done()
	defer func() {
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
		_ = c.Close() // it may have been reset already
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

// readCommand reads one command, with the text of a GET. It panics on one that is too short: the tests' dispatcher sends none.
func readCommand(r *bufio.Reader) (LineCommand, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return LineCommand{}, err
	}
	words := strings.Fields(line)
	cmd := LineCommand{Verb: words[0]}
	if len(words) > 1 {
		cmd.ID = words[1]
	}
	switch cmd.Verb {
	case "GET":
		length, err := strconv.Atoi(words[3])
		if err != nil {
			return LineCommand{}, err
		}
		text := make([]byte, length+2)
		if _, err := io.ReadFull(r, text); err != nil {
			return LineCommand{}, err
		}
		cmd.Fields, cmd.Text = words[2], string(text[:length])
	case "PAGE", "RANK":
		cmd.N, _ = strconv.Atoi(words[2]) // zero where it is no number
	}
	return cmd, nil
}

// LineAnswer is one answer of the platform's line protocol; "" for fields is none.
func LineAnswer(id, outcome, fields, body string) string {
	if fields == "" {
		fields = "-"
	}
	return fmt.Sprintf("%s %s %s %d\r\n%s\r\n", id, outcome, fields, len(body), body)
}

// ResetConn closes a connection so that the other side gets a TCP reset.
func ResetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails on a closed connection only
	}
	_ = c.Close() // nothing more is sent on it
}
