package store

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
)

// TestRecordOfEarlierBuild guards the stored format against renames in the code: it decodes a record that a build from before any
// rename wrote, compares it value by value, and checks that encode still writes the same bytes.
func TestRecordOfEarlierBuild(t *testing.T) {
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
		t.Errorf("number %d, want %d", got.Number, want.Number)
	}
	for i, resource := range want.Resources() {
		if !proto.Equal(got.Resources()[i], resource) {
			t.Errorf("resource %d is read as %v, want %v", i, got.Resources()[i], resource)
		}
	}
	if again, err := encode(want); err != nil || string(again) != string(record) {
		t.Errorf("encoded as %x, error %v; the earlier build wrote %x", again, err, record)
	}
}
