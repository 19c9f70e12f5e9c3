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

// maxQueuedEntries is the maximum number of entries that wait to be written.
const maxQueuedEntries = 10000

// flushInterval is the interval at which an incomplete block is written.
const flushInterval = time.Second

// Recorder queues the steps of a dispatcher's event loop for a writer and never blocks the loop: while the queue is full,
// steps are dropped and counted, and the trace gets a record of how many.
type Recorder struct {
	dispatcher, build string
	entries           chan entry
	drops             atomic.Uint64
}

// NewRecorder returns a recorder for a dispatcher. build is the version of the program. Run writes the queued entries.
func NewRecorder(dispatcher, build string) *Recorder {
	return &Recorder{dispatcher: dispatcher, build: build, entries: make(chan entry, maxQueuedEntries)}
}

// entry is one call of the recorder, to be encoded by the writer.
type entry interface {
	encode(e *entryWriter) (*tracev1.Record, error)
}

// startEntry is the start of a module.
type startEntry struct {
	seed     uint64
	settings policy.Settings
	at       policy.Micros
	wallTime time.Time
	learned  *policy.Learned
	fresh    bool // learned prices, waits and states of endpoints still hold; see policy.Gateway.Restore
}

// stepEntry is one step of the module.
type stepEntry struct {
	at      policy.Micros
	events  []policy.Event
	actions []policy.Action
}

// changeEntry is a change of the module's settings. classes and tenants map the new indexes to the old ones, -1 for new
// classes and tenants.
type changeEntry struct {
	at               policy.Micros
	settings         policy.Settings
	classes, tenants []int
}

// enqueue queues an entry, or drops it if the queue is full.
func (r *Recorder) enqueue(e entry) {
	select {
	case r.entries <- e:
	default:
		r.drops.Add(1)
	}
}

// Started implements dispatch.Recorder. l may be nil.
func (r *Recorder) Started(now policy.Micros, seed uint64, s policy.Settings, l *policy.Learned, fresh bool) {
	r.enqueue(startEntry{seed, s, now, time.Now(), l, fresh})
}

// StepCompleted implements dispatch.Recorder. It copies the slices, which the caller may reuse.
func (r *Recorder) StepCompleted(now policy.Micros, events []policy.Event, actions []policy.Action) {
	r.enqueue(stepEntry{now, slices.Clone(events), slices.Clone(actions)})
}

// SettingsChanged implements dispatch.Recorder. It copies the slices.
func (r *Recorder) SettingsChanged(now policy.Micros, s policy.Settings, classes, tenants []int) {
	r.enqueue(changeEntry{now, s, slices.Clone(classes), slices.Clone(tenants)})
}

// Drops returns the number of entries dropped so far. It is safe for concurrent use.
func (r *Recorder) Drops() uint64 { return r.drops.Load() }

// ErrFull is returned by Run when the trace has reached its maximum size. Nothing more is recorded then.
var ErrFull = errors.New("trace: the file has reached its maximum size")

// Run writes entries until the writer fails, or stop is closed and the queue is empty. It returns ErrFull once maxBytes are
// written; with 0 the size has no limit.
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

// entryWriter encodes and writes the entries of one file.
type entryWriter struct {
	recorder     *Recorder
	w            *Writer
	maxBytes     int64         // 0: no limit
	lastAt       policy.Micros // time of the last record, to which the next is relative
	writtenDrops uint64        // drops recorded in the file so far
}

// write writes an entry, preceded by the number of entries dropped since the last write. The dropped entries may have been
// newer than the entry: they were dropped while it was queued.
func (e *entryWriter) write(entry entry) error {
	if n := e.recorder.drops.Load(); n > e.writtenDrops {
		dropped := &tracev1.Dropped{Steps: n - e.writtenDrops}
		if err := e.w.Write(&tracev1.Record{What: &tracev1.Record_Dropped{Dropped: dropped}}); err != nil {
			return err
		}
		e.writtenDrops = n
	}
	record, err := entry.encode(e)
	if err != nil {
		return err
	}
	if err = e.w.Write(record); err == nil && e.maxBytes > 0 && e.w.Bytes() >= e.maxBytes {
		err = ErrFull
	}
	return err
}

// drain writes the queued entries and the last block.
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

// sinceLast returns the time since the last record, and makes at the time of the last record.
func (e *entryWriter) sinceLast(at policy.Micros) policy.Micros {
	d := at - e.lastAt
	e.lastAt = at
	return d
}

func (s startEntry) encode(e *entryWriter) (*tracev1.Record, error) {
	settings, err := json.Marshal(s.settings)
	e.lastAt = s.at
	out := &tracev1.Begin{Seed: s.seed, Settings: settings, Build: e.recorder.build, Dispatcher: e.recorder.dispatcher,
		UnixUs: s.wallTime.UnixMicro(), AtUs: s.at, Fresh: s.fresh}
	if err == nil && s.learned != nil {
		out.Learned, err = json.Marshal(s.learned)
	}
	return &tracev1.Record{What: &tracev1.Record_Begin{Begin: out}}, err
}

func (c changeEntry) encode(e *entryWriter) (*tracev1.Record, error) {
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

func (s stepEntry) encode(e *entryWriter) (*tracev1.Record, error) {
	out := &tracev1.Step{AtUs: e.sinceLast(s.at)}
	for _, ev := range s.events {
		out.Events = append(out.Events, encodeEvent(ev))
	}
	for _, a := range s.actions {
		out.Actions = append(out.Actions, encodeAction(a))
	}
	return &tracev1.Record{What: &tracev1.Record_Step{Step: out}}, nil
}
