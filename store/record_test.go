package store

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
)

// TestRecordOfTheBuildBefore reads a stored version that the build before any rename wrote, value by value, and holds that
// this build writes the same bytes.
func TestRecordOfTheBuildBefore(t *testing.T) {
	text, err := os.ReadFile("testdata/record.hex")
	if err != nil {
		t.Fatal(err)
	}
	record, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(record)
	if err != nil {
		t.Fatal(err)
	}
	want := set(7)
	if got.Number != want.Number {
		t.Errorf("number %d, wanted %d", got.Number, want.Number)
	}
	for i, part := range want.Resources() {
		if !proto.Equal(got.Resources()[i], part) {
			t.Errorf("part %d is read as %v, wanted %v", i, got.Resources()[i], part)
		}
	}
	if again, err := encode(want); err != nil || string(again) != string(record) {
		t.Errorf("written as %x, %v; before it was %x", again, err, record)
	}
}
