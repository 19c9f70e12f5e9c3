package soak_test

import (
	"testing"
	"time"

	"embershunt/soak"
)

// Nodes that have lost the further pages of a result answer each request for one with an error, and some answers come twice, late: no
// such line may end a further attempt, which would run on beside the next.
func TestTwoAttemptsOutAtOnce(t *testing.T) {
	const sharing = 64 // descriptors for 24 clients and 16 connections to servers
	for name, o := range map[string]soak.Options{
		"lost pages":         {BaseFaults: soak.ServerFaults{LostPages: 0.5}, Descriptors: 256, Clients: 12},
		"late copies":        {BaseFaults: soak.ServerFaults{Fail: 0.3, Full: 0.1, LateCopy: 0.7}, Descriptors: 256, Clients: 12},
		"shared connections": {BaseFaults: soak.ServerFaults{LostPages: 0.3, LateCopy: 0.3}, Descriptors: sharing, Clients: 22},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o.Seed, o.Dispatchers, o.Servers = 3, 4, 1 // a retry has no other server to go to
			c := newCluster(t, o)
			defer report(t, c)
			wait(t.Context(), 8*time.Second)
		})
	}
}
