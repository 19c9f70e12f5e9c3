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

// program is the path of the dispatcher's executable, which TestMain builds for all tests of the package.
var program string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(directory, "dispatcher")
	if out, err := exec.Command("go", "build", "-o", program, "embershunt/cmd/dispatcher").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(directory) // where this fails, the directory is left to the system
	os.Exit(code)
}

// smallCluster starts four dispatchers and six servers.
func smallCluster(t *testing.T, seed uint64) *soak.Cluster {
	t.Helper()
	return newCluster(t, soak.Options{Seed: seed, Dispatchers: 4, Servers: 6, Clients: 4, Descriptors: 256})
}

// newCluster starts a cluster of the given size whose clients pause 40 ms on average between two requests.
func newCluster(t *testing.T, o soak.Options) *soak.Cluster {
	t.Helper()
	o.Program, o.Directory = program, t.TempDir()
	o.Behavior = soak.ClientBehavior{ThinkTime: 40 * time.Millisecond}
	c, err := soak.NewCluster(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// wait lets the cluster run for the given time, or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// closeAndCheck closes the cluster and fails the test where the record has violations; it prints the first 20.
func closeAndCheck(t *testing.T, c *soak.Cluster) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	for i, v := range c.Record.Check() {
		if i == 20 {
			t.Error("further violations are not shown")
			break
		}
		t.Error(v)
	}
	t.Log(c.Record.Summary())
}

// Guards against dispatchers that keep sending to a draining or removed server because the name service answers slowly. As in an
// incident, three of four dispatchers are killed and restarted before. All four must observe the drain, however late the answers are.
func TestDrainIsObservedWithSlowNameService(t *testing.T) {
	for _, latency := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			t.Parallel()
			c := smallCluster(t, 1)
			defer closeAndCheck(t, c)
			for _, d := range c.Dispatchers[1:] {
				d.Kill()
				if err := c.Restart(t.Context(), d); err != nil {
					t.Fatal(err)
				}
			}
			for _, d := range c.Dispatchers {
				d.SetNameServiceFaults(soak.NameServiceFaults{Latency: latency})
			}
			wait(t.Context(), time.Second)
			c.DrainServer("s-1")
			wait(t.Context(), 4*time.Second)
			c.RemoveServer("s-2")
			wait(t.Context(), 4*time.Second)
		})
	}
}

// Guards against endpoint lists that hide a drain by their number. List numbers begin again when a dispatcher restarts, so a list from
// before the restart may have a higher number than the current one. An answer may also have the current number with older rows.
func TestDrainIsObservedAfterMisleadingNumber(t *testing.T) {
	for name, faults := range map[string]soak.NameServiceFaults{
		"previous incarnation": {PreviousIncarnation: 0.1},
		"stale rows":           {StaleRows: 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := smallCluster(t, 2)
			defer closeAndCheck(t, c)
			for range 4 {
				if _, err := c.AddServer(); err != nil {
					t.Fatal(err)
				}
				wait(t.Context(), 300*time.Millisecond)
			}
			for _, d := range c.Dispatchers {
				d.Kill()
				if err := c.Restart(t.Context(), d); err != nil {
					t.Fatal(err)
				}
				d.SetNameServiceFaults(faults)
			}
			for _, id := range []string{"s-1", "s-2", "s-3"} {
				wait(t.Context(), 1500*time.Millisecond)
				c.DrainServer(id)
			}
			wait(t.Context(), 3*time.Second)
		})
	}
}
