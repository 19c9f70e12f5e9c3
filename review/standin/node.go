package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is a request that a node has read whole.
type Request struct {
	Node   string
	ID     string
	Fields map[string]string
	Text   string
	At     time.Time
	Conn   *NodeConn
	Gone   chan struct{} // closed when it was given up: DROP, or its connection ended
	once   sync.Once
}

func (q *Request) giveUp() { q.once.Do(func() { close(q.Gone) }) }

// Node is a compute node of the line protocol. Handle answers a request, in a goroutine of its own.
type Node struct {
	ID       string
	Handle   func(q *Request)
	record   *Record
	listener net.Listener

	mu       sync.Mutex
	conns    map[*NodeConn]bool
	requests []*Request
	closed   bool
}

// NodeConn is a connection to a node.
type NodeConn struct {
	node *Node
	conn net.Conn

	writeMu sync.Mutex

	mu   sync.Mutex
	open map[string]*Request
}

// NewNode starts a node at an address; "" is an address of its own.
func NewNode(r *Record, id, address string, handle func(q *Request)) (*Node, error) {
	if address == "" {
		var err error
		if address, err = OwnAddress("tcp"); err != nil {
			return nil, err
		}
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n := &Node{ID: id, Handle: handle, record: r, listener: l, conns: map[*NodeConn]bool{}}
	go n.accept()
	return n, nil
}

// Address returns the node's address.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Requests returns the requests read so far.
func (n *Node) Requests() []*Request {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*Request(nil), n.requests...)
}

func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		c := &NodeConn{node: n, conn: conn, open: map[string]*Request{}}
		n.mu.Lock()
		n.conns[c] = true
		n.mu.Unlock()
		go c.serve()
	}
}

// Crash ends the node like a process that dies: its connections are reset and its address refuses.
func (n *Node) Crash() {
	_ = n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.Reset()
	}
}

// Reset resets the connection.
func (c *NodeConn) Reset() {
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a closed connection
	}
	_ = c.conn.Close()
}

func (c *NodeConn) serve() {
	defer func() {
		_ = c.conn.Close()
		c.node.mu.Lock()
		delete(c.node.conns, c)
		c.node.mu.Unlock()
		c.mu.Lock()
		for id, q := range c.open {
			q.giveUp()
			delete(c.open, id)
		}
		c.mu.Unlock()
	}()
	r := bufio.NewReader(c.conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return
		}
		switch words[0] {
		case "GET":
			if len(words) != 4 {
				return
			}
			size, err := strconv.Atoi(words[3])
			if err != nil {
				return
			}
			text := make([]byte, size+2)
			if _, err := io.ReadFull(r, text); err != nil {
				return
			}
			c.get(words[1], words[2], string(text[:size]))
		case "DROP":
			c.node.record.Printf("node %s: DROP %s", c.node.ID, words[1])
			if q := c.take(words[1]); q != nil {
				q.giveUp()
			}
		case "PING":
			c.Answer(words[1], "well", "", "")
		}
	}
}

func (c *NodeConn) get(id, fields, text string) {
	q := &Request{Node: c.node.ID, ID: id, Fields: map[string]string{}, Text: text, At: time.Now(), Conn: c, Gone: make(chan struct{})}
	for f := range strings.SplitSeq(fields, ",") {
		name, value, _ := strings.Cut(f, "=")
		q.Fields[name] = value
	}
	c.mu.Lock()
	c.open[id] = q
	c.mu.Unlock()
	c.node.mu.Lock()
	c.node.requests = append(c.node.requests, q)
	c.node.mu.Unlock()
	c.node.record.Printf("node %s: GET %s %s", c.node.ID, id, fields)
	go c.node.Handle(q)
}

// take removes an open request; nil: it is not open.
func (c *NodeConn) take(id string) *Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.open[id]
	delete(c.open, id)
	return q
}

// Answer writes an answer.
func (c *NodeConn) Answer(id, word, fields, body string) {
	if fields == "" {
		fields = "-"
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second)) // fails only on a closed connection
	_, _ = fmt.Fprintf(c.conn, "%s %s %s %d\r\n%s\r\n", id, word, fields, len(body), body)
}

// Finish ends a request with an answer. It does nothing, and returns false, if the request was given up.
func (q *Request) Finish(word, fields, body string) bool {
	if q.Conn.take(q.ID) == nil {
		return false
	}
	q.Conn.node.record.Printf("node %s: %s %s", q.Node, word, q.ID)
	q.Conn.Answer(q.ID, word, fields, body)
	return true
}

// Serve answers with one row after the time that the work takes, unless the request is given up before.
func (q *Request) Serve(work time.Duration) {
	select {
	case <-q.Gone:
	case <-time.After(work):
		q.Finish("data", "total=1", q.ID+"\trow\t0\n")
	}
}
