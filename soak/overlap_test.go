package soak_test

import (
	"testing"
	"time"

	"embershunt/soak"
)

// Nodes that have lost the further pages of a result answer each request for one with an error, and some answers come twice, late: no
// such line may end a further attempt, which would run on beside the next.
func TestTwoAttemptsOutAtOnce(t *testing.T) {
	for name, faults := range map[string]soak.ServerFaults{"lost pages": {LostPages: 0.5}, "late copies": {Fail: 0.3, Full: 0.1, LateCopy: 0.7}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, soak.Options{Seed: 3, Dispatchers: 4, Servers: 1, Clients: 12}) // a retry has no other server to go to
			defer report(t, c)
			for _, id := range c.HealthyServers() {
				c.Server(id).SetFaults(faults)
			}
			wait(t.Context(), 8*time.Second)
		})
	}
}
