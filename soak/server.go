package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"embershunt/nodelist"
	"embershunt/simulated"
)

// ServerFaults are what a query node does amiss. Shares are of requests or connections. The zero value serves well.
type ServerFaults struct {
	Hang       bool          // requests are taken and not answered while it holds
	Slower     float64       // times the usual work; 0: as usual
	Full       float64       // share answered "full"
	Failing    float64       // share answered "failed", half of which ran
	LostAnswer float64       // share that runs and is never answered
	ResetUnder float64       // share of requests whose connection is reset, half of which ran
	ResetNew   float64       // share of new connections that are reset at once
	Garbled    float64       // share answered with what cannot be read
	Endless    float64       // share answered with a length that is never filled
	Twice      float64       // share answered twice
	LateRead   time.Duration // a new connection is read from only after this
	CloseIdle  time.Duration // an idle connection is closed after this; 0: after idleMost
}

// Server is a query node.
type Server struct {
	record   *Record
	id       string
	listener net.Listener
	done     sync.WaitGroup

	mu     sync.Mutex
	rng    *rand.Rand
	faults ServerFaults
	open   map[net.Conn]bool
	closed bool
}

func newServer(r *Record, id string, seed uint64) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{record: r, id: id, listener: l, rng: rand.New(rand.NewPCG(seed, uint64(len(id)))), open: map[net.Conn]bool{}}
	s.done.Add(1)
	go s.accept()
	return s, nil
}

// Node is its row in the list.
func (s *Server) Node() nodelist.Node {
	return nodelist.Node{ID: s.id, Platform: s.listener.Addr().String(), Weight: 4}
}

// SetFaults has it misbehave from now on.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) now() ServerFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// chance draws true with a probability.
func (s *Server) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

// Crash ends it as a process that dies: its connections are reset.
func (s *Server) Crash() {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.open {
		simulated.ResetConn(c)
	}
	s.mu.Unlock()
}

// Wait waits until all that it ran has ended; call it after Crash.
func (s *Server) Wait() { s.done.Wait() }

func (s *Server) accept() {
	defer s.done.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			conn.Close()
			return
		}
		s.open[conn] = true
		s.mu.Unlock()
		s.done.Add(1)
		go s.serve(conn)
	}
}

// serverConn is one connection to a Server.
type serverConn struct {
	s    *Server
	conn net.Conn

	opened   time.Duration
	readFrom time.Duration // the connection is read from since then

	mu   sync.Mutex
	runs map[string]*run
}

// lateReading is how long after a connection is read from what had been waiting in it may still be read.
const lateReading = 30 * time.Millisecond

// arrivedAt is when a request that has just been read reached the node's machine, at the earliest.
func (c *serverConn) arrivedAt() time.Duration {
	now := c.s.record.now()
	if now-c.readFrom < lateReading {
		return c.opened
	}
	return now
}

// run is one request that is out.
type run struct {
	arrival *Arrival
	timer   *time.Timer
}

func (s *Server) serve(conn net.Conn) {
	defer s.done.Done()
	c := &serverConn{s: s, conn: conn, runs: map[string]*run{}}
	defer c.close()
	f := s.now()
	if s.chance(f.ResetNew) {
		simulated.ResetConn(conn)
		return
	}
	opened := s.record.now()
	time.Sleep(f.LateRead)
	c.readFrom, c.opened = s.record.now(), opened
	r := bufio.NewReader(conn)
	for {
		c.await()
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if !c.command(r, strings.Fields(line)) {
			return
		}
	}
}

