package control

import (
	"testing"
	"time"

	"embershunt/config"
)

// The streamed parts of a file are unchanged after conversion to a set and back.
func TestFilePartsRoundTrip(t *testing.T) {
	f := testFile()
	f.Classes[0].Zones, f.Classes[0].Ordered, f.Tenants = []string{"hall"}, true, []config.Tenant{{Name: "a", Quota: 3}}
	f.Rules = []config.Rule{{Name: "r", User: "x", Class: "report", Cost: config.Duration(time.Second), Key: "user"}}
	parts := FileParts{Classes: f.Classes, Default: f.DefaultClass, Tenants: f.Tenants, Limits: f.Limits, Kinds: f.Kinds, Rules: f.Rules,
		Front: f.Frontend}
	got := merge(f, parts.Set(3))
	a, _ := (&config.Config{File: f}).Effective()
	b, _ := (&config.Config{File: got}).Effective()
	if string(a) != string(b) {
		t.Errorf("got\n%s\nwant\n%s", b, a)
	}
}
