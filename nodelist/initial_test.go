package nodelist_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
)

func TestParseInitial(t *testing.T) {
	target := func(uid, endpoint, state string) string {
		return `{"uid":"` + uid + `","endpoint":"` + endpoint + `","az":"east","model":"big","pod_group":2,"state":"` + state + `","capacity_hint":4,"boot_ms":1700000000000}`
	}
	event := func(pos, all string, targets ...string) string {
		return `{"pos":` + pos + `,"hosts":{"rev":7,"all":` + all + `,"targets":[` + strings.Join(targets, ",") + `]}}`
	}
	list := func(events ...string) json.RawMessage {
		return json.RawMessage(`{"pos":9,"entries":[` + strings.Join(events, ",") + `]}`)
	}
	// In the second event a drains, b has left, and c takes the address of b.
	got, err := nodelist.ParseInitial(list(event("8", "true", target("a", "127.0.0.1:1", "active"), target("b", "127.0.0.2:1", "active")),
		event("9", "false", target("a", "127.0.0.1:1", "leaving"), target("b", "127.0.0.2:1", "left"), target("c", "127.0.0.2:1", "active"))), names)
	if err != nil || got.Number != 9 || len(got.Nodes) != 2 {
		t.Fatalf("%+v, %v", got, err)
	}
	want := nodelist.Node{ID: "a", PlatformAddress: "127.0.0.1:1", Zone: 1, Kind: 1, PlacementGroup: 2, State: policy.Draining,
		Weight: 4, Started: time.UnixMilli(1700000000000)}
	if got.Nodes[0] != want || got.Nodes[1].ID != "c" {
		t.Errorf("%+v", got.Nodes)
	}
	for bad, field := range map[string]string{
		target("a", "127.0.0.1:1", "asleep"):                                      "state",
		target("a", "nowhere", "active"):                                          "endpoint",
		strings.Replace(target("a", "127.0.0.1:1", "active"), "east", "north", 1): "az",
		strings.Replace(target("a", "127.0.0.1:1", "active"), "big", "huge", 1):   "model",
	} {
		if _, err := nodelist.ParseInitial(list(event("1", "true", bad)), names); err == nil || !strings.Contains(err.Error(), "entries[0].hosts.targets[0]."+field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}
