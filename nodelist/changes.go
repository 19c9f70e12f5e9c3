package nodelist

import "embershunt/policy"

// Change describes a node whose state differs between two lists.
type Change struct {
	ID       string
	From, To policy.EndpointState // Removed where the list does not have the node
}

// stateNames holds the names of the states in logs.
var stateNames = map[policy.EndpointState]string{policy.Healthy: "ready", policy.Draining: "draining", policy.Removed: "gone"}

// String returns "ID:state", with the new state.
func (c Change) String() string { return c.ID + ":" + stateNames[c.To] }

// Changes returns the nodes whose state differs between two lists: first those in after, then the removed ones.
func Changes(before, after []Node) (out []Change) {
	states := map[string]policy.EndpointState{}
	for _, n := range before {
		states[n.ID] = n.State
	}
	listed := map[string]bool{}
	for _, n := range after {
		listed[n.ID] = true
		from, known := states[n.ID]
		if !known {
			from = policy.Removed
		}
		if from != n.State {
			out = append(out, Change{ID: n.ID, From: from, To: n.State})
		}
	}
	for _, n := range before {
		if !listed[n.ID] && n.State != policy.Removed {
			out = append(out, Change{ID: n.ID, From: n.State, To: policy.Removed})
		}
	}
	return out
}
