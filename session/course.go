package session

import (
	"slices"
	"strings"
	"time"
)

// done takes the end of a statement in.
func (m *Module) done(ev StatementEnded) {
	e := m.all[ev.ID]
	if e == nil || e.running == nil || e.running.Serial != ev.Serial {
		return
	}
	ran := *e.running
	e.running, e.used = nil, m.now
	makes := ran.Kind == Begin || ran.Kind == CreateState
	if e.state == Ending { // it ended meanwhile; what it made all the same is released
		if makes && e.node == "" && ev.Node != "" && (ev.Outcome == OK || ev.Outcome == Unknown) {
			m.join(e, ev)
			e.tx = true
		}
		if ran.Kind == Commit && ev.Outcome == Unknown {
			e.why = ReasonCommitUnknown
		}
		m.wind(e)
		return
	}
	if ev.Outcome == StateMissing {
		m.end(e, Lost, ReasonStateMissing)
		return
	}
	if makes {
		m.made(e, ran, ev)
		return
	}
	said := ev.Outcome == OK || ev.Outcome == NodeError
	switch {
	case ran.Kind == Commit && ev.Outcome == Unknown:
		m.end(e, Lost, ReasonCommitUnknown)
		return
	case ev.Outcome == Unknown && !ran.ReadOnly && (e.tx || ran.Kind == DropState): // what it did to the state is not known
		m.end(e, Lost, ReasonStateUnknown)
		return
	case said && (ran.Kind == Commit || ran.Kind == Rollback): // a node that refuses a commit has rolled back
		e.tx = false
	case ran.Kind == DropState && ev.Outcome == OK:
		delete(e.tables, ran.Name)
	}
	m.settle(e)
}

// made takes in the end of a statement that makes state: where it ran is where the session stays.
func (m *Module) made(e *entry, ran StatementReceived, ev StatementEnded) {
	if ev.Outcome == Unknown && ev.Node != "" { // something may be there that nobody can name
		if e.node == "" {
			m.join(e, ev)
		}
		e.tx = true
		m.end(e, Lost, ReasonStateUnknown)
		return
	}
	if ev.Outcome != OK {
		m.settle(e)
		return
	}
	fresh := e.node == ""
	if fresh {
		m.join(e, ev)
	}
	if ran.Kind == Begin {
		e.tx = true
	} else {
		if e.tables == nil {
			e.tables = map[string]bool{}
		}
		e.tables[ran.Name] = true
	}
	n := m.nodes[e.node]
	switch l := m.limits; {
	case !n.listed:
		m.end(e, Lost, ReasonNodeRemoved)
		return
	case !n.started.Equal(e.started):
		m.end(e, Lost, ReasonNodeRestarted)
		return
	case fresh && l.PerNode > 0 && len(n.pins) > l.PerNode:
		e.back = m.comeBack()
		m.end(e, Lost, ReasonTooManySessions)
		return
	}
	e.state = Sticky
	if fresh {
		e.since = m.now
		m.do(Stick{ID: e.id, Node: e.node, Started: e.started, Since: e.since})
	}
	m.watch(e)
}

// join ties a session to the node where a statement made its state.
func (m *Module) join(e *entry, ev StatementEnded) {
	e.node, e.started = ev.Node, ev.Started
	m.attach(e)
}

// settle looks at what a session still holds.
func (m *Module) settle(e *entry) {
	if e.pinned() {
		e.state = Sticky
		m.watch(e)
		return
	}
	if e.node == "" { // nothing was ever made
		m.uncount(e)
		delete(m.all, e.id)
		return
	}
	m.do(Unstick{ID: e.id})
	if e.lasts {
		m.uncount(e)
		delete(m.all, e.id)
		return
	}
	e.final, e.why = Expired, ReasonTransactionDone
	m.bury(e)
}

// watch sees to it that a session's time-outs are looked at.
func (m *Module) watch(e *entry) {
	if at, ok := m.deadline(e); ok {
		m.look(e, at)
	}
}

// deadline is when a session ends by itself.
func (m *Module) deadline(e *entry) (at Micros, ok bool) {
	l := m.limits
	if l.Idle > 0 && e.running == nil {
		at, ok = e.used+l.Idle, true
	}
	if l.Age > 0 && (!ok || e.since+l.Age < at) {
		at, ok = e.since+l.Age, true
	}
	if n := m.nodes[e.node]; n != nil && n.told > 0 && (!ok || n.told+l.DrainGrace < at) {
		at, ok = n.told+l.DrainGrace, true
	}
	return at, ok
}

// tick looks at what is due.
func (m *Module) tick() {
	for {
		it, ok := m.due.take(m.now)
		if !ok {
			return
		}
		e := m.all[it.id]
		if e == nil || e.queued != it.at { // it ended, or is looked at another time
			continue
		}
		e.queued = 0
		switch e.state {
		case Lost, Expired:
			if m.now >= e.used+m.limits.Retention {
				delete(m.all, e.id)
			} else {
				m.look(e, e.used+m.limits.Retention)
			}
		case Ending:
			if e.running == nil && e.tries < releaseMost {
				m.wind(e)
			} else if e.running == nil {
				m.bury(e)
			}
		default:
			m.overdue(e)
		}
	}
}

