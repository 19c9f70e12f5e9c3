// Package backend manages the query nodes as one dispatcher sees them: the node list, connection pools, attempts and their
// outcomes, load reports, health checks. It makes no routing decisions: it executes commands of the dispatch loop and reports its
// observations to the loop.
//
// It supports three protocols: Flight SQL over gRPC (flight_*.go), the ClickHouse native protocol (native_*.go) and the platform's
// line protocol (platform_*.go). The other files serve all three.
package backend

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"embershunt/dispatch"
	"embershunt/nodelist"
	"embershunt/permit"
	"embershunt/policy"
)

// Options are the fleet's settings; zero values mean the defaults.
type Options struct {
	Log                 *slog.Logger
	Clock               dispatch.Clock
	ConnectTimeout      time.Duration     // a connection that is not established by then counts as refused; default 250 ms
	HealthCheckTimeout  time.Duration     // of a health check, and of calls whose answer is not used; default 500 ms
	MaxFrame            int               // limit of one message in bytes; default 16 MiB
	DialOptions         []grpc.DialOption // such as credentials; default: plain text
	NativeUser          string            // for the native protocol, as NativePassword
	NativePassword      string
	Headers             []string      // alternating keys and values, sent with the gRPC calls of every attempt
	MaxPlatformConns    int           // limit of connections in the platform's protocol, to all nodes together; default 256
	MaxAttemptsPerConn  int           // limit of attempts that share a platform connection once MaxPlatformConns is reached; default 100
	PlatformIdleTimeout time.Duration // a platform connection without an attempt is closed after this time; default 10 s
	DrainGrace          time.Duration // how long after a drain notice statements of sticky sessions may still start; other queries may not
}

