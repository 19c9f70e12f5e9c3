package flightsql

import (
	"maps"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"

	"embershunt/internal/flightwire"
)

func TestDecodeOptionsOfAnotherUser(t *testing.T) {
	options := map[string]string{"b": "2", "a": "1"}
	for _, user := range []string{"pobocka", ""} {
		payload := encodeOptions(user, options)
		if got := decodeOptions(payload, user); !maps.Equal(got, options) {
			t.Errorf("user %q: %v", user, got)
		}
		if got := decodeOptions(payload, "another"); len(got) != 0 {
			t.Errorf("another user's options: %v", got)
		}
	}
	for _, payload := range [][]byte{nil, []byte("not a message")} {
		if got := decodeOptions(payload, ""); got == nil || len(got) != 0 {
			t.Errorf("options in %q: %v", payload, got)
		}
	}
}

func TestParseOption(t *testing.T) {
	text := func(v string) []byte {
		return protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), v)
	}
	boolean := func(v uint64) []byte {
		return protowire.AppendVarint(protowire.AppendTag(nil, 2, protowire.VarintType), v)
	}
	integer := func(v int64) []byte {
		return protowire.AppendFixed64(protowire.AppendTag(nil, 3, protowire.Fixed64Type), uint64(v))
	}
	entry := func(name string, value []byte) []byte {
		return flightwire.AppendBytes(flightwire.AppendBytes(nil, 1, name), 2, value)
	}
	for _, c := range []struct {
		description string
		entry       []byte
		name, value string
		invalid     bool
	}{
		{"text", entry("a", text("1")), "a", "1", false},
		{"empty text removes", entry("a", text("")), "a", "", false},
		{"no value removes", entry("a", nil), "a", "", false},
		{"no name", entry("", text("1")), "", "", false},
		{"true", entry("a", boolean(1)), "a", "true", false},
		{"false", entry("a", boolean(0)), "a", "false", false},
		{"an integer", entry("a", integer(-7)), "a", "-7", false},
		{"a double", entry("a", protowire.AppendFixed64(protowire.AppendTag(nil, 4, protowire.Fixed64Type), 1)), "a", "", true},
		{"truncated text", entry("a", text("12345")[:4]), "a", "", true},
		{"a truncated integer", entry("a", integer(1)[:5]), "a", "", true},
		{"not a message", []byte{0xff}, "", "", true},
	} {
		name, value, err := parseOption(c.entry)
		if name != c.name || value != c.value || (err != nil) != c.invalid {
			t.Errorf("%s: %q = %q, %v", c.description, name, value, err)
		}
	}
}
