// Package frontend has what the frontends share: the way from a call to a classified query and its one final answer, and the
// sessions whose state one node holds. A frontend itself, in a package below, speaks a protocol: it reads calls and writes answers.
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

// Poster accepts events; *dispatch.Loop is one.
type Poster interface{ Post(dispatch.Event) }

var (
	_ Poster          = (*dispatch.Loop)(nil)
	_ dispatch.Client = (*PendingQuery)(nil)
)

// Authenticator checks a name and password.
type Authenticator interface {
	Check(user, password string) bool
}

// Intake classifies calls, hands them to the loop as queries and waits for their answers. All frontends of a dispatcher share one.
// It is safe for concurrent use.
type Intake struct {
	poster       Poster
	clock        dispatch.Clock
	prefix       string // of query ids, drawn for each process
	serial       atomic.Uint64
	tables       atomic.Pointer[Tables]
	unclassified atomic.Int64
}

// NewIntake returns an intake with its first tables.
func NewIntake(p Poster, clock dispatch.Clock, t Tables) *Intake {
	i := &Intake{poster: p, clock: clock, prefix: fmt.Sprintf("%08x", rand.Uint32())}
	i.SetTables(t)
	return i
}

// SetTables puts other tables in force for later calls.
func (i *Intake) SetTables(t Tables) { i.tables.Store(&t) }

// Tables are those in force.
func (i *Intake) Tables() *Tables { return i.tables.Load() }

// Unclassified counts the queries to which no rule and no hint gave a class: they got the default one.
func (i *Intake) Unclassified() int64 { return i.unclassified.Load() }

// Disconnect tells the loop that a query's client has disconnected.
func (i *Intake) Disconnect(id string) { i.poster.Post(dispatch.ClientDisconnected{ID: id}) }

// Call is one query as a frontend makes it.
type Call struct {
	Facts      classify.Facts
	Traits     *classify.Traits // from the protocol itself; nil: rules and hints decide
	Protocol   uint8            // a bit of nodelist.Speaks
	Remaining  time.Duration    // until its deadline; 0: that of its class
	Work       any              // for the fleet
	StickyTo   string           // the node that holds the state of its session; "": any
	MemoryMB   float64          // hint of the protocol, where rules and hints give none
	OnReceived func(id string)  // called with the query's id before the loop gets it; nil: not
}

func (c *Call) deadline(t *Tables, traits classify.Traits) time.Duration {
	if c.Remaining > 0 {
		return c.Remaining
	}
	return t.Deadlines[traits.Class]
}

// Tenant is the name of a call's tenant; "" where its hints cannot be used.
func (i *Intake) Tenant(c Call) string {
	t := i.Tables().Classes
	traits, err := t.Classify(c.Facts)
	if err != nil || traits.Tenant >= len(t.Tenants) {
		return ""
	}
	return t.Tenants[traits.Tenant]
}

// Deadline is the time from now to a call's deadline. The error is classify's.
func (i *Intake) Deadline(c Call) (time.Duration, error) {
	tables := i.Tables()
	traits, err := tables.Classes.Classify(c.Facts)
	if err != nil {
		return 0, err
	}
	return c.deadline(tables, traits), nil
}

// PendingQuery is one query that waits for its final answer.
type PendingQuery struct {
	Done   chan dispatch.Outcome // receives the final answer, once
	intake *Intake
	id     string
}

// Answer implements dispatch.Client.
func (q *PendingQuery) Answer(outcome dispatch.Outcome) { q.Done <- outcome }

// Disconnect says that the client has disconnected; Done receives the answer at once.
func (q *PendingQuery) Disconnect() { q.intake.Disconnect(q.id) }

// Submit hands a call to the loop. The error is classify's: hints that cannot be used.
func (i *Intake) Submit(c Call) (*PendingQuery, error) {
	tables := i.Tables()
	traits, err := i.traits(c, tables)
	if err != nil {
		return nil, err
	}
	now, remaining := i.clock.Now(), c.deadline(tables, traits)
	remaining -= min(tables.ResponseMargin, remaining/10)
	q := &PendingQuery{Done: make(chan dispatch.Outcome, 1), intake: i, id: fmt.Sprintf("%s-%d", i.prefix, i.serial.Add(1))}
	query := &dispatch.Query{
		ID:             q.id,
		SettingsSerial: tables.SettingsSerial,
		Class:          traits.Class,
		Tenant:         traits.Tenant,
		Cost:           traits.Cost.Microseconds(),
		MemoryMB:       traits.MemoryMB,
		TableGroup:     traits.Tables,
		OrderKey:       traits.Key,
		HasOrderKey:    traits.HasKey,
		ClientRetry:    traits.Retry,
		Protocol:       c.Protocol,
		StickyTo:       c.StickyTo,
		Deadline:       now + remaining.Microseconds(),
		Work:           c.Work,
		Client:         q,
	}
	if c.OnReceived != nil {
		c.OnReceived(q.id)
	}
	i.poster.Post(dispatch.QueryReceived{Query: query})
	return q, nil
}

// traits classifies a call, unless its protocol has, and counts those that no rule and no hint gave a class.
func (i *Intake) traits(c Call, tables *Tables) (traits classify.Traits, err error) {
	if c.Traits != nil {
		traits = *c.Traits
	} else if traits, err = tables.Classes.Classify(c.Facts); err != nil {
		return traits, err
	}
	if c.Traits == nil && !traits.Hinted && traits.Rule == "" {
		i.unclassified.Add(1)
	}
	if traits.MemoryMB == 0 {
		traits.MemoryMB = c.MemoryMB
	}
	return traits, nil
}

// Execute hands a call to the loop and waits for its final answer. When ctx ends, the client counts as disconnected and the answer
// comes at once.
func (i *Intake) Execute(ctx context.Context, c Call) (dispatch.Outcome, error) {
	q, err := i.Submit(c)
	if err != nil {
		return dispatch.Outcome{}, err
	}
	select {
	case outcome := <-q.Done:
		return outcome, nil
	case <-ctx.Done():
		q.Disconnect()
		return <-q.Done, nil
	}
}
