package soak_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"embershunt/soak"
)

// program is the path of the dispatcher that all tests here run.
var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(folder, "dispatcher")
	if out, err := exec.Command("go", "build", "-o", program, "embershunt/cmd/dispatcher").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

func small(t *testing.T, seed uint64) *soak.Cluster {
	t.Helper()
	c, err := soak.NewCluster(t.Context(), soak.Options{Program: program, Folder: t.TempDir(), Seed: seed, Dispatchers: 4, Servers: 6, Clients: 4,
		Sockets: 256, Habits: soak.Habits{Think: 40 * time.Millisecond}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// wait lets the cluster run on; what is waited for is time itself.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func report(t *testing.T, c *soak.Cluster) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	for i, v := range c.Record.Judge() {
		if i == 20 {
			t.Error("and more")
			break
		}
		t.Error(v)
	}
	t.Log(c.Record.Summary())
}

// The incident: three of four dispatchers have been killed and started again, the name service answers slowly, and a server begins to
// drain. It must be heard, however late the answers are.
func TestDrainIsHeardFromASlowNameService(t *testing.T) {
	for _, latency := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			t.Parallel()
			c := small(t, 1)
			defer report(t, c)
			for _, d := range c.Dispatchers[1:] {
				d.Kill()
				if err := c.Restart(t.Context(), d); err != nil {
					t.Fatal(err)
				}
			}
			for _, d := range c.Dispatchers {
				d.SetNameFaults(soak.NameFaults{Latency: latency})
			}
			wait(t.Context(), time.Second)
			c.Drain("s-1")
			wait(t.Context(), 4*time.Second)
			c.Remove("s-2")
			wait(t.Context(), 4*time.Second)
		})
	}
}

// After a restart the numbers of lists begin again. A list of before it, under the higher number that it had then, must not make later
// ones unheard, nor an answer that has the newest number and older rows.
func TestDrainIsHeardAfterAMisleadingNumber(t *testing.T) {
	for name, faults := range map[string]soak.NameFaults{"earlier start": {Earlier: 0.1}, "old rows": {OldRows: 0.3}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := small(t, 2)
			defer report(t, c)
			for range 4 {
				if _, err := c.Join(); err != nil {
					t.Fatal(err)
				}
				wait(t.Context(), 300*time.Millisecond)
			}
			for _, d := range c.Dispatchers {
				d.Kill()
				if err := c.Restart(t.Context(), d); err != nil {
					t.Fatal(err)
				}
				d.SetNameFaults(faults)
			}
			for _, id := range []string{"s-1", "s-2", "s-3"} {
				wait(t.Context(), 1500*time.Millisecond)
				c.Drain(id)
			}
			wait(t.Context(), 3*time.Second)
		})
	}
}
