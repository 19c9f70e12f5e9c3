// Package backend is the query nodes as one dispatcher sees them: the node list, kept connections, attempts and how they
// end, load reports, probes. It decides nothing: what it is told to do comes from the module, what it sees goes there.
package backend

import (
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
	ConnectTimeout      time.Duration     // a connection that is not up by then is refused; default 250 ms
	ProbeTimeout        time.Duration     // default 500 ms
	MaxFrame            int               // most bytes of one message from a node; default 16 MiB
	Dial                []grpc.DialOption // credentials; default: plain text
	NativeUser          string            // for the native protocol
	NativePassword      string
	Headers             []string      // key and value in turn, sent with every call
	MaxPlatformConns    int           // connections held to nodes that speak lines, all together; default 256
	MaxAttemptsPerConn  int           // attempts that share one of them where there are no more; default 100
	PlatformIdleTimeout time.Duration // one without an attempt is closed after this; default 10 s
	DrainGrace          time.Duration // nothing new begins at a node so long after it was told to drain
}

// Poster takes what the fleet has seen; *dispatch.Loop is one.
type Poster interface{ Post(dispatch.Event) }

type poster struct{ Poster }

func (p poster) Notify(ev policy.Event) { p.Post(dispatch.PolicyEvent{Event: ev}) }

// Fleet implements dispatch.Fleet over gRPC.
type Fleet struct {
	log     *slog.Logger
	clock   dispatch.Clock
	options Options
	post    poster
	group   *errgroup.Group // every goroutine of the fleet
	ctx     context.Context
	stop    context.CancelFunc
	onNodes func([]nodelist.Node) // told of each list that comes into force; nil: nobody
	// dialPlatform opens a connection to a node that speaks lines.
	dialPlatform func(ctx context.Context, address string) (net.Conn, error)
	sendGossip   func(int, []byte) // carries messages to other dispatchers; nil: nothing does
	refetch      func()            // asks the list's source again; nil: there is nothing to ask

	mu             sync.Mutex
	closed         bool
	nodes          map[string]*node
	listAcceptedAt policy.Micros         // when the list in force was taken; 0: there is none
	attempts       map[string][]*attempt // those out, by query
	sessionConns   map[string]*sessionConn

	listFailures  atomic.Int64
	platformConns atomic.Int64 // connections to nodes that speak lines
	drainDelays   drainDelays
	audit         permit.Audit
}

var _ dispatch.Fleet = (*Fleet)(nil)

// New returns a fleet without nodes. Bind must be called before the loop runs.
func New(o Options) *Fleet {
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = 250 * time.Millisecond
	}
	if o.ProbeTimeout == 0 {
		o.ProbeTimeout = 500 * time.Millisecond
	}
	if o.MaxPlatformConns == 0 {
		o.MaxPlatformConns = 256
	}
	if o.MaxAttemptsPerConn == 0 {
		o.MaxAttemptsPerConn = 100
	}
	if o.PlatformIdleTimeout == 0 {
		o.PlatformIdleTimeout = 10 * time.Second
	}
	if o.MaxFrame == 0 {
		o.MaxFrame = 16 << 20
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Fleet{log: o.Log, clock: o.Clock, options: o, dialPlatform: dialTCP, group: new(errgroup.Group), ctx: ctx, stop: stop,
		nodes: map[string]*node{}, attempts: map[string][]*attempt{}, sessionConns: map[string]*sessionConn{}}
}

// Bind names who is told of what happens.
func (f *Fleet) Bind(p Poster) { f.post = poster{p} }

// Go runs a goroutine that belongs to the fleet, such as a watch on the node list. It must end with ctx.
func (f *Fleet) Go(run func(ctx context.Context)) {
	f.group.Go(func() error { run(f.ctx); return nil })
}

// OnFetch sets what Fetch and Watch call: it asks the list's source again and must not block.
func (f *Fleet) OnFetch(ask func()) { f.refetch = ask }

// OnNodes sets who is told of each node list that comes into force; it must not block.
func (f *Fleet) OnNodes(told func([]nodelist.Node)) { f.onNodes = told }

// WatchEndpoints implements dispatch.Fleet. The watch is kept by the list's source; asking again renews it.
func (f *Fleet) WatchEndpoints() { f.FetchEndpoints() }

// FetchEndpoints implements dispatch.Fleet.
func (f *Fleet) FetchEndpoints() {
	if f.refetch != nil {
		f.refetch()
	}
}

// OnGossip sets what carries messages to other dispatchers; it must not block. Without one they stay off, and the module is
// told so (CanTell).
func (f *Fleet) OnGossip(tell func(peer int, data []byte)) { f.sendGossip = tell }

// SendGossip implements dispatch.Fleet.
func (f *Fleet) SendGossip(peer int, data []byte) {
	if f.sendGossip != nil {
		f.sendGossip(peer, data)
	}
}

// LastSendAfterDrain is the longest time from a drain notice to a send to that node after it; 0 where none was sent.
// The module alone keeps nodes that drain free of new work: this only measures it.
func (f *Fleet) LastSendAfterDrain() time.Duration { return f.drainDelays.longest() }

// Audit counts attempts that were not permitted at the moment they would have begun, and those that began against a rule.
func (f *Fleet) Audit() *permit.Audit { return &f.audit }

// ListFailures counts the node lists that failed or could not be used.
func (f *Fleet) ListFailures() int64 { return f.listFailures.Load() }

// Close calls everything off, waits for it to end and closes the connections.
func (f *Fleet) Close() error {
	f.stop()
	f.mu.Lock()
	f.closed = true
	for _, n := range f.nodes { // their readers are waited for
		n.platform.close()
	}
	f.mu.Unlock()
	err := f.group.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range f.sessionConns {
		s.conn.conn.Close()
		delete(f.sessionConns, name)
	}
	for id, n := range f.nodes {
		n.close()
		delete(f.nodes, id)
	}
	return err
}

// spawn runs a goroutine for callers that may come while the fleet closes; nothing is run for them then, and false returned.
func (f *Fleet) spawn(run func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed {
		f.group.Go(func() error { run(); return nil })
	}
	return !f.closed
}

// acquire takes a node for one call; nil where it is not known. Every use is ended by release.
func (f *Fleet) acquire(id string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[id]
	if n != nil {
		n.users++
	}
	return n
}

func (f *Fleet) release(n *node) {
	f.mu.Lock()
	n.users--
	idle := n.removed && n.users == 0
	if idle && f.nodes[n.id] == n {
		delete(f.nodes, n.id)
	}
	f.mu.Unlock()
	if idle {
		n.close()
	}
}
