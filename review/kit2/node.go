package kit2

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

// Node is a compute node. Its behaviour is in Run, which is called in a goroutine of its own for every request.
type Node struct {
	ID      string
	Address string
	Record  *Record
	// Run executes a request and answers it; by default the node answers one row at once.
	Run func(*Request)
	// Accepted is called for every connection before anything is read; it may wait. nil: nothing.
	Accepted func(net.Conn)
	// Got is called for every request, in the goroutine that reads the connection. nil: nothing.
	Got func(*Request)

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	requests []*Request
}

// Request is a request that has reached a compute node whole.
type Request struct {
	Node    *Node
	ID      string
	Fields  map[string]string
	Text    string
	At      time.Duration // since the start of the run
	Conn    net.Conn
	Dropped chan struct{} // closed by DROP or by the end of the connection

	conn *nodeConn
}

type nodeConn struct {
	net.Conn
	mu   sync.Mutex
	open map[string]*Request
}

// NewNode starts a compute node.
func NewNode(r *Record, id string) *Node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	n := &Node{ID: id, Address: l.Addr().String(), Record: r, listener: l, conns: map[net.Conn]bool{}}
	n.Run = func(q *Request) { q.Serve(0) }
	go n.accept(l)
	return n
}

// Requests returns the requests that have reached the node.
func (n *Node) Requests() []*Request {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*Request(nil), n.requests...)
}

// Close ends the node: its connections are reset, and new ones are refused.
func (n *Node) Close() {
	_ = n.listener.Close()
	n.ResetAll()
}

// ResetAll resets the node's connections and returns their number.
func (n *Node) ResetAll() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	return len(n.conns)
}

func (n *Node) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns[c] = true
		n.mu.Unlock()
		go n.serve(c)
	}
}

func (n *Node) serve(conn net.Conn) {
	c := &nodeConn{Conn: conn, open: map[string]*Request{}}
	defer func() {
		_ = conn.Close()
		n.mu.Lock()
		delete(n.conns, conn)
		n.mu.Unlock()
		c.mu.Lock()
		defer c.mu.Unlock()
		for id := range c.open {
			close(c.open[id].Dropped)
			delete(c.open, id)
		}
	}()
	if n.Accepted != nil {
		n.Accepted(conn)
	}
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
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
			length, err := strconv.Atoi(words[3])
			if err != nil {
				return
			}
			text := make([]byte, length+2)
			if _, err := io.ReadFull(in, text); err != nil {
				return
			}
			q := &Request{Node: n, ID: words[1], Fields: map[string]string{}, Text: string(text[:length]), At: n.Record.Since(), Conn: conn,
				Dropped: make(chan struct{}), conn: c}
			for f := range strings.SplitSeq(words[2], ",") {
				name, value, _ := strings.Cut(f, "=")
				q.Fields[name] = value
			}
			n.mu.Lock()
			n.requests = append(n.requests, q)
			n.mu.Unlock()
			c.mu.Lock()
			c.open[q.ID] = q
			c.mu.Unlock()
			n.Record.Logf("%s got %s %s", n.ID, q.ID, words[2])
			if n.Got != nil {
				n.Got(q)
			}
			go n.Run(q)
		case "DROP":
			n.Record.Logf("%s: DROP %s", n.ID, words[1])
			c.mu.Lock()
			if q := c.open[words[1]]; q != nil {
				close(q.Dropped)
				delete(c.open, words[1])
			}
			c.mu.Unlock()
		case "PING":
			c.write(AnswerLine(words[1], "well", "", ""))
		}
	}
}

// AnswerLine returns an answer as a node writes it.
func AnswerLine(id, word, fields, body string) string {
	if fields == "" {
		fields = "-"
	}
	return fmt.Sprintf("%s %s %s %d\r\n%s\r\n", id, word, fields, len(body), body)
}

func (c *nodeConn) write(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c.Conn, text)
}

// Wait waits for the given time with notes of progress; it returns false if the request is given up before.
func (q *Request) Wait(d time.Duration) bool {
	const every = 500 * time.Millisecond
	begin := time.Now()
	for {
		left := d - time.Since(begin)
		if left <= 0 {
			return true
		}
		select {
		case <-q.Dropped:
			return false
		case <-time.After(min(left, every)):
		}
		if left > every {
			q.conn.write(AnswerLine(q.ID, "news", fmt.Sprintf("why=p,datum=%.2f", min(1, float64(time.Since(begin))/float64(d))), ""))
		}
	}
}

// Answer ends the request with an answer.
func (q *Request) Answer(word, fields, body string) {
	q.conn.mu.Lock()
	_, open := q.conn.open[q.ID]
	delete(q.conn.open, q.ID)
	q.conn.mu.Unlock()
	if !open {
		return
	}
	q.Node.Record.Logf("%s answers %s %s", q.Node.ID, q.ID, word)
	q.conn.write(AnswerLine(q.ID, word, fields, body))
}

// Serve answers one row after the given time.
func (q *Request) Serve(after time.Duration) {
	if q.Wait(after) {
		q.Answer("data", "total=1,rep=busy:0.2;rif:2", fmt.Sprintf("%s\t%s\t1\n", q.ID, q.Node.ID))
	}
}

// Reset resets the connection of the request.
func (q *Request) Reset() {
	_ = q.Conn.(*net.TCPConn).SetLinger(0)
	_ = q.Conn.Close()
}
