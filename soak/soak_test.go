package soak_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"embershunt/soak"
)

// By hand: go test ./soak -run TestSoak -soak.first=100 -soak.seeds=50 -timeout 60m
var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed of the runs")
	seeds     = flag.Int("soak.seeds", 3, "how many seeds are run")
	length    = flag.Duration("soak.length", 12*time.Second, "for how long each run injects faults")
	processes = flag.Int("soak.processes", 24, "dispatchers of each run, each a process of its own")
	logs      = flag.String("soak.logs", "", "folder that the logs of the dispatchers are kept in")
)

// Random, overlapping faults over a few dozen processes break no invariant.
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
			t.Logf("crowd %v, %d servers; %s", plan.IdleCrowd, plan.Servers, record.Summary())
		})
	}
}
