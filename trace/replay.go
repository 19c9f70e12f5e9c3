package trace

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"embershunt/policy"
	"embershunt/trace/tracev1"
)

// Module is what is replayed: *policy.Gateway is one.
type Module interface {
	Step(now policy.Micros, events []policy.Event) []policy.Action
	Change(s policy.Settings, classes, tenants []int) error
}

// restorer is a Module that can take in what was learned before its first step.
type restorer interface {
	Restore(l policy.Learned, fresh bool) error
}

var (
	_ Module   = (*policy.Gateway)(nil)
	_ restorer = (*policy.Gateway)(nil)
)

// Source gives records until io.EOF; *Reader is one.
type Source interface {
	Next() (*tracev1.Record, error)
}

// Difference is a step that was decided differently.
type Difference struct {
	Step     int
	At       policy.Micros
	Was, Now string // the first action that differs; "" where there is none
}

// Report is what came of a replay.
type Report struct {
	Begins, Steps, Events, Actions int
	Differ                         int            // steps
	First                          *Difference    // nil: none
	ByKind                         map[string]int // actions that were made before and are not now, and the other way round
	Dropped                        uint64         // steps that the recorder did not write
	Skipped                        int            // steps after a drop, which nothing can be said of
	Damage                         error          // where the file could not be read any further; nil: it was read to its end
}

// Replay feeds what a module was told to another one and compares what it decides. Its error is the module's that make
// returned, or a Change that it would not take.
func Replay(src Source, make func(seed uint64, s policy.Settings) (Module, error)) (*Report, error) {
	rep := &Report{ByKind: map[string]int{}}
	var m Module
	var now policy.Micros
	for {
		r, err := src.Next()
		if errors.Is(err, io.EOF) {
			return rep, nil
		}
		if err != nil {
			rep.Damage = err
			return rep, nil
		}
		switch w := r.GetWhat().(type) {
		case *tracev1.Record_Begin:
			var s policy.Settings
			if err := json.Unmarshal(w.Begin.GetSettings(), &s); err != nil {
				return rep, fmt.Errorf("settings of a begin: %w", err)
			}
			if m, err = make(w.Begin.GetSeed(), s); err != nil {
				return rep, err
			}
			if text := w.Begin.GetLearned(); len(text) > 0 {
				var l policy.Learned
				if err := json.Unmarshal(text, &l); err != nil {
					return rep, fmt.Errorf("what a begin had learned: %w", err)
				}
				if r, ok := m.(restorer); ok {
					if err := r.Restore(l, w.Begin.GetFresh()); err != nil {
						return rep, err
					}
				}
			}
			rep.Begins++
			now = w.Begin.GetAtUs()
		case *tracev1.Record_Dropped:
			rep.Dropped += w.Dropped.GetSteps()
			m = nil
		case *tracev1.Record_Change:
			now += w.Change.GetAtUs()
			if m == nil {
				continue
			}
			var s policy.Settings
			if err := json.Unmarshal(w.Change.GetSettings(), &s); err != nil {
				return rep, fmt.Errorf("settings of a change: %w", err)
			}
			if err := m.Change(s, ints(w.Change.GetClasses()), ints(w.Change.GetTenants())); err != nil {
				return rep, err
			}
		case *tracev1.Record_Step:
			now += w.Step.GetAtUs()
			if m == nil {
				rep.Skipped++
				continue
			}
			rep.step(m, now, w.Step)
		}
	}
}

func ints(in []int32) []int {
	out := make([]int, len(in))
	for i, v := range in {
		out[i] = int(v)
	}
	return out
}

func (rep *Report) step(m Module, now policy.Micros, s *tracev1.Step) {
	var events []policy.Event
	for _, ev := range s.GetEvents() {
		if e := eventIn(ev); e != nil {
			events = append(events, e)
		}
	}
	rep.Steps++
	rep.Events += len(events)
	var is []*tracev1.Action
	for _, a := range m.Step(now, events) {
		is = append(is, actionOut(a))
	}
	was := s.GetActions()
	rep.Actions += len(was)
	same := len(was) == len(is)
	for i := 0; i < max(len(was), len(is)); i++ {
		var a, b *tracev1.Action
		if i < len(was) {
			a = was[i]
		}
		if i < len(is) {
			b = is[i]
		}
		if a != nil && b != nil && proto.Equal(a, b) {
			continue
		}
		same = false
		if rep.First == nil {
			rep.First = &Difference{Step: rep.Steps, At: now, Was: text(a), Now: text(b)}
		}
		for sign, x := range map[string]*tracev1.Action{"-": a, "+": b} {
			if x != nil {
				rep.ByKind[sign+kind(x)]++
			}
		}
	}
	if !same {
		rep.Differ++
	}
}

func kind(a *tracev1.Action) string {
	return fmt.Sprintf("%T", a.GetWhat())[len("*tracev1.Action_"):]
}

func text(a *tracev1.Action) string {
	if a == nil {
		return ""
	}
	return a.String()
}
