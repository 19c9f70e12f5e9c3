package dispatch

import (
	"fmt"

	"embershunt/policy"
)

// numbering turns the numbers of classes and tenants of one version of the settings into those of the one in force. A
// query may have been classified by a version, or the one before, just as the next one came into force.
type numbering struct {
	version uint64
	of      map[uint64]names
	order   []uint64 // versions kept, the oldest first
}

type names struct{ classes, tenants []string }

// versionsKept bounds the versions that a query on its way may still name.
const versionsKept = 16

func namesOf(s policy.Settings) names {
	var n names
	for _, c := range s.Classes {
		n.classes = append(n.classes, c.Name)
	}
	for _, t := range s.Tenants {
		n.tenants = append(n.tenants, t.Name)
	}
	return n
}

func newNumbering(s policy.Settings) numbering {
	return numbering{of: map[uint64]names{0: namesOf(s)}, order: []uint64{0}}
}

func (n *numbering) add(version uint64, s policy.Settings) {
	n.version = version
	if _, ok := n.of[version]; !ok {
		n.order = append(n.order, version)
	}
	n.of[version] = namesOf(s)
	if len(n.order) > versionsKept {
		delete(n.of, n.order[0])
		n.order = n.order[1:]
	}
}

// renumber gives a query the numbers in force; false where its class is not there any more.
func (n *numbering) renumber(q *Query) bool {
	if q.Version == n.version {
		return true
	}
	old, ok := n.of[q.Version]
	now := n.of[n.version]
	if !ok || q.Class < 0 || q.Class >= len(old.classes) {
		return false
	}
	class := indexOf(now.classes, old.classes[q.Class])
	if class < 0 {
		return false
	}
	q.Class, q.Version = class, n.version
	if q.Tenant >= 0 && q.Tenant < len(old.tenants) { // one that left has no share any more
		q.Tenant = indexOf(now.tenants, old.tenants[q.Tenant])
	}
	return true
}

func indexOf(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}

// change puts new settings in force; on an error nothing has changed.
func (c *Core) change(at Micros, ch Change) error {
	if _, ok := c.numbers.of[ch.Version]; ok {
		return fmt.Errorf("dispatch: version %d was in force before: each change has a number of its own", ch.Version)
	}
	old, now := c.numbers.of[c.numbers.version], namesOf(ch.Settings)
	from := func(now, old []string) []int {
		out := make([]int, len(now))
		for i, name := range now {
			out[i] = indexOf(old, name)
		}
		return out
	}
	classes, tenants := from(now.classes, old.classes), from(now.tenants, old.tenants)
	if err := c.gateway.Change(ch.Settings, classes, tenants); err != nil {
		return err
	}
	if c.recorder != nil {
		c.recorder.Changed(at, ch.Settings, classes, tenants)
	}
	for _, e := range c.books.entries { // each by itself: the order does not matter
		if e.final == 0 {
			c.numbers.settle(e.q, now, old)
		}
	}
	c.numbers.add(ch.Version, ch.Settings)
	c.most, c.classes = ch.Settings.MaxInFlight, ch.Settings.Classes
	c.observe.Changed(ch.Version, ch.Settings)
	return nil
}

// settle renumbers a query that is on the books; its class is there, the module saw to it.
func (n *numbering) settle(q *Query, now, old names) {
	if q.Class >= 0 && q.Class < len(old.classes) {
		q.Class = indexOf(now.classes, old.classes[q.Class])
	}
	if q.Tenant >= 0 && q.Tenant < len(old.tenants) {
		q.Tenant = indexOf(now.tenants, old.tenants[q.Tenant])
	}
}

// InFlight counts the queries without a final answer by the name of their class, for those who judge a change.
func (c *Core) InFlight() map[string]int {
	out := map[string]int{}
	classes := c.numbers.of[c.numbers.version].classes
	for _, e := range c.books.due {
		if e.q.Class >= 0 && e.q.Class < len(classes) {
			out[classes[e.q.Class]]++
		}
	}
	return out
}

// Outstanding tells what of the rules' counts is out (policy.Gateway.Out).
func (c *Core) Outstanding() (further, taken int, resting bool) { return c.gateway.Outstanding() }

// Version is that of the settings in force.
func (c *Core) Version() uint64 { return c.numbers.version }