// setDefaults replaces zero values by the defaults.
func (o *Options) setDefaults() {
	o.ConnectTimeout = cmp.Or(o.ConnectTimeout, 250*time.Millisecond)
	o.HealthCheckTimeout = cmp.Or(o.HealthCheckTimeout, 500*time.Millisecond)
	o.MaxPlatformConns = cmp.Or(o.MaxPlatformConns, 256)
	o.MaxAttemptsPerConn = cmp.Or(o.MaxAttemptsPerConn, 100)
	o.PlatformIdleTimeout = cmp.Or(o.PlatformIdleTimeout, 10*time.Second)
	o.MaxFrame = cmp.Or(o.MaxFrame, 16<<20)
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

// Poster receives the fleet's events; *dispatch.Loop implements it.
type Poster interface{ Post(dispatch.Event) }

// poster is a Poster that accepts events of the policy as well.
type poster struct{ Poster }

// Notify implements peers.Receiver.
func (p poster) Notify(ev policy.Event) { p.Post(dispatch.PolicyEvent{Event: ev}) }

// Fleet implements dispatch.Fleet for all three protocols.
type Fleet struct {
	log     *slog.Logger
	clock   dispatch.Clock
	options Options
	post    poster
	group   *errgroup.Group // has every goroutine of the fleet
	ctx     context.Context // cancelled by Close
	stop    context.CancelFunc

	onNodes      func([]nodelist.Node)                                       // see OnNodes; nil: not set
	dialPlatform func(ctx context.Context, address string) (net.Conn, error) // replaced by tests
	sendGossip   func(peer int, data []byte)                                 // see OnGossip; nil: not set
	refetch      func()                                                      // see OnFetch; nil: not set

	mu             sync.Mutex
	closed         bool
	nodes          map[string]*node        // by id; removed nodes too while calls use them
	listAcceptedAt policy.Micros           // when the present list was accepted; 0: none has been
	attempts       map[string][]*attempt   // in flight, by query id
	sessionConns   map[string]*sessionConn // idle ones, by session

	listFailures       atomic.Int64
	platformConns      atomic.Int64 // open or reserved connections in the platform's protocol
	platformConnSerial atomic.Int64 // id of the newest connection in the platform's protocol
	discardedAnswers   atomic.Int64 // see DiscardedAnswers
	drainDelays        drainDelays
	audit              permit.Audit
}

var _ dispatch.Fleet = (*Fleet)(nil)

// New returns a fleet without nodes. Bind must be called before the loop runs.
func New(o Options) *Fleet {
	o.setDefaults()
	ctx, stop := context.WithCancel(context.Background())
	return &Fleet{log: o.Log, clock: o.Clock, options: o, dialPlatform: dialTCP, group: new(errgroup.Group), ctx: ctx, stop: stop,
		nodes: map[string]*node{}, attempts: map[string][]*attempt{}, sessionConns: map[string]*sessionConn{}}
}

// Bind sets the receiver of the fleet's events.
func (f *Fleet) Bind(p Poster) { f.post = poster{p} }

// Go runs a goroutine that Close waits for, such as a watch on the node list. run must return when ctx ends.
func (f *Fleet) Go(run func(ctx context.Context)) {
	f.group.Go(func() error { run(f.ctx); return nil })
}

// OnFetch sets the function that WatchEndpoints and FetchEndpoints call. It polls the source of the node list again and must not
// block.
func (f *Fleet) OnFetch(refetch func()) { f.refetch = refetch }

// OnNodes sets the function that is called with each node list that takes effect; it must not block.
func (f *Fleet) OnNodes(notify func([]nodelist.Node)) { f.onNodes = notify }

// WatchEndpoints implements dispatch.Fleet. The source of the node list keeps the watch; polling the source again renews it.
func (f *Fleet) WatchEndpoints() { f.FetchEndpoints() }

// FetchEndpoints implements dispatch.Fleet.
func (f *Fleet) FetchEndpoints() {
	if f.refetch != nil {
		f.refetch()
	}
}

// OnGossip sets the function that sends gossip messages to other dispatchers; it must not block. Without it gossip is off, and the
// policy's settings must have it off too.
func (f *Fleet) OnGossip(send func(peer int, data []byte)) { f.sendGossip = send }

// SendGossip implements dispatch.Fleet.
func (f *Fleet) SendGossip(peer int, data []byte) {
	if f.sendGossip != nil {
		f.sendGossip(peer, data)
	}
}

// MaxSendDelayAfterDrain returns the longest time from a drain notice to a later send to that node; 0 if nothing was sent. Sends that
// are withheld before their first byte is written (permit.Sending) count too.
func (f *Fleet) MaxSendDelayAfterDrain() time.Duration { return f.drainDelays.longest() }

// Audit returns the counts of attempts that were not permitted when they would have started, and of those that started in violation
// of a rule.
func (f *Fleet) Audit() *permit.Audit { return &f.audit }

// ListFailures returns the number of node lists that could not be fetched or used.
func (f *Fleet) ListFailures() int64 { return f.listFailures.Load() }

// Close cancels all attempts and other calls, waits until they have ended and closes the connections.
func (f *Fleet) Close() error {
	f.stop()
	f.mu.Lock()
	f.closed = true
	for _, n := range f.nodes { // ends their readers, which the group waits for
		n.platform.close()
	}
	f.mu.Unlock()
	err := f.group.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range f.sessionConns {
		s.conn.close()
		delete(f.sessionConns, name)
	}
	for id, n := range f.nodes {
		n.close()
		delete(f.nodes, id)
	}
	return err
}

// spawn starts a goroutine of the fleet's group. It may be called while the fleet closes: it then starts nothing and returns false.
func (f *Fleet) spawn(run func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed {
		f.group.Go(func() error { run(); return nil })
	}
	return !f.closed
}

// acquire returns a node and keeps it open for one call, until release; nil if the node is not known.
func (f *Fleet) acquire(id string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[id]
	if n != nil {
		n.users++
	}
	return n
}

// release ends the use of a node by one call. It closes the node if it was removed and no other call uses it.
func (f *Fleet) release(n *node) {
	f.mu.Lock()
	n.users--
	unused := n.removed && n.users == 0
	if unused && f.nodes[n.id] == n {
		delete(f.nodes, n.id)
	}
	f.mu.Unlock()
	if unused {
		n.close()
	}
}
