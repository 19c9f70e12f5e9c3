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

// maxQueuedEntries bounds the entries that wait to be written.
const maxQueuedEntries = 10000

// flushInterval is how long a block may wait for more records.
const flushInterval = time.Second

// Recorder passes steps from the loop to a writer without blocking the loop: where the writer is too slow, steps are
// dropped and counted, and the trace says so.
type Recorder struct {
	dispatcher, build string
	entries           chan entry
	drops             atomic.Uint64
}

// NewRecorder returns a recorder for one dispatcher; Run writes what it is given.
func NewRecorder(dispatcher, build string) *Recorder {
	return &Recorder{dispatcher: dispatcher, build: build, entries: make(chan entry, maxQueuedEntries)}
}

// entry is one call of the recorder, to be encoded by the writer.
type entry interface {
	record(e *entryWriter) (*tracev1.Record, error)
}

// start is the start of a module.
type start struct {
	seed     uint64
	settings policy.Settings
	at       policy.Micros
	wallTime time.Time
	learned  *policy.Learned
	fresh    bool // as in policy.Gateway.Restore
}

// step is one step of the module.
type step struct {
	at      policy.Micros
	events  []policy.Event
	actions []policy.Action
}

// settingsChange is a change of the module's settings, with the mappings of classes and tenants.
type settingsChange struct {
	at               policy.Micros
	settings         policy.Settings
	classes, tenants []int
}

func (r *Recorder) enqueue(e entry) {
	select {
	case r.entries <- e:
	default:
		r.drops.Add(1)
	}
}

// Started implements dispatch.Recorder.
func (r *Recorder) Started(now policy.Micros, seed uint64, s policy.Settings, l *policy.Learned, fresh bool) {
	r.enqueue(start{seed, s, now, time.Now(), l, fresh})
}

// StepCompleted implements dispatch.Recorder; it keeps copies of the slices.
func (r *Recorder) StepCompleted(now policy.Micros, events []policy.Event, actions []policy.Action) {
	r.enqueue(step{now, slices.Clone(events), slices.Clone(actions)})
}

// Changed implements dispatch.Recorder.
func (r *Recorder) Changed(now policy.Micros, s policy.Settings, classes, tenants []int) {
	r.enqueue(settingsChange{now, s, slices.Clone(classes), slices.Clone(tenants)})
}

// Drops is the number of entries that were not written; it is safe for concurrent use.
func (r *Recorder) Drops() uint64 { return r.drops.Load() }

// ErrFull is the error of a trace that has reached its maximum size: nothing more is recorded.
var ErrFull = errors.New("trace: the file has reached its bound")

// Run writes entries until stop is closed and all that were queued before are written, or the writer fails. The error is
// ErrFull once maxBytes are written; 0 is no limit.
func (r *Recorder) Run(stop <-chan struct{}, w *Writer, maxBytes int64) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	e := &entryWriter{recorder: r, w: w, maxBytes: maxBytes}
	for {
		select {
		case entry := <-r.entries:
			if err := e.write(entry); err != nil {
				return err
			}
		case <-ticker.C:
			if err := w.Flush(); err != nil {
				return err
			}
		case <-stop:
			return e.drain()
		}
	}
}

// entryWriter encodes the entries of one file.
type entryWriter struct {
	recorder     *Recorder
	w            *Writer
	maxBytes     int64         // 0: no limit
	lastAt       policy.Micros // time of the last record, to which the next is relative
	writtenDrops uint64
}

// write writes an entry, and before it the number of those dropped.
func (e *entryWriter) write(entry entry) error {
	if n := e.recorder.drops.Load(); n > e.writtenDrops {
		dropped := &tracev1.Dropped{Steps: n - e.writtenDrops}
		if err := e.w.Write(&tracev1.Record{What: &tracev1.Record_Dropped{Dropped: dropped}}); err != nil {
			return err
		}
		e.writtenDrops = n
	}
	record, err := entry.record(e)
	if err != nil {
		return err
	}
	if err = e.w.Write(record); err == nil && e.maxBytes > 0 && e.w.Bytes() >= e.maxBytes {
		err = ErrFull
	}
	return err
}

// drain writes the queued entries.
func (e *entryWriter) drain() error {
	for {
		select {
		case entry := <-e.recorder.entries:
			if err := e.write(entry); err != nil {
				return err
			}
		default:
			return e.w.Flush()
		}
	}
}

// sinceLast returns the time since the last record, and sets it.
func (e *entryWriter) sinceLast(at policy.Micros) policy.Micros {
	d := at - e.lastAt
	e.lastAt = at
	return d
}

func (s start) record(e *entryWriter) (*tracev1.Record, error) {
	settings, err := json.Marshal(s.settings)
	e.lastAt = s.at
	out := &tracev1.Begin{Seed: s.seed, Settings: settings, Build: e.recorder.build, Dispatcher: e.recorder.dispatcher,
		UnixUs: s.wallTime.UnixMicro(), AtUs: s.at, Fresh: s.fresh}
	if err == nil && s.learned != nil {
		out.Learned, err = json.Marshal(s.learned)
	}
	return &tracev1.Record{What: &tracev1.Record_Begin{Begin: out}}, err
}

func (c settingsChange) record(e *entryWriter) (*tracev1.Record, error) {
	settings, err := json.Marshal(c.settings)
	out := &tracev1.Change{AtUs: e.sinceLast(c.at), Settings: settings}
	for _, n := range c.classes {
		out.Classes = append(out.Classes, int32(n))
	}
	for _, n := range c.tenants {
		out.Tenants = append(out.Tenants, int32(n))
	}
	return &tracev1.Record{What: &tracev1.Record_Change{Change: out}}, err
}

func (s step) record(e *entryWriter) (*tracev1.Record, error) {
	out := &tracev1.Step{AtUs: e.sinceLast(s.at)}
	for _, ev := range s.events {
		out.Events = append(out.Events, encodeEvent(ev))
	}
	for _, a := range s.actions {
		out.Actions = append(out.Actions, encodeAction(a))
	}
	return &tracev1.Record{What: &tracev1.Record_Step{Step: out}}, nil
}
