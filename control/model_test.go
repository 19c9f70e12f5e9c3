package control

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// model is a simple model of Module: it holds the expected state and checks the actions of each step against it.
type model struct {
	*rapid.T
	module                    *Module
	active, storing, applying uint64         // set numbers; 0: none
	replies                   map[string]int // by nonce
	responses                 int            // number of responses sent so far; the nonce of each is its number
}

// step passes an event to the module and checks the actions that it returns.
func (m *model) step(ev Event) {
	for _, a := range m.module.Step(0, ev) {
		switch a := a.(type) {
		case Store:
			m.store(a.Set)
		case Apply:
			if a.Set.Number != m.storing {
				m.Fatalf("set %d is applied, the set stored is %d", a.Set.Number, m.storing)
			}
			m.applying, m.storing = m.storing, 0
		case Ack:
			m.replies[a.Nonce]++
		case Nack:
			m.replies[a.Nonce]++
			if len(a.Reasons) == 0 {
				m.Fatal("a response is rejected without a reason")
			}
		}
	}
	for nonce, n := range m.replies {
		if n > 1 {
			m.Fatalf("nonce %s has %d replies", nonce, n)
		}
	}
}

// store checks a Store action and records the set as being stored.
func (m *model) store(s Set) {
	if m.storing != 0 || m.applying != 0 {
		m.Fatalf("set %d is stored during another update", s.Number)
	}
	if s.Number <= m.active {
		m.Fatalf("set %d is stored while %d is active", s.Number, m.active)
	}
	if s.Classes.Classes[0].DeadlineUs == 0 {
		m.Fatal("an invalid set is stored")
	}
	m.storing = s.Number
}

// offer passes one resource of a set to the module.
func (m *model) offer(s Set, k Kind) {
	m.responses++
	m.step(Offered{Kind: k, Version: fmt.Sprint(s.Number), Nonce: fmt.Sprint(m.responses), Message: s.Resources()[k]})
}

// completeStore completes the Store action in progress, if any, with or without an error.
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

// completeApply completes the Apply action in progress, if any, with or without an error.
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

// Checks three rules against a simple model, for any order of offers, completions and lost streams: the active set was
// valid, stored and then applied; its number only grows, as there is no override here; a response gets at most one reply.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{T: r, module: New(DefaultBounds(), testFile(), Set{}), replies: map[string]int{}}
		for range rapid.IntRange(1, 40).Draw(r, "events") {
			switch rapid.IntRange(0, 5).Draw(r, "event") {
			case 0, 1: // a complete set, valid or not, newer or not
				n := uint64(rapid.IntRange(1, 12).Draw(r, "number"))
				invalid := rapid.Bool().Draw(r, "invalid")
				s := testSet(n, func(s *Set) {
					if invalid {
						s.Classes.Classes[0].DeadlineUs = 0
					}
				})
				for k := range s.Resources() {
					m.offer(s, Kind(k))
				}
			case 2: // a single resource
				n := uint64(rapid.IntRange(1, 12).Draw(r, "number"))
				m.offer(testSet(n, nil), Kind(rapid.IntRange(0, 4).Draw(r, "kind")))
			case 3:
				m.completeStore(rapid.Bool().Draw(r, "fails"))
			case 4:
				m.completeApply(rapid.Bool().Draw(r, "fails"))
			case 5:
				m.step(StreamLost{})
			}
			if m.module.active.Number != m.active {
				r.Fatalf("set %d is active, the model has set %d", m.module.active.Number, m.active)
			}
		}
	})
}
