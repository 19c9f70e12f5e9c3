package server_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"embershunt/control"
	"embershunt/control/stream"
	"embershunt/simulated"
)

// newStoringRig is a dispatcher of one node that keeps the sets it takes in a file.
func newStoringRig(t *testing.T) (c *simulated.Control, r *rig, file string) {
	c = simulated.NewControl("nodes")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	file = filepath.Join(t.TempDir(), "versions.db")
	r = newControlledRig(t, c, 1, `, "store": "`+file+`"`)
	c.Set(listed(r), "")
	return c, r, file
}

// The store fails under a running dispatcher: the version is refused with the reason, the one before stays in force, and
// queries go on.
func TestAStoreThatFailsWhileRunning(t *testing.T) {
	c, r, _ := newStoringRig(t)
	c.Put(stream.SettingsName, settings(t, 1, nil)...)
	r.until("set 1 in force", func(s control.Status) bool { return s.Number == 1 })
	if err := r.d.BreakStore(); err != nil {
		t.Fatal(err)
	}
	c.Put(stream.SettingsName, settings(t, 2, nil)...)
	until(t, c, "set 2 refused", func() bool { return len(c.Nacks()) > 0 })
	if n := c.Nacks()[0]; !strings.Contains(n, "store: ") {
		t.Errorf("refused with %q", n)
	}
	if s, _ := r.d.ControlStatus(); s.Number != 1 {
		t.Errorf("in force is %d", s.Number)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if _, err := r.query(ctx, "SELECT 1"); err != nil {
		t.Error(err)
	}
}

// A store that was damaged on the disk is reported at the start, and nothing of it is used.
func TestADamagedStoreFile(t *testing.T) {
	c, r, file := newStoringRig(t)
	for n := uint64(1); n <= 2; n++ {
		c.Put(stream.SettingsName, settings(t, n, nil)...)
		r.until("a set in force", func(s control.Status) bool { return s.Number == n })
	}
	address := r.d.Address()
	r.cancel()
	r.ended <- <-r.ended
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	// The newest record holds the last "lookup" in the file's live pages; every copy of it is hit.
	at := strings.LastIndex(string(text), "lookup")
	text[at] = 'L'
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	r.start(address)
	if s, _ := r.d.ControlStatus(); s.Number != 1 && s.Number != 2 {
		t.Errorf("started in set %d", s.Number)
	}
	r.until("set 2 in force again", func(s control.Status) bool { return s.Number == 2 })
}
