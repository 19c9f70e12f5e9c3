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

// LineCommand is one command that a query node of the platform got.
type LineCommand struct {
	Verb, ID, Fields, Text string
	N                      int // of PAGE and RANK
}

// LineNode is a query node of the platform as a test wants it: every command is handed to a function that writes what it
// likes to the connection.
type LineNode struct {
	listener net.Listener
	play     func(c net.Conn, cmd LineCommand)
	done     sync.WaitGroup

	mu       sync.Mutex
	open     map[net.Conn]bool
	commands []LineCommand
	accepted int
}

// NewLineNode listens on loopback; "" is any free port.
func NewLineNode(address string, play func(c net.Conn, cmd LineCommand)) (*LineNode, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n := &LineNode{listener: l, play: play, open: map[net.Conn]bool{}}
	n.done.Add(1)
	go n.accept()
	return n, nil
}

// Address is where it listens.
func (n *LineNode) Address() string { return n.listener.Addr().String() }

// Commands are those it has got so far.
func (n *LineNode) Commands() []LineCommand {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]LineCommand(nil), n.commands...)
}

// Forget drops the commands it has got so far.
func (n *LineNode) Forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.commands = nil
}

// Accepted counts the connections it has taken.
func (n *LineNode) Accepted() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepted
}

// Close ends it as a process that dies: its connections break.
func (n *LineNode) Close() {
	n.listener.Close()
	n.mu.Lock()
	for c := range n.open {
		ResetConn(c)
	}
	n.mu.Unlock()
	n.done.Wait()
}

// ResetConn breaks a connection so that the other side sees a reset.
func ResetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (n *LineNode) accept() {
	defer n.done.Done()
	for {
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.open[c] = true
		n.accepted++
		n.mu.Unlock()
		n.done.Add(1)
		go n.serve(c)
	}
}

func (n *LineNode) serve(c net.Conn) {
	defer n.done.Done()
	defer func() {
		n.mu.Lock()
		delete(n.open, c)
		n.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(line)
		cmd := LineCommand{Verb: w[0]}
		if len(w) > 1 {
			cmd.ID = w[1]
		}
		switch cmd.Verb {
		case "GET":
			length, err := strconv.Atoi(w[3])
			if err != nil {
				return
			}
			text := make([]byte, length+2)
			if _, err := io.ReadFull(r, text); err != nil {
				return
			}
			cmd.Fields, cmd.Text = w[2], string(text[:length])
		case "PAGE", "RANK":
			cmd.N, _ = strconv.Atoi(w[2])
		}
		n.mu.Lock()
		n.commands = append(n.commands, cmd)
		n.mu.Unlock()
		if n.play != nil {
			n.play(c, cmd)
		}
	}
}

// LineAnswer is an answer as a node writes it.
func LineAnswer(id, word, fields, body string) string {
	if fields == "" {
		fields = "-"
	}
	return fmt.Sprintf("%s %s %s %d\r\n%s\r\n", id, word, fields, len(body), body)
}
