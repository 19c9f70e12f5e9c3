package server_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"embershunt/policy"
	"embershunt/simulated"
	"embershunt/trace"
)

// restart stops the dispatcher, waits for its end and starts another one at the same address.
func (r *rig) restart() {
	r.t.Helper()
	address := r.d.Address()
	r.cancel()
	r.ended <- <-r.ended // waits; start receives the result again
	r.start(address)
}

// A restarted dispatcher restores the learned state that the previous one wrote, and its recording can still be replayed. A damaged
// learned state file is ignored: the dispatcher starts without it.
func TestWarmStart(t *testing.T) {
	dir := t.TempDir()
	learnedFile, decisions := filepath.Join(dir, "learned"), filepath.Join(dir, "decisions")
	r := newRig(t, 2, fmt.Sprintf(`, "log": {"learned": %q, "learned_every": "20ms", "decisions": %q}`, learnedFile, decisions))
	for i := range 60 {
		if _, err := r.query(t.Context(), fmt.Sprintf("SELECT %d /* work_ms=5 cost_ms=10 */", i)); err != nil {
			t.Fatal(err)
		}
	}
	written := func() bool {
		text, _ := os.ReadFile(learnedFile)
		return strings.Contains(string(text), `"Name":"lookup"`) && !strings.Contains(string(text), `"Name":"lookup","Mean":{"V":0,"N":0}`)
	}
	for begin := time.Now(); !written() && time.Since(begin) < 5*time.Second; {
		<-time.After(5 * time.Millisecond) // the dispatcher writes the file on its own timer
	}
	if !written() {
		t.Fatal("no learned state of class lookup was written within 5 s")
	}
	r.restart()
	for range 20 {
		if _, err := r.query(t.Context(), "SELECT 1 /* work_ms=5 cost_ms=10 */"); err != nil {
			t.Fatal(err)
		}
	}
	r.restart() // completes the recording of the second run and renames it to .old
	f, err := os.Open(decisions + ".old")
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(f)
	src, err := trace.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	restored := false
	rep, err := trace.Replay(src, func(seed uint64, s policy.Settings) (trace.Module, error) {
		g, err := policy.New(seed, s)
		return &restoreRecorder{g, &restored}, err
	})
	if err != nil || rep.Different != 0 || rep.Damage != nil || !restored {
		t.Errorf("replay: %+v, %v; state restored: %v", rep, err, restored)
	}
	if err := os.WriteFile(learnedFile, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	r.restart()
	if _, err := r.query(t.Context(), "SELECT 1"); err != nil {
		t.Error(err)
	}
}

// restoreRecorder sets *done if a replay restores learned state, fresh and with an estimate of the first class.
type restoreRecorder struct {
	*policy.Gateway
	done *bool
}

// Restore implements the optional interface of modules that a replay restores learned state with.
func (g *restoreRecorder) Restore(l policy.Learned, fresh bool) error {
	*g.done = len(l.Classes) > 0 && l.Classes[0].Fit[0] > 0 && fresh
	return g.Gateway.Restore(l, fresh)
}

// BenchmarkWarmStart compares the first two seconds after a restart with learned state (warm) and without it (cold), in turn. It
// reports the share of queries answered within 300 ms at a load of 90% of the nodes' capacity, where one node of three runs at a
// quarter of its speed and the cost hints of queries are five times too low.
func BenchmarkWarmStart(b *testing.B) {
	counts := map[string][2]int{}
	for b.Loop() {
		for _, kind := range []string{"cold", "warm"} {
			more := ""
			if kind == "warm" {
				more = fmt.Sprintf(`, "log": {"learned": %q, "learned_every": "50ms"}`, filepath.Join(b.TempDir(), "learned"))
			}
			r := newRig(b, 3, more)
			r.nodes[0].SetFaults(simulated.Faults{SlowFactor: 4})
			load := func(length time.Duration) (inTime, all int) {
				var mu sync.Mutex
				var group sync.WaitGroup
				t := time.NewTicker(2 * time.Millisecond)
				defer t.Stop()
				for begin := time.Now(); time.Since(begin) < length; <-t.C {
					group.Add(1)
					go func() {
						defer group.Done()
						ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
						defer cancel()
						at := time.Now()
						_, err := r.query(ctx, "SELECT 1 /* work_ms=32 cost_ms=6 */")
						mu.Lock()
						defer mu.Unlock()
						if all++; err == nil && time.Since(at) < 300*time.Millisecond {
							inTime++
						}
					}()
				}
				group.Wait()
				return inTime, all
			}
			load(4 * time.Second)
			r.restart()
			g, a := load(2 * time.Second)
			s := counts[kind]
			counts[kind] = [2]int{s[0] + g, s[1] + a}
		}
	}
	for kind, s := range counts {
		b.ReportMetric(float64(s[0])/float64(s[1]), "in-time-"+kind)
	}
}
