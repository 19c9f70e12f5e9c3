package nodelist

import "embershunt/policy"

// Change is a node whose state differs between two lists.
type Change struct {
	ID       string
	From, To policy.EndpointState // Removed: the node is not in that list
}

// stateNames are the states in logs.
var stateNames = map[policy.EndpointState]string{policy.Healthy: "ready", policy.Draining: "draining", policy.Removed: "gone"}

// String is the node and its new state.
func (c Change) String() string { return c.ID + ":" + stateNames[c.To] }

// Changes are the nodes whose state differs between two lists, those of the newer list first.
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
