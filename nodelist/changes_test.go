package nodelist_test

import (
	"fmt"
	"testing"

	"embershunt/nodelist"
	"embershunt/policy"
)

// Changes returns the nodes whose state differs between two lists, and no others.
func TestChanges(t *testing.T) {
	row := func(id string, state policy.EndpointState) nodelist.Node { return nodelist.Node{ID: id, State: state} }
	before := []nodelist.Node{row("stays", policy.Healthy), row("drains", policy.Healthy), row("leaves", policy.Draining)}
	after := []nodelist.Node{row("stays", policy.Healthy), row("drains", policy.Draining), row("joins", policy.Healthy)}
	got := fmt.Sprint(nodelist.Changes(before, after))
	if want := "[drains:draining joins:ready leaves:gone]"; got != want {
		t.Errorf("changes %s, want %s", got, want)
	}
	if same := nodelist.Changes(after, after); len(same) > 0 {
		t.Errorf("changes %v between a list and itself", same)
	}
}
