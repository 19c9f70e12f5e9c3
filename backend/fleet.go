// Package backend manages the query nodes as one dispatcher sees them: the node list, connection pools, attempts and their
// outcomes, load reports, health checks. It decides nothing: commands come from the dispatch loop, observations go back to it.
//
// Three protocols are spoken: Flight SQL over gRPC (flight_*.go), the ClickHouse native protocol (native_*.go) and the platform's
// line protocol (platform_*.go). What they share is in attempt.go, node.go, fleet.go, list.go, drain.go and permission_audit.go.
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
	HealthCheckTimeout  time.Duration     // of a health check; default 500 ms
	MaxFrame            int               // bytes of one message from a node; default 16 MiB
	DialOptions         []grpc.DialOption // credentials; default: plain text
	NativeUser          string            // for the native protocol
	NativePassword      string
	Headers             []string      // keys and values in turn, sent with every gRPC call
	MaxPlatformConns    int           // connections to nodes in the platform's protocol, all together; default 256
	MaxAttemptsPerConn  int           // attempts that share one of them when all are open; default 100
	PlatformIdleTimeout time.Duration // one without an attempt is closed after this; default 10 s
	DrainGrace          time.Duration // after a drain notice statements of sticky sessions may start for this long; nothing else starts from then on
}

// setDefaults replaces zero values.
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

// Poster takes what the fleet observes; *dispatch.Loop is one.
type Poster interface{ Post(dispatch.Event) }

// poster posts events of the policy as well.
type poster struct{ Poster }

// Notify implements peers.Receiver.
func (p poster) Notify(ev policy.Event) { p.Post(dispatch.PolicyEvent{Event: ev}) }

// Fleet implements dispatch.Fleet for all three protocols.
type Fleet struct {
	log     *slog.Logger
	clock   dispatch.Clock
	options Options
	post    poster
	group   *errgroup.Group // every goroutine of the fleet
	ctx     context.Context // ends with Close
	stop    context.CancelFunc

	onNodes      func([]nodelist.Node)                                       // see OnNodes; nil: not set
	dialPlatform func(ctx context.Context, address string) (net.Conn, error) // replaced by tests
	sendGossip   func(peer int, data []byte)                                 // see OnGossip; nil: not set
	refetch      func()                                                      // see OnFetch; nil: not set

	mu             sync.Mutex
	closed         bool
	nodes          map[string]*node
	listAcceptedAt policy.Micros         // when the list in force was accepted; 0: there is none
	attempts       map[string][]*attempt // in flight, by query
	sessionConns   map[string]*sessionConn

	listFailures       atomic.Int64
	platformConns      atomic.Int64 // open or reserved connections in the platform's protocol
	platformConnSerial atomic.Int64 // id of the latest of them
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

// Bind sets who receives the fleet's events.
func (f *Fleet) Bind(p Poster) { f.post = poster{p} }

// Go runs a goroutine that belongs to the fleet, such as a watch on the node list. It must end with ctx.
func (f *Fleet) Go(run func(ctx context.Context)) {
	f.group.Go(func() error { run(f.ctx); return nil })
}

// OnFetch sets what WatchEndpoints and FetchEndpoints call: it polls the list's source again and must not block.
func (f *Fleet) OnFetch(refetch func()) { f.refetch = refetch }

// OnNodes sets who is notified of each node list that comes into force; it must not block.
func (f *Fleet) OnNodes(notify func([]nodelist.Node)) { f.onNodes = notify }

// WatchEndpoints implements dispatch.Fleet. The list's source keeps the watch; polling it again renews the watch.
func (f *Fleet) WatchEndpoints() { f.FetchEndpoints() }

// FetchEndpoints implements dispatch.Fleet.
func (f *Fleet) FetchEndpoints() {
	if f.refetch != nil {
		f.refetch()
	}
}

// OnGossip sets what carries gossip messages to other dispatchers; it must not block. Without it gossip is off, which the policy's
// settings say as well.
func (f *Fleet) OnGossip(send func(peer int, data []byte)) { f.sendGossip = send }

// SendGossip implements dispatch.Fleet.
func (f *Fleet) SendGossip(peer int, data []byte) {
	if f.sendGossip != nil {
		f.sendGossip(peer, data)
	}
}

// MaxSendDelayAfterDrain is the longest time from a drain notice to a later send to that node; 0 where nothing was sent. Sends that
// are withheld before their first byte leaves (permit.Sending) count too.
func (f *Fleet) MaxSendDelayAfterDrain() time.Duration { return f.drainDelays.longest() }

// Audit counts attempts that were not permitted at the moment at which they would have started, and those that started against a
// rule.
func (f *Fleet) Audit() *permit.Audit { return &f.audit }

// ListFailures counts the node lists that could not be fetched or used.
func (f *Fleet) ListFailures() int64 { return f.listFailures.Load() }

// Close cancels everything, waits for it to end and closes the connections.
func (f *Fleet) Close() error {
	f.stop()
	f.mu.Lock()
	f.closed = true
	for _, n := range f.nodes { // the group waits for their readers
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

// spawn runs a goroutine for callers that may call while the fleet closes; then it runs nothing and returns false.
func (f *Fleet) spawn(run func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed {
		f.group.Go(func() error { run(); return nil })
	}
	return !f.closed
}

// acquire holds a node for one call; nil where it is not known. Each acquire is followed by release.
func (f *Fleet) acquire(id string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[id]
	if n != nil {
		n.users++
	}
	return n
}

// release ends the hold of a call on a node, and closes the node where it was removed meanwhile and no other call holds it.
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
