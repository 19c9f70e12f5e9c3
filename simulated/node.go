package simulated

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	orcav3 "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	arrowsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"

	"github.com/apache/arrow-go/v18/arrow/flight"
)

// Faults is what is wrong with a node. The zero value is health.
type Faults struct {
	Hang      bool          // takes queries and never answers them
	Lost      bool          // does the work and loses the answer; probes succeed
	StallRow  int           // stops an answer after this many rows, for good; 0: no
	CutRow    int           // breaks the stream after this many rows; 0: no
	Fail      float64       // share of queries failed at once
	Slow      float64       // speed is divided by this; 0 or 1: no
	PauseFor  time.Duration // stands still for this long ...
	PauseEach time.Duration // ... this often
	Full      bool          // turns queries away unseen
	Broken    bool          // breaks off an answer behind its first rows with an error (native)
}

// Seen is one attempt as a node saw it.
type Seen struct {
	Query     string
	Attempt   int
	Node      string
	At        time.Time // the call came in
	Statement string
	Update    bool
	Ran       bool // its work was done
	Rows      int  // handed to the transport, or brought by an INSERT
	Dropped   bool // known by its token as a repeat: it did nothing
	Token     string
	Tables    []string // external tables and their rows, as name:rows
	Cancelled bool     // the caller left before the end
	End       time.Time
}

// Node is a stand-in query node.
type Node struct {
	Name    string
	Address string // set by Start
	Native  string // set by Start: where the ClickHouse native protocol is served
	// Revision is the newest of the native protocol that it speaks; 0: the newest there is.
	Revision int

	model     Model
	mu        sync.Mutex
	rng       *rand.Rand
	life      *life
	fault     Faults
	seen      []*Seen
	news      chan struct{} // closed whenever seen changes
	tokens    *Tokens       // shared by nodes that drop each other's repeats of a keyed update; nil: it drops none
	conns     int           // of the native protocol
	state     state         // of sessions
	temporary int           // tables on native connections
	tally     Tally
}

// life is one process life of a node.
type life struct {
	machine  *machine
	server   *grpc.Server
	listener *freezer
	native   *freezer
	started  time.Time
	stop     context.CancelFunc
	done     sync.WaitGroup
}

// NewNode returns a node that is not started.
func NewNode(name string, m Model, seed uint64) *Node {
	return &Node{Name: name, model: m, news: make(chan struct{}), tally: Tally{Commits: map[string]int{}}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// Start brings the node up, at the address it had before if it had one; a cold one starts at part of its speed.
func (n *Node) Start(address string, cold bool) error {
	if n.Address != "" {
		address = n.Address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.Address = l.Addr().String()
	native := n.Native
	if native == "" {
		native = "127.0.0.1:0"
	}
	second, err := net.Listen("tcp", native)
	if err != nil {
		l.Close()
		return err
	}
	n.Native = second.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	v := &life{machine: newMachine(n.model, cold), listener: newFreezer(l), native: newFreezer(second), started: time.Now(), stop: stop}
	v.server = grpc.NewServer(grpc.MaxRecvMsgSize(16<<20), grpc.MaxSendMsgSize(64<<20),
		grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
			answer, err := h(ctx, req)
			grpc.SetTrailer(ctx, v.report())
			return answer, err
		}),
		grpc.ChainStreamInterceptor(func(srv any, s grpc.ServerStream, _ *grpc.StreamServerInfo, h grpc.StreamHandler) error {
			err := h(srv, s)
			s.SetTrailer(v.report())
			return err
		}))
	server := &flightServer{node: n, life: v, ctx: ctx}
	flight.RegisterFlightServiceServer(v.server, &termsServer{FlightServer: arrowsql.NewFlightServer(server), node: n, life: v})
	healthpb.RegisterHealthServer(v.server, health.NewServer())
	n.mu.Lock()
	n.life = v
	n.state = state{open: map[string]*transaction{}, session: map[string]string{}}
	n.mu.Unlock()
	n.apply(v)
	v.done.Add(1)
	go func() {
		defer v.done.Done()
		v.server.Serve(v.listener)
	}()
	v.done.Add(2)
	go func() {
		defer v.done.Done()
		n.serveNative(ctx, v)
	}()
	go func() {
		defer v.done.Done()
		n.pauses(ctx, v)
	}()
	return nil
}

// report is an ORCA load report as trailers (gRFC A51).
func (v *life) report() metadata.MD {
	util, inflight, memory := v.machine.load()
	b, err := proto.Marshal(&orcav3.OrcaLoadReport{CpuUtilization: util, Utilization: map[string]float64{"memory": memory},
		NamedMetrics: map[string]float64{"inflight": inflight}})
	if err != nil {
		return nil
	}
	return metadata.Pairs("endpoint-load-metrics-bin", string(b))
}

// Started is when the present life began; zero while the node is down.
func (n *Node) Started() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.life == nil {
		return time.Time{}
	}
	return n.life.started
}

// Die ends the node at once: connections break.
func (n *Node) Die() {
	n.mu.Lock()
	v := n.life
	n.life = nil
	n.mu.Unlock()
	if v == nil {
		return
	}
	v.stop()
	v.listener.die()
	v.native.die()
	v.native.Close()
	v.server.Stop()
	v.done.Wait()
	n.mark(func() { n.state = state{} }) // its sessions died with it
}

// Vanish makes the node fall silent: no reset, no answer, until it dies or restarts.
func (n *Node) Vanish() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.life != nil {
		n.life.listener.freeze()
		n.life.native.freeze()
	}
}