// await sets until when the next command has to come.
func (c *serverConn) await() {
	idle := c.s.now().CloseIdle
	if idle == 0 {
		idle = idleMost
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn.SetReadDeadline(time.Time{})
	if len(c.runs) == 0 {
		c.conn.SetReadDeadline(time.Now().Add(idle))
	}
}

// close gives up everything that is open on the connection.
func (c *serverConn) close() {
	c.s.mu.Lock()
	delete(c.s.open, c.conn)
	c.s.mu.Unlock()
	c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.runs {
		r.timer.Stop()
		c.s.record.change(func() { r.arrival.Over = c.s.record.now() })
		delete(c.runs, id)
	}
}

// command carries one command out; false where it cannot be read.
func (c *serverConn) command(r *bufio.Reader, words []string) bool {
	if len(words) < 2 {
		return false
	}
	switch words[0] {
	case "GET":
		if len(words) != 4 {
			return false
		}
		length, err := strconv.Atoi(words[3])
		if err != nil {
			return false
		}
		text := make([]byte, length+2)
		if _, err := io.ReadFull(r, text); err != nil {
			return false
		}
		return c.get(words[1], words[2])
	case "DROP":
		c.end(words[1])
	case "PAGE":
		if len(words) == 3 {
			c.say(simulated.LineAnswer(words[1], "page", "index="+words[2], words[1]+"\tpage\t"+words[2]+"\n"))
		}
	}
	return true
}

// end takes a request off the books; false where it is on none.
func (c *serverConn) end(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[id]
	if r == nil {
		return false
	}
	r.timer.Stop()
	delete(c.runs, id)
	c.s.record.change(func() { r.arrival.Over = c.s.record.now() })
	return true
}

func (c *serverConn) say(text string) {
	c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	io.WriteString(c.conn, text)
}

// get takes a request in, and decides what becomes of it.
func (c *serverConn) get(id, fields string) bool {
	f, record := c.s.now(), c.s.record
	a := &Arrival{ID: id, Node: c.s.id, At: c.arrivedAt()}
	work := classes[0].Work
	for part := range strings.SplitSeq(fields, ",") {
		switch name, value, _ := strings.Cut(part, "="); name {
		case "ttl":
			ms, _ := strconv.Atoi(value)
			a.TTL = time.Duration(ms) * time.Millisecond
		case "dedupe":
			a.Key = value
		case "lane":
			for _, class := range classes {
				if class.Name == value {
					work = class.Work
				}
			}
		}
	}
	record.addArrival(a)
	ran := func() { record.change(func() { a.Ran = true }) }
	r := &run{arrival: a}
	finish := func(answer string) {
		if c.end(id) {
			c.say(answer)
		}
	}
	after := func(d time.Duration, do func()) {
		c.mu.Lock()
		defer c.mu.Unlock()
		r.timer = time.AfterFunc(d, do)
		c.runs[id] = r
	}
	scale := max(f.Slower, 1)
	c.s.mu.Lock()
	took := time.Duration(float64(work) * scale * (0.5 + c.s.rng.ExpFloat64()/2))
	c.s.mu.Unlock()
	switch {
	case f.Hang:
		after(time.Hour, func() {})
	case c.s.chance(f.Full):
		record.change(func() { a.Full = true })
		after(0, func() { finish(simulated.LineAnswer(id, "full", "", "")) })
	case c.s.chance(f.Failing):
		if c.s.chance(0.5) {
			ran()
		}
		after(0, func() { finish(simulated.LineAnswer(id, "failed", "", "")) })
	case c.s.chance(f.LostAnswer):
		ran()
		after(time.Hour, func() {})
	case c.s.chance(f.ResetUnder):
		if c.s.chance(0.5) {
			ran()
		}
		record.change(func() { a.Over = record.now() })
		simulated.ResetConn(c.conn)
		return false
	case c.s.chance(f.Garbled):
		ran()
		after(took, func() { finish("\x01\x02 what is this\r\n") })
	case c.s.chance(f.Endless):
		ran()
		after(took, func() { finish(id + " data total=1 5000\r\n" + strings.Repeat("x\ty\tz\n", 10)) })
	default:
		ran()
		copies := 1
		if c.s.chance(f.Twice) {
			copies = 2
		}
		pages := 1
		if c.s.chance(0.2) {
			pages = 3
		}
		after(took, func() {
			finish(strings.Repeat(simulated.LineAnswer(id, "data", fmt.Sprintf("total=%d,rep=busy:0.2;rif:2", pages), id+"\tpage\t0\n"), copies))
		})
	}
	return true
}
