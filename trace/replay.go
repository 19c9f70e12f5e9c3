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

// Module is a decision module that can be replayed: *policy.Gateway is one.
type Module interface {
	Step(now policy.Micros, events []policy.Event) []policy.Action
	Change(s policy.Settings, classes, tenants []int) error
}

// restorer is a Module that can restore learned state before its first step.
type restorer interface {
	Restore(l policy.Learned, fresh bool) error
}

var (
	_ Module   = (*policy.Gateway)(nil)
	_ restorer = (*policy.Gateway)(nil)
	_ Source   = (*Reader)(nil)
)

// Source returns records until io.EOF; *Reader is one.
type Source interface {
	Next() (*tracev1.Record, error)
}

// Difference is a step that was decided differently.
type Difference struct {
	Step     int
	At       policy.Micros
	Was, Now string // the first action that differs; "" where there is none
}

// Report is the result of a replay.
type Report struct {
	Starts, Steps, Events, Actions int
	Different                      int            // steps that differ
	First                          *Difference    // nil: none
	ByKind                         map[string]int // actions that were recorded and are not decided now ("-" and the kind), and vice versa ("+")
	Dropped                        uint64         // entries that the recorder dropped
	Skipped                        int            // steps after a drop, which cannot be compared
	Damage                         error          // where the file is damaged; nil: it was read to its end
}

// Replay plays the recorded events to new modules and compares their actions with those recorded. The error is that of
// newModule, or of settings or learned state that the module does not accept.
func Replay(src Source, newModule func(seed uint64, s policy.Settings) (Module, error)) (*Report, error) {
	p := &replay{report: &Report{ByKind: map[string]int{}}, newModule: newModule}
	for {
		r, err := src.Next()
		if errors.Is(err, io.EOF) {
			return p.report, nil
		}
		if err != nil {
			p.report.Damage = err
			return p.report, nil
		}
		if err := p.play(r); err != nil {
			return p.report, err
		}
	}
}

// replay is the state of a replay.
type replay struct {
	report    *Report
	newModule func(seed uint64, s policy.Settings) (Module, error)
	module    Module // nil: before the first start, or after a drop
	now       policy.Micros
}

func (p *replay) play(r *tracev1.Record) error {
	switch w := r.GetWhat().(type) {
	case *tracev1.Record_Begin:
		return p.begin(w.Begin)
	case *tracev1.Record_Dropped:
		p.report.Dropped += w.Dropped.GetSteps()
		p.module = nil
	case *tracev1.Record_Change:
		return p.change(w.Change)
	case *tracev1.Record_Step:
		p.step(w.Step)
	}
	return nil
}

func (p *replay) begin(b *tracev1.Begin) error {
	var s policy.Settings
	if err := json.Unmarshal(b.GetSettings(), &s); err != nil {
		return fmt.Errorf("settings of a begin: %w", err)
	}
	var err error
	if p.module, err = p.newModule(b.GetSeed(), s); err != nil {
		return err
	}
	if err := p.restore(b.GetLearned(), b.GetFresh()); err != nil {
		return err
	}
	p.report.Starts++
	p.now = b.GetAtUs()
	return nil
}

// restore restores the learned state of a start, if there was any.
func (p *replay) restore(text []byte, fresh bool) error {
	if len(text) == 0 {
		return nil
	}
	var l policy.Learned
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("what a begin had learned: %w", err)
	}
	if r, ok := p.module.(restorer); ok {
		return r.Restore(l, fresh)
	}
	return nil
}

func (p *replay) change(c *tracev1.Change) error {
	p.now += c.GetAtUs()
	if p.module == nil {
		return nil
	}
	var s policy.Settings
	if err := json.Unmarshal(c.GetSettings(), &s); err != nil {
		return fmt.Errorf("settings of a change: %w", err)
	}
	return p.module.Change(s, ints(c.GetClasses()), ints(c.GetTenants()))
}

func ints(in []int32) []int {
	out := make([]int, len(in))
	for i, v := range in {
		out[i] = int(v)
	}
	return out
}

func (p *replay) step(s *tracev1.Step) {
	p.now += s.GetAtUs()
	if p.module == nil {
		p.report.Skipped++
		return
	}
	var events []policy.Event
	for _, ev := range s.GetEvents() {
		if e := decodeEvent(ev); e != nil {
			events = append(events, e)
		}
	}
	p.report.Steps++
	p.report.Events += len(events)
	var actions []*tracev1.Action
	for _, a := range p.module.Step(p.now, events) {
		actions = append(actions, encodeAction(a))
	}
	p.report.compare(p.now, s.GetActions(), actions)
}

// compare compares the actions of a step, by their order.
func (rep *Report) compare(at policy.Micros, recorded, decided []*tracev1.Action) {
	rep.Actions += len(recorded)
	same := true
	for i := range max(len(recorded), len(decided)) {
		was, now := actionAt(recorded, i), actionAt(decided, i)
		if was != nil && now != nil && proto.Equal(was, now) {
			continue
		}
		same = false
		if rep.First == nil {
			rep.First = &Difference{Step: rep.Steps, At: at, Was: text(was), Now: text(now)}
		}
		if was != nil {
			rep.ByKind["-"+kind(was)]++
		}
		if now != nil {
			rep.ByKind["+"+kind(now)]++
		}
	}
	if !same {
		rep.Different++
	}
}

// actionAt is nil beyond the end.
func actionAt(actions []*tracev1.Action, i int) *tracev1.Action {
	if i < len(actions) {
		return actions[i]
	}
	return nil
}

// kind is the name of an action's type in the format.
func kind(a *tracev1.Action) string {
	return fmt.Sprintf("%T", a.GetWhat())[len("*tracev1.Action_"):]
}

func text(a *tracev1.Action) string {
	if a == nil {
		return ""
	}
	return a.String()
}