// Set changes what is wrong with the node, also for what runs.
func (n *Node) Set(f Faults) {
	n.mu.Lock()
	n.fault = f
	v := n.life
	n.mu.Unlock()
	if v != nil {
		n.apply(v)
	}
}

func (n *Node) faults() Faults {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fault
}

func (n *Node) apply(v *life) {
	f := n.faults()
	v.machine.do(func() {
		v.machine.slow = 1
		if f.Slow > 1 {
			v.machine.slow = 1 / f.Slow
		}
		v.machine.paused = false
	})
}

// pauses stands still now and then, where a fault says so.
func (n *Node) pauses(ctx context.Context, v *life) {
	wait := func(d time.Duration) bool {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
			return true
		}
	}
	for {
		n.rollIdle()
		f := n.faults()
		if f.PauseFor == 0 {
			if !wait(50 * time.Millisecond) {
				return
			}
			continue
		}
		v.machine.do(func() { v.machine.paused = true })
		ok := wait(f.PauseFor)
		v.machine.do(func() { v.machine.paused = false })
		if !ok || !wait(f.PauseEach) {
			return
		}
	}
}

// Seen returns all attempts that the node saw, over all its lives.
func (n *Node) Seen() []Seen {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]Seen, len(n.seen))
	for i, s := range n.seen {
		out[i] = *s
	}
	return out
}

// note books an attempt by its call headers.
func (n *Node) note(ctx context.Context, statement string, update bool) *Seen {
	md, _ := metadata.FromIncomingContext(ctx)
	first := func(name string) string {
		if v := md.Get(name); len(v) > 0 {
			return v[0]
		}
		return ""
	}
	number, _ := strconv.Atoi(first("embershunt-attempt"))
	s := &Seen{Query: first("embershunt-query"), Attempt: number, Node: n.Name, At: time.Now(), Statement: statement,
		Update: update}
	if update { // over Flight SQL a query's own name tells its repeats
		s.Token = s.Query
	}
	n.mark(func() { n.seen = append(n.seen, s) })
	return s
}

// Temporary is the number of temporary tables on native connections.
func (n *Node) Temporary() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.temporary
}

// NativeConns is the number of open connections of the native protocol.
func (n *Node) NativeConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conns
}

// mark changes what was seen and wakes those that await it.
func (n *Node) mark(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.news)
	n.news = make(chan struct{})
}

// Await waits until what the node has seen satisfies good, or ctx ends.
func (n *Node) Await(ctx context.Context, good func([]Seen) bool) error {
	for {
		n.mu.Lock()
		news := n.news
		n.mu.Unlock()
		if good(n.Seen()) {
			return nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Tokens are the deduplication tokens that a group of nodes remembers.
type Tokens struct {
	mu     sync.Mutex
	window time.Duration
	known  map[string]time.Time
}

// NewTokens remembers each token for a while.
func NewTokens(window time.Duration) *Tokens {
	return &Tokens{window: window, known: map[string]time.Time{}}
}

// Share makes the node drop what the others that share the tokens have done.
func (n *Node) Share(t *Tokens) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tokens = t
}

// take books a token; false where it is known already.
func (t *Tokens) take(token string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	at, ok := t.known[token]
	if ok && now.Sub(at) < t.window {
		return false
	}
	t.known[token] = now
	return true
}

// work runs a statement on the machine, or does what the faults say; note is told of the share done now and then.
func (n *Node) work(ctx context.Context, v *life, s *Seen, h hints, note func(share float64)) error {
	defer func() { n.mark(func() { s.End = time.Now() }) }()
	f := n.faults()
	n.mu.Lock()
	chance := n.rng.Float64()
	n.mu.Unlock()
	switch {
	case f.Full:
		grpc.SetTrailer(ctx, metadata.Pairs("embershunt-ran", "no"))
		return status.Error(codes.ResourceExhausted, "too many sessions")
	case chance < f.Fail:
		return status.Error(codes.Internal, "failed at once")
	case f.Hang:
		<-ctx.Done()
		n.mark(func() { s.Cancelled = true })
		return ctx.Err()
	}
	if h.fail != "" {
		return status.Error(codes.InvalidArgument, h.fail)
	}
	md, _ := metadata.FromIncomingContext(ctx)
	number := func(name string, otherwise float64) float64 {
		if v := md.Get(name); len(v) > 0 {
			if x, err := strconv.ParseFloat(v[0], 64); err == nil {
				return x
			}
		}
		return otherwise
	}
	j, remove := v.machine.run(s.Query, h.work.Seconds(), h.threads, h.memory, number("embershunt-memory-mb", 0),
		int(number("embershunt-priority", 1)))
	var tick <-chan time.Time
	if note != nil {
		t := time.NewTicker(50 * time.Millisecond)
		defer t.Stop()
		tick = t.C
	}
	for done := false; !done; {
		select {
		case <-j.done:
			done = true
		case <-tick:
			note(v.machine.done(j))
		case <-ctx.Done():
			remove()
			n.mark(func() { s.Cancelled = true })
			return ctx.Err()
		}
	}
	n.mu.Lock()
	tokens := n.tokens
	n.mu.Unlock()
	fresh := tokens == nil || s.Token == "" || tokens.take(s.Token)
	n.mark(func() { s.Ran, s.Dropped = fresh, !fresh })
	if n.faults().Lost {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// Priority is that of a query that runs; -1 where it does not.
func (n *Node) Priority(query string) int {
	n.mu.Lock()
	v := n.life
	n.mu.Unlock()
	if v == nil {
		return -1
	}
	v.machine.mu.Lock()
	defer v.machine.mu.Unlock()
	for _, j := range v.machine.jobs {
		if j.id == query {
			return j.priority
		}
	}
	return -1
}
