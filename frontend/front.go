// Package frontend has what the fronts share: the tables that settings change, and the way from a classified call to the one
// final answer. A front itself is a protocol: it reads calls and writes answers.
package frontend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"embershunt/classify"
	"embershunt/dispatch"
)

// Poster takes queries and word of clients that left; *dispatch.Loop is one.
type Poster interface{ Post(dispatch.Event) }

// Authenticator checks a name and password.
type Authenticator interface {
	Check(user, password string) bool
}

// Tables are what changes with the settings.
type Tables struct {
	Version        uint64 // of the settings that number the classes
	Classes        *classify.Table
	Deadlines      []time.Duration // by class, where a call states none
	ResponseMargin time.Duration   // kept of each deadline for the way back, a tenth of it at most
	TicketLife     time.Duration
	PreparedLife   time.Duration
	BearerLife     time.Duration
	MaxStatement   int // bytes; may not pass that of the start
	MaxParams      int // bytes of bound parameters; likewise
}

// Intake hands queries to a dispatcher and waits for their answers; all fronts of a dispatcher share one.
type Intake struct {
	post    Poster
	clock   dispatch.Clock
	prefix  string
	serial  atomic.Uint64
	tables  atomic.Pointer[Tables]
	unruled atomic.Int64
}

// NewIntake returns a desk with its first tables.
func NewIntake(p Poster, clock dispatch.Clock, t Tables) *Intake {
	d := &Intake{post: p, clock: clock, prefix: fmt.Sprintf("%08x", rand.Uint32())}
	d.SetTables(t)
	return d
}

// SetTables puts other tables in force for the calls that come from now on.
func (d *Intake) SetTables(t Tables) { d.tables.Store(&t) }

// Tables are those in force.
func (d *Intake) Tables() *Tables { return d.tables.Load() }

// Unclassified counts the queries that no rule and no hint gave a class: they fell in the default one.
func (d *Intake) Unclassified() int64 { return d.unruled.Load() }

// Disconnect tells the dispatcher that a query's client is gone.
func (d *Intake) Disconnect(id string) { d.post.Post(dispatch.ClientDisconnected{ID: id}) }

// Call is one query as a front makes it.
type Call struct {
	Facts      classify.Facts
	Traits     *classify.Traits // what the protocol itself tells; nil: rules and hints have to
	Protocol   uint8            // protocol, as a bit of nodelist.Speaks
	Remaining  time.Duration    // until its deadline; 0: the class's
	Work       any              // for the fleet
	StickyTo   string           // the node that holds its session's state; "": none
	MemoryMB   float64          // memory hint of the protocol, where rules and hints give none
	OnReceived func(id string)
}

func (c *Call) deadline(t *Tables, traits classify.Traits) time.Duration {
	if c.Remaining > 0 {
		return c.Remaining
	}
	return t.Deadlines[traits.Class]
}

// Tenant names the tenant that a call is of; "" where its hints cannot be used.
func (d *Intake) Tenant(c Call) string {
	t := d.Tables().Classes
	traits, err := t.Classify(c.Facts)
	if err != nil || traits.Tenant >= len(t.Tenants) {
		return ""
	}
	return t.Tenants[traits.Tenant]
}

// Deadline is how long a call has from now on. The error is classify's.
func (d *Intake) Deadline(c Call) (time.Duration, error) {
	tables := d.Tables()
	traits, err := tables.Classes.Classify(c.Facts)
	if err != nil {
		return 0, err
	}
	return c.deadline(tables, traits), nil
}

// PendingQuery is one query that waits for its final answer.
type PendingQuery struct {
	Done chan dispatch.Outcome // gets the final answer, once
	desk *Intake
	id   string
}

// Answer implements dispatch.Client.
func (a *PendingQuery) Answer(v dispatch.Outcome) { a.Done <- v }

// Disconnect tells that the client is gone; Done gets its word at once.
func (a *PendingQuery) Disconnect() { a.desk.Disconnect(a.id) }

// Submit hands a query over. The error is classify's: hints that cannot be used.
func (d *Intake) Submit(c Call) (a *PendingQuery, err error) {
	tables := d.Tables()
	var traits classify.Traits
	if c.Traits != nil {
		traits = *c.Traits
	} else if traits, err = tables.Classes.Classify(c.Facts); err != nil {
		return nil, err
	}
	if c.Traits == nil && !traits.Hinted && traits.Rule == "" {
		d.unruled.Add(1)
	}
	now, left := d.clock.Now(), c.deadline(tables, traits)
	left -= min(tables.ResponseMargin, left/10)
	if traits.MemoryMB == 0 {
		traits.MemoryMB = c.MemoryMB
	}
	a = &PendingQuery{Done: make(chan dispatch.Outcome, 1), desk: d, id: fmt.Sprintf("%s-%d", d.prefix, d.serial.Add(1))}
	q := &dispatch.Query{ID: a.id, Version: tables.Version, Class: traits.Class,
		Tenant: traits.Tenant, Cost: traits.Cost.Microseconds(), MemoryMB: traits.MemoryMB, TableGroup: traits.Tables,
		OrderKey: traits.Key, HasOrderKey: traits.HasKey, ClientRetry: traits.Retry, Protocol: c.Protocol, StickyTo: c.StickyTo, Deadline: now + left.Microseconds(), Work: c.Work, Client: a}
	if c.OnReceived != nil {
		c.OnReceived(q.ID)
	}
	d.post.Post(dispatch.QueryReceived{Query: q})
	return a, nil
}

// Execute hands a query over and waits for its final answer. When ctx ends, the client's leaving is passed on and the answer
// comes at once.
func (d *Intake) Execute(ctx context.Context, c Call) (dispatch.Outcome, error) {
	a, err := d.Submit(c)
	if err != nil {
		return dispatch.Outcome{}, err
	}
	select {
	case v := <-a.Done:
		return v, nil
	case <-ctx.Done():
		a.Disconnect()
		return <-a.Done, nil
	}
}
