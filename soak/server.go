package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"embershunt/nodelist"
	"embershunt/simulated"
)

// ServerFaults are faults of a query node. Shares, from 0 to 1, are of requests unless a field says otherwise. The zero value has no
// faults.
type ServerFaults struct {
	Hang        bool          // requests are read and never answered
	Slowdown    float64       // factor on the work of requests; less than 1 counts as 1
	Full        float64       // share answered "full", which never ran
	Fail        float64       // share answered "failed", half of which ran
	LostAnswer  float64       // share that runs and is never answered
	ResetDuring float64       // share whose connection is reset, half of which ran
	ResetNew    float64       // share of new connections that are reset at once
	Malformed   float64       // share answered with an unreadable line
	Incomplete  float64       // share answered with a body shorter than its stated length
	Duplicate   float64       // share of results whose first page is sent twice
	LostPages   float64       // share of results whose further pages the node has lost: each request for such a page is answered "failed"
	LateCopy    float64       // share of answers that are sent again some milliseconds later
	ReadDelay   time.Duration // the node starts to read a new connection only after this
	IdleTimeout time.Duration // an idle connection is closed after this; 0: after the default idleTimeout
}

// Server is a simulated query node that speaks the platform's line protocol.
type Server struct {
	record   *Record
	id       string
	listener net.Listener
	done     sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	faults   ServerFaults
	conns    map[net.Conn]bool // open connections
	accepted int               // number of connections accepted so far
	closed   bool              // the server has crashed
}

// newServer returns a server that listens on loopback.
func newServer(r *Record, id string, seed uint64) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{record: r, id: id, listener: l, rng: rand.New(rand.NewPCG(seed, uint64(len(id)))), conns: map[net.Conn]bool{}}
	s.done.Add(1)
	go s.accept()
	return s, nil
}

// Node returns the server's row in the endpoint list.
func (s *Server) Node() nodelist.Node {
	return nodelist.Node{ID: s.id, PlatformAddress: s.listener.Addr().String(), Weight: 4}
}

// SetFaults replaces the server's faults, also for open connections.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// currentFaults returns the faults that were set last.
func (s *Server) currentFaults() ServerFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// chance draws true with probability p.
func (s *Server) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

// Crash ends the server like a process that dies: it accepts no more connections, and the open ones are reset.
func (s *Server) Crash() {
	_ = s.listener.Close() // accept ends either way
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		simulated.ResetConn(c)
	}
	s.mu.Unlock()
}

// Wait waits until all goroutines of the server have ended. Call it after Crash.
func (s *Server) Wait() { s.done.Wait() }

// accept serves connections until the listener is closed.
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
			_ = conn.Close() // the server has crashed
			return
		}
		s.conns[conn] = true
		s.accepted++
		number := s.accepted
		s.mu.Unlock()
		s.done.Add(1)
		go s.serve(conn, number)
	}
}

// drawWork draws a duration whose mean is mean times factor. Half of that is fixed, the other half is exponentially distributed.
func (s *Server) drawWork(mean time.Duration, factor float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(mean) * factor * (0.5 + s.rng.ExpFloat64()/2))
}
