package control

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// model is a simple model of the module, which checks each action against it.
type model struct {
	*rapid.T
	module                    *Module
	active, storing, applying uint64         // set numbers; 0: none
	replies                   map[string]int // by nonce
	responses                 int            // sent so far, which makes their nonces
}

// step plays an event and checks the actions.
func (m *model) step(ev Event) {
	for _, a := range m.module.Step(0, ev) {
		switch a := a.(type) {
		case Store:
			m.store(a.Set)
		case Apply:
			if a.Set.Number != m.storing {
				m.Fatalf("set %d is applied, stored was %d", a.Set.Number, m.storing)
			}
			m.applying, m.storing = m.storing, 0
		case Ack:
			m.replies[a.Nonce]++
		case Nack:
			m.replies[a.Nonce]++
			if len(a.Reasons) == 0 {
				m.Fatal("rejected without a reason")
			}
		}
	}
	for nonce, n := range m.replies {
		if n > 1 {
			m.Fatalf("nonce %s has %d replies", nonce, n)
		}
	}
}

func (m *model) store(s Set) {
	if m.storing != 0 || m.applying != 0 {
		m.Fatalf("set %d is stored during another update", s.Number)
	}
	if s.Number <= m.active {
		m.Fatalf("set %d after %d", s.Number, m.active)
	}
	if s.Classes.Classes[0].DeadlineUs == 0 {
		m.Fatal("an invalid set is stored")
	}
	m.storing = s.Number
}

// offer plays one resource of a set.
func (m *model) offer(s Set, k Kind) {
	m.responses++
	m.step(Offered{Kind: k, Version: fmt.Sprint(s.Number), Nonce: fmt.Sprint(m.responses), Message: s.Resources()[k]})
}

// completeStore and completeApply end what is under way, if anything is, with or without an error.
func (m *model) completeStore(fails bool) {
	if m.storing == 0 {
		return
	}
	n := m.storing
	var err error
	if fails {
		err, m.storing = errors.New("disk"), 0
	}
	m.step(Stored{n, err})
}

func (m *model) completeApply(fails bool) {
	if m.applying == 0 {
		return
	}
	n := m.applying
	var err error
	if fails {
		err = errors.New("no")
	}
	if m.applying = 0; err == nil {
		m.active = n
	}
	m.step(Applied{n, err})
}

// Against a simple model, for any order of events: the active set is always one that was valid, stored and then
// applied; numbers go up unless an operator says otherwise; every response gets at most one reply.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{T: r, module: New(DefaultBounds(), local(), Set{}), replies: map[string]int{}}
		for range rapid.IntRange(1, 40).Draw(r, "events") {
			switch rapid.IntRange(0, 5).Draw(r, "event") {
			case 0, 1: // a complete set, valid or not, newer or not
				n := uint64(rapid.IntRange(1, 12).Draw(r, "number"))
				invalid := rapid.Bool().Draw(r, "invalid")
				s := version(n, func(s *Set) {
					if invalid {
						s.Classes.Classes[0].DeadlineUs = 0
					}
				})
				for k := range s.Resources() {
					m.offer(s, Kind(k))
				}
			case 2: // a single resource
				n := uint64(rapid.IntRange(1, 12).Draw(r, "number"))
				m.offer(version(n, nil), Kind(rapid.IntRange(0, 4).Draw(r, "kind")))
			case 3:
				m.completeStore(rapid.Bool().Draw(r, "fails"))
			case 4:
				m.completeApply(rapid.Bool().Draw(r, "fails"))
			case 5:
				m.step(StreamLost{})
			}
			if m.module.active.Number != m.active {
				r.Fatalf("active is %d, the model has %d", m.module.active.Number, m.active)
			}
		}
	})
}
