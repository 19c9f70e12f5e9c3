package server_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"embershunt/control"
	"embershunt/control/stream"
	"embershunt/simulated"
)

// newStoringRig starts a control service and a dispatcher with one node that stores the sets it accepts in a file.
func newStoringRig(t *testing.T) (c *simulated.Control, r *rig, file string) {
	c = simulated.NewControl("nodes")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	file = filepath.Join(t.TempDir(), "versions.db")
	r = newControlledRig(t, c, 1, `, "store": "`+file+`"`)
	c.SetEndpoints(listedNodes(r), "")
	return c, r, file
}

// If writes to the store fail while the dispatcher runs, a new version is rejected with that reason, the previous one stays in force,
// and queries are still served.
func TestStoreWriteFailure(t *testing.T) {
	c, r, _ := newStoringRig(t)
	c.SetResources(stream.SettingsName, settingsResources(t, 1, nil)...)
	r.awaitControlStatus("set 1 in force", func(s control.Status) bool { return s.Number == 1 })
	if err := r.d.BreakStore(); err != nil {
		t.Fatal(err)
	}
	c.SetResources(stream.SettingsName, settingsResources(t, 2, nil)...)
	awaitService(t, c, "rejection of set 2", func() bool { return len(c.Nacks()) > 0 })
	if n := c.Nacks()[0]; !strings.Contains(n, "store: ") {
		t.Errorf("set 2 rejected with %q, want a store error", n)
	}
	if s, _ := r.d.ControlStatus(); s.Number != 1 {
		t.Errorf("set %d is in force, want 1", s.Number)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if _, err := r.query(ctx, "SELECT 1"); err != nil {
		t.Error(err)
	}
}

// A dispatcher starts from a store file in which a byte has changed. It uses an intact version: the newest one or, if the damage is in
// its record, the one before it. The control service then brings the newest version into force again.
func TestDamagedStoreFile(t *testing.T) {
	c, r, file := newStoringRig(t)
	for n := uint64(1); n <= 2; n++ {
		c.SetResources(stream.SettingsName, settingsResources(t, n, nil)...)
		r.awaitControlStatus(fmt.Sprintf("set %d in force", n), func(s control.Status) bool { return s.Number == n })
	}
	address := r.d.Address()
	r.cancel()
	r.ended <- <-r.ended // waits; start receives the result again
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	// The last "lookup" in the file may be in the record of either set, or in a page that is no longer used.
	at := strings.LastIndex(string(text), "lookup")
	text[at] = 'L'
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	r.start(address)
	if s, _ := r.d.ControlStatus(); s.Number != 1 && s.Number != 2 {
		t.Errorf("started in set %d, want 1 or 2", s.Number)
	}
	r.awaitControlStatus("set 2 in force again", func(s control.Status) bool { return s.Number == 2 })
}
