package trace

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"embershunt/policy"
	"embershunt/trace/tracev1"
)

func settings() policy.Settings {
	return policy.Settings{Peers: 2, MaxAttempts: 3, CanCancel: true, ReportsByAnswer: true, HonorsGrants: true, HonorsPriority: true,
		MaxGrantShare: 0.5, SlowStartFloor: 0.3, SlowStartDuration: 1e7, OverloadMultiple: 2, OverloadDuration: 2e6, DrainGrace: 1e6,
		Kinds: []policy.Kind{{Cores: 8, MemoryMB: 16000}},
		Classes: []policy.Class{
			{Name: "a", PriorityWeight: 1, LatencyObjective: 1e6, Deadline: 4e6, Threads: 1},
			{Name: "b", PriorityWeight: 10, LateWeight: 0.4, LatencyObjective: 3e6, Deadline: 15e6, Threads: 4}}}
}

// recordRandomSteps steps a module with random events, recorded by r. The settings change halfway.
func recordRandomSteps(t testing.TB, r *Recorder, steps int, seed uint64) {
	s := settings()
	g, err := policy.New(seed, s)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	now := policy.Micros(1e8)
	r.Started(now, seed, s, nil, false)
	step := func(events ...policy.Event) []policy.Action {
		acts := g.Step(now, events)
		r.StepCompleted(now, events, acts)
		return acts
	}
	rows := []policy.Endpoint{{ID: "e0"}, {ID: "e1"}, {ID: "e2", Started: 9e7}}
	step(policy.EndpointUpdate{Complete: true, Endpoints: rows})
	attempts := map[string]int{}
	for i := range steps {
		now += int64(rng.IntN(20000))
		if i == steps/2 {
			s.MaxAttempts = 2
			if err := g.Change(s, []int{0, 1}, nil); err != nil {
				t.Fatal(err)
			}
			r.SettingsChanged(now, s, []int{0, 1}, nil)
		}
		acts := step(policy.Request{ID: fmt.Sprint("q", i), Class: i % 2, Cost: 50000, MemoryMB: 10, Deadline: now + 4e6},
			policy.TimerFired{})
		for len(acts) > 0 {
			var events []policy.Event
			for _, a := range acts {
				if a, ok := a.(policy.Send); ok {
					events = append(events, policy.AttemptResult{ID: a.ID, Attempt: attempts[a.ID], Endpoint: a.Endpoint,
						Code: policy.Code(rng.IntN(3) / 2), Final: true, Latency: int64(rng.IntN(90000)),
						Load: &policy.Load{Utilization: rng.Float64(), InFlight: 1, Queue: -1, Memory: -1, Disk: -1}})
					attempts[a.ID]++
				}
			}
			if acts = nil; len(events) > 0 {
				now += 1000
				acts = step(events...)
			}
		}
	}
}

// recording returns the bytes of a trace of recordRandomSteps.
func recording(t testing.TB, steps int, seed uint64) []byte {
	r := NewRecorder("d", "test")
	r.entries = make(chan entry, 10*steps+10)
	recordRandomSteps(t, r, steps, seed)
	return writeAll(t, r)
}

// writeAll returns the trace of all entries that a recorder has queued.
func writeAll(t testing.TB, r *Recorder) []byte {
	var b bytes.Buffer
	w, err := NewWriter(&b)
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	close(stop)
	if err := r.Run(stop, w, 0); err != nil {
		t.Fatal(err)
	}
	if int64(b.Len()) != w.Bytes() {
		t.Errorf("the trace has %d bytes, Bytes returned %d", b.Len(), w.Bytes())
	}
	return b.Bytes()
}

// replayFile replays a trace, with the settings modified by change unless it is nil.
func replayFile(t testing.TB, file []byte, change func(*policy.Settings)) *Report {
	src, err := NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	rep, err := Replay(src, func(seed uint64, s policy.Settings) (Module, error) {
		if change != nil {
			change(&s)
		}
		return policy.New(seed, s)
	})
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

// A replay by the same build gives the same actions, also after a change of the settings. A replay with other settings
// reports the differences.
func TestReplay(t *testing.T) {
	file := recording(t, 2000, 5)
	rep := replayFile(t, file, nil)
	if rep.Starts != 1 || rep.Steps < 2000 || rep.Actions == 0 || rep.Different != 0 || rep.First != nil || rep.Damage != nil {
		t.Errorf("%+v", rep)
	}
	t.Logf("%d steps, %d events, %d actions in %d bytes", rep.Steps, rep.Events, rep.Actions, len(file))
	rep = replayFile(t, file, func(s *policy.Settings) { s.HonorsGrants, s.HonorsPriority = false, false })
	if rep.First == nil || rep.Different == 0 || rep.ByKind["-Terms"] == 0 {
		t.Errorf("without grants and priorities: %+v", rep)
	}
}

// A truncated file is read up to its last complete block. A changed byte and a file that is not a trace are errors.
func TestDamagedTraces(t *testing.T) {
	file := recording(t, 6000, 6)
	complete := replayFile(t, file, nil)
	if _, err := NewReader(bytes.NewReader([]byte("PARQUET1...."))); err == nil {
		t.Error("accepted a file that is not a trace")
	}
	for _, at := range []int{len(Magic) + 3, len(file) / 2, len(file) - 1} {
		rep := replayFile(t, file[:at], nil)
		var d *DamageError
		if !errors.As(rep.Damage, &d) || rep.Different != 0 || rep.Steps > complete.Steps {
			t.Errorf("truncated at %d: %+v", at, rep)
		}
		damaged := bytes.Clone(file)
		damaged[at] ^= 0x10
		if rep = replayFile(t, damaged, nil); !errors.As(rep.Damage, &d) || rep.Different != 0 {
			t.Errorf("damaged at %d: %+v", at, rep)
		}
	}
}

// A writer that is too slow makes the recorder drop steps, which the trace must record: after a gap the state of the module
// is unknown, so the replay must not compare anything.
func TestDropsAreMarked(t *testing.T) {
	r := NewRecorder("d", "test")
	r.entries = make(chan entry, 100)
	recordRandomSteps(t, r, 500, 7)
	if r.Drops() == 0 {
		t.Fatal("nothing was dropped")
	}
	if rep := replayFile(t, writeAll(t, r), nil); rep.Dropped != r.Drops() || rep.Different != 0 || rep.Steps+rep.Skipped == 0 {
		t.Errorf("%+v, the recorder dropped %d", rep, r.Drops())
	}
}

func FuzzReader(f *testing.F) {
	f.Add(recording(f, 3, 1))
	f.Fuzz(func(t *testing.T, b []byte) {
		src, err := NewReader(bytes.NewReader(b))
		if err != nil {
			return
		}
		for {
			r, err := src.Next()
			if err != nil {
				var d *DamageError
				if !errors.Is(err, io.EOF) && !errors.As(err, &d) {
					t.Fatal(err)
				}
				return
			}
			if s, ok := r.GetWhat().(*tracev1.Record_Step); ok {
				for _, ev := range s.Step.GetEvents() {
					decodeEvent(ev)
				}
			}
		}
	})
}