// overdue ends a session whose time is over, or looks again when it may be. A statement that is out when its node drains
// may end: done looks again.
func (m *Module) overdue(e *entry) {
	at, ok := m.deadline(e)
	if !ok {
		return
	}
	if m.now < at {
		m.look(e, at)
		return
	}
	switch {
	case m.drained(e):
		if e.running == nil {
			m.end(e, Lost, ReasonNodeDrained)
		}
	case m.limits.Age > 0 && m.now >= e.since+m.limits.Age:
		m.end(e, Expired, ReasonTooOld)
	default:
		m.end(e, Expired, ReasonIdle)
	}
}

// drained tells that nothing new may reach its node any more.
func (m *Module) drained(e *entry) bool {
	n := m.nodes[e.node]
	return n != nil && n.told > 0 && m.now >= n.told+m.limits.DrainGrace
}

// listed takes a node list in.
func (m *Module) listed(ev Listed) {
	m.heard = true
	seen := map[string]bool{}
	for _, r := range ev.Nodes {
		seen[r.ID] = true
		n := m.nodes[r.ID]
		if n == nil {
			n = &node{}
			m.nodes[r.ID] = n
		}
		restarted := n.listed && !n.started.Equal(r.Started)
		n.listed, n.started, n.drainAt = true, r.Started, 0
		if r.DrainsIn > 0 {
			n.drainAt = m.now + r.DrainsIn
		}
		switch {
		case !r.Draining:
			n.told = 0
		case n.told == 0 || restarted:
			n.told = m.now
			for _, e := range n.pins {
				if !e.over() {
					m.watch(e)
				}
			}
		}
		m.foreign(r.ID, n)
	}
	gone := []string{}
	for id, n := range m.nodes {
		if !seen[id] && n.listed {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		n := m.nodes[id]
		n.listed = false
		m.loseAll(slices.Clone(n.pins), ReasonNodeRemoved)
		if len(n.pins) == 0 {
			delete(m.nodes, id)
		}
	}
}

// foreign ends the sessions of a node that are of an earlier life of it.
func (m *Module) foreign(id string, n *node) {
	var lost []*entry
	for _, e := range n.pins {
		if !e.started.Equal(n.started) {
			lost = append(lost, e)
		}
	}
	m.loseAll(lost, ReasonNodeRestarted)
}

// loseAll ends many sessions together, whose state is gone: their clients come back one after another.
func (m *Module) loseAll(list []*entry, why Reason) {
	slices.SortFunc(list, func(a, b *entry) int { return strings.Compare(a.id, b.id) })
	for i, e := range list {
		if e.state == Ending && e.running == nil { // nobody is there to release it
			m.bury(e)
			continue
		}
		e.back = m.limits.RetrySpread * Micros(i) / Micros(len(list))
		m.end(e, Lost, why)
	}
}

// closed ends a session by its client's word.
func (m *Module) closed(ev Closed) {
	if e := m.all[ev.ID]; e != nil {
		m.end(e, Expired, ReasonClosed)
	}
}

// resumed takes a session over that was pinned elsewhere, or before a restart.
func (m *Module) resumed(ev Resumed) {
	if m.all[ev.ID] != nil || !m.heard {
		return
	}
	e := m.add(ev.ID, ev.Tenant)
	e.node, e.started, e.since, e.tx = ev.Node, ev.Started, ev.Since, ev.Tx
	for _, t := range ev.Tables {
		if e.tables == nil {
			e.tables = map[string]bool{}
		}
		e.tables[t] = true
	}
	e.state = Sticky
	m.attach(e)
	n := m.nodes[e.node]
	switch {
	case !n.listed:
		m.end(e, Lost, ReasonNodeRemoved)
	case !n.started.Equal(e.started):
		m.end(e, Lost, ReasonNodeRestarted)
	default:
		m.watch(e)
	}
}

// queue is what is to be looked at, by time. An entry may be there more than once: what is early is put back.
type queue struct{ items []item }

type item struct {
	at Micros
	id string
}

func (q *queue) first() (Micros, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

func (q *queue) put(at Micros, id string) {
	q.items = append(q.items, item{at, id})
	for i := len(q.items) - 1; i > 0; {
		up := (i - 1) / 2
		if q.items[up].at <= q.items[i].at {
			return
		}
		q.items[up], q.items[i] = q.items[i], q.items[up]
		i = up
	}
}

// take returns the first that is due.
func (q *queue) take(now Micros) (item, bool) {
	if len(q.items) == 0 || q.items[0].at > now {
		return item{}, false
	}
	top := q.items[0]
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items = q.items[:last]
	for i := 0; ; {
		least := i
		for _, c := range []int{2*i + 1, 2*i + 2} {
			if c < last && q.items[c].at < q.items[least].at {
				least = c
			}
		}
		if least == i {
			return top, true
		}
		q.items[i], q.items[least] = q.items[least], q.items[i]
		i = least
	}
}

// Age is how long a session may have been begun ago at most, for the life of its token.
func (l Limits) TokenLife() time.Duration { return time.Duration(l.Age) * time.Microsecond }
