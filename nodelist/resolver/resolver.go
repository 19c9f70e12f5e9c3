// Package resolver keeps the node list up to date by polling the platform's name service. membership.View decides which
// list is in force.
//
// Late responses are used: a query stays pending for queryLifetime, and a socket that is no longer polled is still read.
// Queries alternate between two sockets, so that an unresponsive flow costs only every other response until its socket is
// replaced. An unresponsive socket is retired only after its replacement has been opened.
package resolver

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"embershunt/membership"
	"embershunt/nodelist"
)

// Options are a resolver's settings.
type Options struct {
	Log         *slog.Logger
	Address     string // host:port of the name service
	Names       nodelist.Names
	Initial     nodelist.VersionedList // list in force at the start
	Interval    time.Duration          // from one regular query to the next
	Apply       func([]nodelist.Node)  // activates a list; called in the goroutine of Run
	MinInterval time.Duration          // least time before an extra query; 0: 40 ms, or Interval if that is shorter
}

// Resolver polls one name service, whose address may change.
type Resolver struct {
	options        Options
	log            *slog.Logger
	packets        chan packet
	addressChanged chan struct{} // holds a value after the address has changed
	startedAt      time.Time

	mu      sync.Mutex
	address string

	stats counters

	// Only the goroutine of Run uses the fields below.
	view           *membership.View
	active         []*socket
	retired        []*socket // read, but not polled; the oldest first
	pending        pendingQueries
	schedule       schedule
	newestAnswered uint64 // serial of the newest query with a response
	nextSocket     int    // index in active of the socket polled last
	replacements   int    // sockets replaced since the last response
	unresponsive   bool   // missing responses have been logged, and none has been received since
	readers        errgroup.Group
}

// New returns a resolver; Run sends the first query.
func New(o Options) *Resolver {
	if o.MinInterval == 0 {
		o.MinInterval = min(defaultMinInterval, o.Interval)
	}
	r := &Resolver{options: o, log: o.Log, address: o.Address, packets: make(chan packet), addressChanged: make(chan struct{}, 1),
		startedAt: time.Now(), view: membership.New(o.Initial), pending: pendingQueries{byID: map[uint16]query{}},
		schedule: schedule{interval: o.Interval, minInterval: o.MinInterval, extra: maxExtraQueries}}
	r.stats.version.Store(o.Initial.Number)
	return r
}

// SetAddress changes the address of the name service. The list in force and its version number stay. It is safe for
// concurrent use.
func (r *Resolver) SetAddress(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.address == address {
		return
	}
	r.address = address
	select {
	case r.addressChanged <- struct{}{}:
	default:
	}
}

func (r *Resolver) currentAddress() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address
}

// Run polls until ctx ends.
func (r *Resolver) Run(ctx context.Context) {
	defer r.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.addressChanged:
			r.replaceSockets(ctx)
			r.poll(ctx)
		case p := <-r.packets:
			r.receive(p)
		case <-timer.C:
			r.poll(ctx)
		}
		timer.Reset(time.Until(r.schedule.nextAt()))
	}
}

// poll maintains the sockets and sends a query on the next one.
func (r *Resolver) poll(ctx context.Context) {
	now := time.Now()
	r.schedule.begin(now)
	r.maintainSockets(ctx, now)
	if len(r.active) == 0 {
		return
	}
	r.nextSocket = (r.nextSocket + 1) % len(r.active)
	s := r.active[r.nextSocket]
	id := r.pending.add(now)
	message, err := nodelist.Query(id)
	if err == nil {
		_, err = s.conn.Write(message)
	}
	if err != nil {
		r.pending.remove(id)
		r.countFailure("cannot send a query", err)
		return
	}
	r.stats.queries.Add(1)
	r.schedule.awaiting = true
	s.sent(r.pending.lastSerial, now)
}

// receive processes a packet or a read error of a socket.
func (r *Resolver) receive(p packet) {
	if p.err != nil { // such as ECONNREFUSED
		r.countFailure("cannot read from the name service", p.err)
		return
	}
	q, list, err := r.parse(p.message)
	if err != nil {
		r.countFailure("unusable response", err)
		return
	}
	r.recordResponse(time.Now(), q, p.socket)
	for _, row := range list.Skipped {
		r.countFailure("unusable row", row.Err)
	}
	r.observe(q, list)
}

// parse parses a response to a pending query.
func (r *Resolver) parse(message []byte) (query, nodelist.VersionedList, error) {
	if len(message) > nodelist.MaxResponseBytes {
		return query{}, nodelist.VersionedList{}, errTooLong
	}
	var q query
	pending := func(id uint16) (ok bool) { q, ok = r.pending.byID[id]; return ok }
	list, err := nodelist.ParseResponse(message, pending, r.options.Names)
	return q, list, err
}

// recordResponse updates the response time and the counters after a usable response.
func (r *Resolver) recordResponse(now time.Time, q query, s *socket) {
	took, age := now.Sub(q.at), r.age()
	s.responded(q.serial)
	if q.serial > r.newestAnswered { // an older query's response does not show the current response time
		r.newestAnswered = q.serial
		r.schedule.responseTime = expectedResponseTime(r.schedule.responseTime, took)
	}
	if q.serial == r.pending.lastSerial {
		r.schedule.awaiting = false
	}
	r.replacements = 0
	r.stats.responses.Add(1)
	r.stats.respondedAt.Store(int64(now.Sub(r.startedAt)))
	r.stats.responseTime.Store(int64(r.schedule.responseTime))
	if r.unresponsive {
		r.unresponsive = false
		r.log.Info("node list: responses received again", "age_ms", age.Milliseconds(), "answer_ms", took.Milliseconds())
	}
}

// observe passes a list to the view, and activates the view's list if it has changed.
func (r *Resolver) observe(q query, list nodelist.VersionedList) {
	before := r.view.Number()
	if list.Number < before {
		r.stats.lower.Add(1)
	}
	u := r.view.Observe(membership.Response{Query: q.serial, At: time.Since(r.startedAt).Microseconds(), VersionedList: list})
	r.schedule.unconfirmed = u.Unconfirmed
	if u.Reverted {
		r.stats.reverted.Add(1)
		r.log.Warn("node list: wrong version number reverted", "from", before, "to", r.view.Number())
	}
	r.stats.version.Store(r.view.Number())
	if u.Changed {
		r.options.Apply(r.view.Nodes())
	}
}

// countFailure counts a failure as unusable, and logs it at debug level.
func (r *Resolver) countFailure(failure string, err error) {
	r.stats.unusable.Add(1)
	r.log.Debug("node list: "+failure, "error", err)
}
