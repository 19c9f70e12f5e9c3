package nodelist_test

import (
	"fmt"
	"testing"

	"embershunt/choice"
	"embershunt/nodelist"
)

// Changes names what differs between two lists and nothing else.
func TestChanges(t *testing.T) {
	row := func(id string, state choice.EngineState) nodelist.Node { return nodelist.Node{ID: id, State: state} }
	before := []nodelist.Node{row("stays", choice.Healthy), row("drains", choice.Healthy), row("leaves", choice.Draining)}
	after := []nodelist.Node{row("stays", choice.Healthy), row("drains", choice.Draining), row("joins", choice.Healthy)}
	got := fmt.Sprint(nodelist.Changes(before, after))
	if want := "[drains:draining joins:ready leaves:gone]"; got != want {
		t.Errorf("changes %s, want %s", got, want)
	}
	if same := nodelist.Changes(after, after); len(same) > 0 {
		t.Errorf("changes %v between a list and itself", same)
	}
}
