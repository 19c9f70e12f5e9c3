package soak_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"embershunt/soak"
)

// Example of a longer run: go test ./soak -run TestSoak -soak.first=100 -soak.seeds=50 -timeout 60m
var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed of the runs")
	seeds     = flag.Int("soak.seeds", 3, "number of seeds to run")
	length    = flag.Duration("soak.length", 12*time.Second, "how long each run injects faults")
	processes = flag.Int("soak.processes", 24, "dispatchers of each run, each a separate process")
	logs      = flag.String("soak.logs", "", "directory that keeps the dispatchers' logs; a temporary one if empty")
)

// Guards against violations of an invariant under random, overlapping faults in a deployment of a few dozen processes. Each seed draws
// another plan.
func TestSoak(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			directory := *logs
			if directory == "" {
				directory = t.TempDir()
			}
			plan := soak.RandomPlan(soak.Options{Program: program, Directory: directory, Seed: seed, Dispatchers: *processes, Servers: 10, Clients: 4}, *length)
			record, err := soak.Run(t.Context(), plan)
			if err != nil {
				t.Fatal(err)
			}
			found := record.Check()
			counts := map[soak.Invariant]int{}
			for i, v := range found {
				if counts[v.Invariant]++; i < 20 {
					t.Error(v)
				}
			}
			if len(found) > 0 {
				t.Errorf("violations by invariant: %v", counts)
			}
			t.Logf("idle crowd %v, %d servers; %s", plan.IdleCrowd, plan.Servers, record.Summary())
		})
	}
}
