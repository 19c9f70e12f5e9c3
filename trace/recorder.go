package trace

import (
	"encoding/json"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"embershunt/policy"
	"embershunt/trace/tracev1"
)

// waitMost bounds the steps that wait to be written.
const waitMost = 10000

// flushEvery is how long a block may wait for more.
const flushEvery = time.Second

// Recorder hands steps from the loop to a writer without holding the loop up: where the writer does not keep up, steps are
// dropped, counted, and the trace says so.
type Recorder struct {
	name, build string
	in          chan any
	drops       atomic.Uint64
}

// NewRecorder returns a recorder for one dispatcher; Run writes what it is given.
func NewRecorder(dispatcher, build string) *Recorder {
	return &Recorder{name: dispatcher, build: build, in: make(chan any, waitMost)}
}

type began struct {
	seed     uint64
	settings policy.Settings
	at       policy.Micros
	wall     time.Time
	learned  *policy.Learned
	fresh    bool
}

type stepped struct {
	at      policy.Micros
	events  []policy.Event
	actions []policy.Action
}

type changed struct {
	at               policy.Micros
	settings         policy.Settings
	classes, tenants []int
}

func (r *Recorder) put(v any) {
	select {
	case r.in <- v:
	default:
		r.drops.Add(1)
	}
}

// Started implements dispatch.Recorder.
func (r *Recorder) Started(now policy.Micros, seed uint64, s policy.Settings, l *policy.Learned, fresh bool) {
	r.put(began{seed, s, now, time.Now(), l, fresh})
}

// StepCompleted implements dispatch.Recorder; it keeps copies of the slices.
func (r *Recorder) StepCompleted(now policy.Micros, events []policy.Event, actions []policy.Action) {
	r.put(stepped{now, slices.Clone(events), slices.Clone(actions)})
}

// Changed implements dispatch.Recorder.
func (r *Recorder) Changed(now policy.Micros, s policy.Settings, classes, tenants []int) {
	r.put(changed{now, s, slices.Clone(classes), slices.Clone(tenants)})
}

// Drops counts the steps that were not written.
func (r *Recorder) Drops() uint64 { return r.drops.Load() }

// ErrFull tells that a trace has reached its bound: what comes after is not recorded.
var ErrFull = errors.New("trace: the file has reached its bound")

// Run writes until stop is closed and all that was handed over before is written, or the writer fails; ErrFull once so many
// bytes are written (0: no bound).
func (r *Recorder) Run(stop <-chan struct{}, w *Writer, most int64) error {
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	var last policy.Micros
	told := uint64(0)
	write := func(v any) error {
		if n := r.drops.Load(); n > told { // before what comes after them
			if err := w.Write(&tracev1.Record{What: &tracev1.Record_Dropped{Dropped: &tracev1.Dropped{Steps: n - told}}}); err != nil {
				return err
			}
			told = n
		}
		rec, err := r.record(v, &last)
		if err != nil {
			return err
		}
		if err = w.Write(rec); err == nil && most > 0 && w.Bytes() >= most {
			err = ErrFull
		}
		return err
	}
	for {
		select {
		case v := <-r.in:
			if err := write(v); err != nil {
				return err
			}
		case <-t.C:
			if err := w.Flush(); err != nil {
				return err
			}
		case <-stop:
			for {
				select {
				case v := <-r.in:
					if err := write(v); err != nil {
						return err
					}
				default:
					return w.Flush()
				}
			}
		}
	}
}

// record is what stands in the file; times are told from the record before.
func (r *Recorder) record(v any, last *policy.Micros) (*tracev1.Record, error) {
	since := func(at policy.Micros) int64 {
		d := at - *last
		*last = at
		return d
	}
	switch v := v.(type) {
	case began:
		b, err := json.Marshal(v.settings)
		*last = v.at
		out := &tracev1.Begin{Seed: v.seed, Settings: b, Build: r.build, Dispatcher: r.name, UnixUs: v.wall.UnixMicro(), AtUs: v.at, Fresh: v.fresh}
		if err == nil && v.learned != nil {
			out.Learned, err = json.Marshal(v.learned)
		}
		return &tracev1.Record{What: &tracev1.Record_Begin{Begin: out}}, err
	case changed:
		b, err := json.Marshal(v.settings)
		out := &tracev1.Change{AtUs: since(v.at), Settings: b}
		for _, n := range v.classes {
			out.Classes = append(out.Classes, int32(n))
		}
		for _, n := range v.tenants {
			out.Tenants = append(out.Tenants, int32(n))
		}
		return &tracev1.Record{What: &tracev1.Record_Change{Change: out}}, err
	}
	s := v.(stepped)
	out := &tracev1.Step{AtUs: since(s.at)}
	for _, ev := range s.events {
		out.Events = append(out.Events, eventOut(ev))
	}
	for _, a := range s.actions {
		out.Actions = append(out.Actions, actionOut(a))
	}
	return &tracev1.Record{What: &tracev1.Record_Step{Step: out}}, nil
}
