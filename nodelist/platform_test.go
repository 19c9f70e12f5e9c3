package nodelist_test

import (
	"strings"
	"testing"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
	"embershunt/simulated"
)

var names = nodelist.Names{Zones: []string{"west", "east"}, Kinds: []string{"std", "big"}}

func listed() []nodelist.Node {
	return []nodelist.Node{
		{ID: "s-1", PlatformAddress: "127.0.0.1:7001", Zone: 1, Kind: 1, PlacementGroup: 3,
			Weight: 4.5, Started: time.UnixMilli(1700000000000)},
		{ID: "s-2", PlatformAddress: "127.0.0.2:7002", State: policy.Draining, Weight: 1}}
}

// anyID reports every query as pending.
func anyID(uint16) bool { return true }

// ParseResponse reads compressed names, also in the targets of SRV records, and rejects damaged responses and those to other
// queries.
func TestParseResponse(t *testing.T) {
	msg := simulated.ListAnswer(7, 42, listed(), names)
	if strings.Count(string(msg), "hosts") != 1 {
		t.Fatal("the names in the response are not compressed, so the test does not cover compression")
	}
	list, err := nodelist.ParseResponse(msg, anyID, names)
	if err != nil || list.Number != 42 || len(list.Nodes) != 2 || list.Nodes[0] != listed()[0] || list.Nodes[1] != listed()[1] {
		t.Fatalf("%+v, %v", list, err)
	}
	if list, err = nodelist.ParseResponse(simulated.ListAnswer(7, 43, nil, names), anyID, names); err != nil || len(list.Nodes) != 0 {
		t.Errorf("an empty list: %+v, %v", list, err)
	}
	for n := range msg { // wherever the response is cut off, parsing fails
		if _, err := nodelist.ParseResponse(msg[:n], anyID, names); err == nil {
			t.Errorf("accepted when truncated to %d of %d bytes", n, len(msg))
		}
	}
	edit := func(at int, to byte) []byte {
		b := append([]byte(nil), msg...)
		b[at] = to
		return b
	}
	for name, c := range map[string]struct {
		msg     []byte
		pending func(uint16) bool
	}{
		"another ID":       {msg, func(id uint16) bool { return id == 8 }},
		"a query":          {edit(2, 0), anyID},
		"truncation flag":  {edit(2, msg[2]|2), anyID},
		"SERVFAIL":         {edit(3, 2), anyID},
		"another question": {edit(13, 'x'), anyID},
		"no usable row":    {simulated.ListAnswer(7, 42, listed()[:1], nodelist.Names{Zones: []string{"west", "north"}, Kinds: names.Kinds}), anyID},
	} {
		if list, err := nodelist.ParseResponse(c.msg, c.pending, names); err == nil {
			t.Errorf("%s: accepted as %+v", name, list)
		}
	}
}

// An unusable row does not invalidate the other rows, and its drain is still reported.
func TestResponsesWithAnUnusableRow(t *testing.T) {
	three := append(listed(), nodelist.Node{ID: "s-3", PlatformAddress: "127.0.0.2:7002", Weight: 1})
	for name, c := range map[string]struct {
		msg     []byte
		skipped string
		drains  bool
	}{
		"an unknown kind":   {simulated.ListAnswer(7, 42, listed(), nodelist.Names{Zones: names.Zones, Kinds: []string{"std", "odd"}}), "s-1", false},
		"an unknown zone":   {simulated.ListAnswer(7, 42, listed(), nodelist.Names{Zones: []string{"west", "north"}, Kinds: names.Kinds}), "s-1", false},
		"duplicate address": {simulated.ListAnswer(7, 42, three, names), "s-3", false},
		"duplicate name":    {simulated.ListAnswer(7, 42, append(listed(), listed()[1]), names), "s-2", true},
		"a missing record":  {dropAdditional(simulated.ListAnswer(7, 42, listed(), names)), "s-2", true},
	} {
		list, err := nodelist.ParseResponse(c.msg, anyID, names)
		if err != nil || list.Number != 42 || len(list.Skipped) != 1 || list.Skipped[0].ID != c.skipped || list.Skipped[0].Draining != c.drains ||
			list.Skipped[0].Err == nil || nodelist.Check(list.Nodes) != nil || len(list.Nodes) == 0 {
			t.Errorf("%s: %+v, %v", name, list, err)
		}
	}
	none := simulated.ListAnswer(7, 42, listed(), nodelist.Names{Zones: names.Zones, Kinds: []string{"new", "odd"}})
	if list, err := nodelist.ParseResponse(none, anyID, names); err == nil {
		t.Errorf("a response without a usable row is accepted as %+v", list)
	}
}

// dropAdditional excludes the last additional record by decrementing the record count in the header.
func dropAdditional(msg []byte) []byte {
	msg[11]--
	return msg
}

func FuzzParseResponse(f *testing.F) {
	f.Add(simulated.ListAnswer(7, 42, listed(), names))
	f.Fuzz(func(t *testing.T, msg []byte) {
		list, err := nodelist.ParseResponse(msg, anyID, names)
		if err == nil && nodelist.Check(list.Nodes) != nil {
			t.Errorf("%+v", list)
		}
	})
}
