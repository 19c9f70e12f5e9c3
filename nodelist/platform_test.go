package nodelist_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
	"embershunt/simulated"
)

var names = nodelist.Names{Zones: []string{"west", "east"}, Kinds: []string{"std", "big"}}

func TestKnown(t *testing.T) {
	target := func(uid, endpoint, state string) string {
		return `{"uid":"` + uid + `","endpoint":"` + endpoint + `","az":"east","model":"big","pod_group":2,"state":"` + state + `","capacity_hint":4,"boot_ms":1700000000000}`
	}
	event := func(pos, all string, targets ...string) string {
		return `{"pos":` + pos + `,"hosts":{"rev":7,"all":` + all + `,"targets":[` + strings.Join(targets, ",") + `]}}`
	}
	known := func(events ...string) json.RawMessage {
		return json.RawMessage(`{"pos":9,"entries":[` + strings.Join(events, ",") + `]}`)
	}
	// b leaves, and c takes its address; a drains.
	list, err := nodelist.ParseInitial(known(event("8", "true", target("a", "127.0.0.1:1", "active"), target("b", "127.0.0.2:1", "active")),
		event("9", "false", target("a", "127.0.0.1:1", "leaving"), target("b", "127.0.0.2:1", "left"), target("c", "127.0.0.2:1", "active"))), names)
	if err != nil || list.Number != 9 || len(list.Nodes) != 2 {
		t.Fatalf("%+v, %v", list, err)
	}
	want := nodelist.Node{ID: "a", Platform: "127.0.0.1:1", Zone: 1, Kind: 1, PlacementGroup: 2, State: policy.Draining, Weight: 4, Started: time.UnixMilli(1700000000000)}
	if list.Nodes[0] != want || list.Nodes[1].ID != "c" {
		t.Errorf("%+v", list.Nodes)
	}
	for bad, place := range map[string]string{
		target("a", "127.0.0.1:1", "asleep"):                                      "state",
		target("a", "nowhere", "active"):                                          "endpoint",
		strings.Replace(target("a", "127.0.0.1:1", "active"), "east", "north", 1): "az",
		strings.Replace(target("a", "127.0.0.1:1", "active"), "big", "huge", 1):   "model",
	} {
		if _, err := nodelist.ParseInitial(known(event("1", "true", bad)), names); err == nil || !strings.Contains(err.Error(), "entries[0].hosts.targets[0]."+place) {
			t.Errorf("%s: %v", place, err)
		}
	}
}

func listed() []nodelist.Node {
	return []nodelist.Node{
		{ID: "s-1", Platform: "127.0.0.1:7001", Zone: 1, Kind: 1, PlacementGroup: 3, Weight: 4.5, Started: time.UnixMilli(1700000000000)},
		{ID: "s-2", Platform: "127.0.0.2:7002", State: policy.Draining, Weight: 1}}
}

func all(uint16) bool { return true }

// Names are compressed in the answer, also the targets of SRV records.
func TestAnswers(t *testing.T) {
	msg := simulated.ListAnswer(7, 42, listed(), names)
	if strings.Count(string(msg), "hosts") != 1 {
		t.Fatal("the answer is not compressed: the test shows nothing")
	}
	list, err := nodelist.ParseAnswer(msg, all, names)
	if err != nil || list.Number != 42 || len(list.Nodes) != 2 || list.Nodes[0] != listed()[0] || list.Nodes[1] != listed()[1] {
		t.Fatalf("%+v, %v", list, err)
	}
	if list, err = nodelist.ParseAnswer(simulated.ListAnswer(7, 43, nil, names), all, names); err != nil || len(list.Nodes) != 0 {
		t.Errorf("an empty list: %+v, %v", list, err)
	}
	for cut := range msg { // cut short anywhere, it tells nothing
		if _, err := nodelist.ParseAnswer(msg[:cut], all, names); err == nil {
			t.Errorf("taken when cut to %d of %d bytes", cut, len(msg))
		}
	}
	edit := func(at int, to byte) []byte {
		b := append([]byte(nil), msg...)
		b[at] = to
		return b
	}
	for name, c := range map[string]struct {
		msg   []byte
		asked func(uint16) bool
	}{
		"another id":       {msg, func(id uint16) bool { return id == 8 }},
		"a question":       {edit(2, 0), all},
		"truncated":        {edit(2, msg[2]|2), all},
		"a failure":        {edit(3, 2), all},
		"another question": {edit(13, 'x'), all},
		"no usable row":    {simulated.ListAnswer(7, 42, listed()[:1], nodelist.Names{Zones: []string{"west", "north"}, Kinds: names.Kinds}), all},
	} {
		if list, err := nodelist.ParseAnswer(c.msg, c.asked, names); err == nil {
			t.Errorf("%s: taken as %+v", name, list)
		}
	}
}

// One row that cannot be used does not hide what the others say, nor its own drain.
func TestAnswersWithAnUnusableRow(t *testing.T) {
	three := append(listed(), nodelist.Node{ID: "s-3", Platform: "127.0.0.2:7002", Weight: 1})
	for name, c := range map[string]struct {
		msg     []byte
		skipped string
		drains  bool
	}{
		"an unknown kind":   {simulated.ListAnswer(7, 42, listed(), nodelist.Names{Zones: names.Zones, Kinds: []string{"std", "odd"}}), "s-1", false},
		"an unknown zone":   {simulated.ListAnswer(7, 42, listed(), nodelist.Names{Zones: []string{"west", "north"}, Kinds: names.Kinds}), "s-1", false},
		"an address twice":  {simulated.ListAnswer(7, 42, three, names), "s-3", false},
		"a name twice":      {simulated.ListAnswer(7, 42, append(listed(), listed()[1]), names), "s-2", true},
		"fewer additionals": {fewer(simulated.ListAnswer(7, 42, listed(), names)), "s-2", true},
	} {
		list, err := nodelist.ParseAnswer(c.msg, all, names)
		if err != nil || list.Number != 42 || len(list.Skipped) != 1 || list.Skipped[0].ID != c.skipped || list.Skipped[0].Draining != c.drains ||
			list.Skipped[0].Err == nil || nodelist.Check(list.Nodes) != nil || len(list.Nodes) == 0 {
			t.Errorf("%s: %+v, %v", name, list, err)
		}
	}
	none := simulated.ListAnswer(7, 42, listed(), nodelist.Names{Zones: names.Zones, Kinds: []string{"new", "odd"}})
	if list, err := nodelist.ParseAnswer(none, all, names); err == nil {
		t.Errorf("taken without a usable row: %+v", list)
	}
}

// fewer takes the last additional record off the count.
func fewer(msg []byte) []byte {
	msg[11]--
	return msg
}

func FuzzParseAnswer(f *testing.F) {
	f.Add(simulated.ListAnswer(7, 42, listed(), names))
	f.Fuzz(func(t *testing.T, msg []byte) {
		list, err := nodelist.ParseAnswer(msg, all, names)
		if err == nil && nodelist.Check(list.Nodes) != nil {
			t.Errorf("%+v", list)
		}
	})
}
