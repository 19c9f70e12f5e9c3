package server_test

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"embershunt/policy"
	"embershunt/simulated"
	"embershunt/trace"
)

// The decisions recorded under load, with a node that fails half of its queries, are reproduced by a replay with the same build.
func TestDecisionsAreRecordedAndReplayed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "decisions")
	r := newRig(t, 3, fmt.Sprintf(`, "log": {"decisions": %q}`, file))
	r.nodes[0].SetFaults(simulated.Faults{FailShare: 0.5})
	var group sync.WaitGroup
	for range 20 {
		group.Add(1)
		go func() {
			defer group.Done()
			for range 20 {
				_, _ = r.query(t.Context(), "SELECT 1 /* rows=2 work_ms=3 cost_ms=3 */") // may be rejected: only the recording is checked
			}
		}()
	}
	group.Wait()
	r.cancel()
	r.ended <- <-r.ended // waits; the cleanup receives the result again
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(f)
	src, err := trace.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	rep, err := trace.Replay(src, func(seed uint64, s policy.Settings) (trace.Module, error) { return policy.New(seed, s) })
	if err != nil || rep.Different != 0 || rep.Damage != nil || rep.Dropped != 0 || rep.Events < 800 || rep.Actions < 400 {
		t.Errorf("replay: %+v, %v", rep, err)
	}
	if rep.First != nil {
		t.Errorf("first difference: %+v", *rep.First)
	}
}
