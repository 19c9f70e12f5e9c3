package soak_test

import (
	"testing"
	"time"

	"embershunt/soak"
)

// Guards against two attempts of one request in flight at once. A node that has lost the further pages of a result answers each request
// for such a page with an error, and some answers come twice, the second time late. If the dispatcher takes such a late line for the
// answer to a later attempt, it sends the next one while that attempt still runs.
func TestNoOverlappingAttempts(t *testing.T) {
	const fewDescriptors = 64 // a dispatcher divides them into 24 for clients, 16 for connections to nodes and 24 reserved
	for name, o := range map[string]soak.Options{
		"lost pages":         {BaseFaults: soak.ServerFaults{LostPages: 0.5}, Descriptors: 256, Clients: 12},
		"late copies":        {BaseFaults: soak.ServerFaults{Fail: 0.3, Full: 0.1, LateCopy: 0.7}, Descriptors: 256, Clients: 12},
		"shared connections": {BaseFaults: soak.ServerFaults{LostPages: 0.3, LateCopy: 0.3}, Descriptors: fewDescriptors, Clients: 22},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o.Seed, o.Dispatchers, o.Servers = 3, 4, 1 // a retry has no other server to go to
			c := newCluster(t, o)
			defer closeAndCheck(t, c)
			wait(t.Context(), 8*time.Second)
		})
	}
}
