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

// Module is a decision module that recordings can be replayed with, such as *policy.Gateway.
type Module interface {
	Step(now policy.Micros, events []policy.Event) []policy.Action
	Change(s policy.Settings, classes, tenants []int) error
}

// restorer is implemented by a Module that can restore learned state before its first step.
type restorer interface {
	Restore(l policy.Learned, fresh bool) error
}

var (
	_ Module   = (*policy.Gateway)(nil)
	_ restorer = (*policy.Gateway)(nil)
	_ Source   = (*Reader)(nil)
)

// Source returns records until io.EOF, as *Reader does.
type Source interface {
	Next() (*tracev1.Record, error)
}

// Difference describes a step in which the module decided differently than in the recording.
type Difference struct {
	Step     int // counted from 1, without skipped steps
	At       policy.Micros
	Was, Now string // the first action that differs, as recorded and as decided now; "" if there is none at its position
}

// Report is the result of a replay.
type Report struct {
	Starts, Steps, Events, Actions int
	Different                      int            // steps that differ
	First                          *Difference    // the first difference; nil: none
	ByKind                         map[string]int // differing actions by "-" (recorded) or "+" (decided now) and their kind
	Dropped                        uint64         // entries that the recorder dropped
	Skipped                        int            // steps after a drop, which cannot be compared
	Damage                         error          // why the file could not be read to its end; nil: it was
}

// Replay feeds the recorded events to modules that newModule makes, and compares their actions with the recorded ones. It
// returns an error if newModule fails, or if the module rejects the recorded settings or learned state. A damaged recording
// is not an error: the report covers what was read, with Damage set.
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
		if err := p.handleRecord(r); err != nil {
			return p.report, err
		}
	}
}

// replay is the state of a replay.
type replay struct {
	report    *Report
	newModule func(seed uint64, s policy.Settings) (Module, error)
	module    Module // nil before the first start, and after a drop until the next start
	now       policy.Micros
}

func (p *replay) handleRecord(r *tracev1.Record) error {
	switch w := r.GetWhat().(type) {
	case *tracev1.Record_Begin:
		return p.startModule(w.Begin)
	case *tracev1.Record_Dropped:
		p.report.Dropped += w.Dropped.GetSteps()
		p.module = nil
	case *tracev1.Record_Change:
		return p.changeSettings(w.Change)
	case *tracev1.Record_Step:
		p.step(w.Step)
	}
	return nil
}

func (p *replay) startModule(b *tracev1.Begin) error {
	var s policy.Settings
	if err := json.Unmarshal(b.GetSettings(), &s); err != nil {
		return fmt.Errorf("settings of start %d: %w", p.report.Starts+1, err)
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

// restore gives the module the learned state that it started with, if there was any.
func (p *replay) restore(text []byte, fresh bool) error {
	if len(text) == 0 {
		return nil
	}
	var l policy.Learned
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("learned state of start %d: %w", p.report.Starts+1, err)
	}
	if r, ok := p.module.(restorer); ok {
		return r.Restore(l, fresh)
	}
	return nil
}

func (p *replay) changeSettings(c *tracev1.Change) error {
	p.now += c.GetAtUs()
	if p.module == nil {
		return nil
	}
	var s policy.Settings
	if err := json.Unmarshal(c.GetSettings(), &s); err != nil {
		return fmt.Errorf("settings changed after step %d: %w", p.report.Steps, err)
	}
	return p.module.Change(s, toInts(c.GetClasses()), toInts(c.GetTenants()))
}

func toInts(in []int32) []int {
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

// compare compares the actions of a step, position by position.
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
			rep.First = &Difference{Step: rep.Steps, At: at, Was: actionText(was), Now: actionText(now)}
		}
		if was != nil {
			rep.ByKind["-"+actionKind(was)]++
		}
		if now != nil {
			rep.ByKind["+"+actionKind(now)]++
		}
	}
	if !same {
		rep.Different++
	}
}

// actionAt returns the action at index i, or nil beyond the end.
func actionAt(actions []*tracev1.Action, i int) *tracev1.Action {
	if i < len(actions) {
		return actions[i]
	}
	return nil
}

// actionKind returns the name of an action's type in the format, such as "Send".
func actionKind(a *tracev1.Action) string {
	return fmt.Sprintf("%T", a.GetWhat())[len("*tracev1.Action_"):]
}

func actionText(a *tracev1.Action) string {
	if a == nil {
		return ""
	}
	return a.String()
}
