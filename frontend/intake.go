// Package frontend holds the code that all frontends share: Intake turns a client's call into a classified query and waits for its
// final answer, and Sessions runs the statements of sessions whose state one node holds. The frontends themselves are the packages
// below: each reads calls and writes answers in one protocol.
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

// Poster accepts events for the dispatch loop; *dispatch.Loop implements it.
type Poster interface{ Post(dispatch.Event) }

var (
	_ Poster          = (*dispatch.Loop)(nil)
	_ dispatch.Client = (*PendingQuery)(nil)
)

// Authenticator checks a user's name and password.
type Authenticator interface {
	Check(user, password string) bool
}

// Intake classifies calls, hands them to the loop as queries and waits for their answers. All frontends of a dispatcher share one.
// It is safe for concurrent use.
type Intake struct {
	poster       Poster
	clock        dispatch.Clock
	prefix       string        // of query ids, drawn at random for each process
	serial       atomic.Uint64 // of the last query
	settings     atomic.Pointer[Settings]
	unclassified atomic.Int64 // see Unclassified
}

// NewIntake returns an intake that starts with the settings s.
func NewIntake(p Poster, clock dispatch.Clock, s Settings) *Intake {
	i := &Intake{poster: p, clock: clock, prefix: fmt.Sprintf("%08x", rand.Uint32())}
	i.SetSettings(s)
	return i
}

// SetSettings replaces the settings for later calls.
func (i *Intake) SetSettings(s Settings) { i.settings.Store(&s) }

// Settings returns the settings in force; the caller must not change them.
func (i *Intake) Settings() *Settings { return i.settings.Load() }

// Unclassified returns how many queries got the default class because no rule and no hint gave them a class.
func (i *Intake) Unclassified() int64 { return i.unclassified.Load() }

// Disconnect tells the loop that a query's client has disconnected.
func (i *Intake) Disconnect(id string) { i.poster.Post(dispatch.ClientDisconnected{ID: id}) }

// Call is one query as a frontend submits it.
type Call struct {
	Facts      classify.Facts
	Traits     *classify.Traits // given by the protocol itself; nil: derived from rules and hints
	Protocol   uint8            // a bit of nodelist.Node.Protocols
	Remaining  time.Duration    // until the client's deadline; 0: the deadline of its class applies
	Payload    any              // what the fleet sends to the node, such as a *flightwire.Call
	StickyTo   string           // the node that holds the state of its session; "": any node
	MemoryMB   float64          // from the protocol; used where rules and hints give none; 0: unknown
	OnReceived func(id string)  // called with the query's id before the loop receives the query; may be nil
}

// deadline returns the time from now to the call's deadline: the client's, or that of its class.
func (c *Call) deadline(s *Settings, traits classify.Traits) time.Duration {
	if c.Remaining > 0 {
		return c.Remaining
	}
	return s.Deadlines[traits.Class]
}

// Tenant returns the name of a call's tenant; "" where its hints are invalid or the tenant has no name.
func (i *Intake) Tenant(c Call) string {
	t := i.Settings().Classes
	traits, err := t.Classify(c.Facts)
	if err != nil || traits.Tenant >= len(t.Tenants) {
		return ""
	}
	return t.Tenants[traits.Tenant]
}

// Deadline returns the time from now to a call's deadline. The error is a *classify.BadHintError.
func (i *Intake) Deadline(c Call) (time.Duration, error) {
	settings := i.Settings()
	traits, err := settings.Classes.Classify(c.Facts)
	if err != nil {
		return 0, err
	}
	return c.deadline(settings, traits), nil
}

// PendingQuery is a query that waits for its final answer.
type PendingQuery struct {
	Done   chan dispatch.Outcome // receives the final answer, once
	intake *Intake
	id     string
}

// Answer implements dispatch.Client.
func (q *PendingQuery) Answer(outcome dispatch.Outcome) { q.Done <- outcome }

// Disconnect tells the loop that the client has disconnected; Done then receives the final answer at once.
func (q *PendingQuery) Disconnect() { q.intake.Disconnect(q.id) }

// Submit classifies a call and posts it to the loop as a query. The error is a *classify.BadHintError: the call's hints are invalid.
func (i *Intake) Submit(c Call) (*PendingQuery, error) {
	settings := i.Settings()
	traits, err := i.traits(c, settings)
	if err != nil {
		return nil, err
	}
	now, remaining := i.clock.Now(), c.deadline(settings, traits)
	remaining -= min(settings.ResponseMargin, remaining/10)
	q := &PendingQuery{Done: make(chan dispatch.Outcome, 1), intake: i, id: fmt.Sprintf("%s-%d", i.prefix, i.serial.Add(1))}
	query := &dispatch.Query{
		ID:              q.id,
		SettingsVersion: settings.SettingsVersion,
		Class:           traits.Class,
		Tenant:          traits.Tenant,
		Cost:            traits.Cost.Microseconds(),
		MemoryMB:        traits.MemoryMB,
		TableGroup:      traits.Tables,
		OrderKey:        traits.Key,
		HasOrderKey:     traits.HasKey,
		ClientRetry:     traits.ClientRetry,
		Protocol:        c.Protocol,
		StickyTo:        c.StickyTo,
		Deadline:        now + remaining.Microseconds(),
		Payload:         c.Payload,
		Client:          q,
	}
	if c.OnReceived != nil {
		c.OnReceived(q.id)
	}
	i.poster.Post(dispatch.QueryReceived{Query: query})
	return q, nil
}

// traits returns the traits that the protocol gives, or else classifies the call. It counts the calls without a class from a rule or
// hint.
func (i *Intake) traits(c Call, settings *Settings) (traits classify.Traits, err error) {
	if c.Traits != nil {
		traits = *c.Traits
	} else if traits, err = settings.Classes.Classify(c.Facts); err != nil {
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

// Execute submits a call and waits for its final answer. When ctx ends, the client counts as disconnected and the answer comes at
// once. The error is that of Submit.
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
