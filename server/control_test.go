package server_test

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/anypb"

	"embershunt/control"
	"embershunt/control/configv1"
	"embershunt/control/stream"
	"embershunt/simulated"
)

// settings is a whole set; change may spoil it.
func settings(t testing.TB, n uint64, change func(*control.Set)) []*anypb.Any {
	t.Helper()
	s := control.Set{Number: n, Classes: &configv1.Classes{Set: n, Classes: []*configv1.Class{
		{Name: "lookup", AimUs: 750e3, AimStretch: 1.5, DeadlineUs: 4e6},
		{Name: "report", AimUs: 2e6, DeadlineUs: 15e6, Threads: 4, Worth: 10}}}, Tenants: &configv1.Tenants{Set: n},
		Limits: &configv1.Limits{Set: n}, Classification: &configv1.Classification{Set: n}, Fronts: &configv1.Fronts{Set: n}}
	if change != nil {
		change(&s)
	}
	var out []*anypb.Any
	for _, m := range s.Resources() {
		a, err := anypb.New(m)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, a)
	}
	return out
}

// until waits for something that dispatchers do at a control service.
func until(t testing.TB, c *simulated.Control, what string, good func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := c.Await(ctx, good); err != nil {
		t.Fatal("not seen in 10 s: ", what)
	}
}

// until waits for a state of the streamed versions.
func (r *rig) until(what string, good func(control.Status) bool) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
	defer cancel()
	if err := r.d.AwaitControl(ctx, good); err != nil {
		r.t.Fatal("not seen in 10 s: ", what)
	}
}

// seenBy waits until a node has seen so many attempts, and returns it.
func (r *rig) seenBy(statement string) *simulated.Node {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
	defer cancel()
	first := make(chan *simulated.Node, len(r.nodes))
	for _, n := range r.nodes {
		go func() {
			if n.Await(ctx, func(s []simulated.AttemptRecord) bool {
				return slices.ContainsFunc(s, func(s simulated.AttemptRecord) bool { return s.Statement == statement })
			}) == nil {
				first <- n
			}
		}()
	}
	select {
	case n := <-first:
		return n
	case <-ctx.Done():
		r.t.Fatal("no node saw ", statement)
		return nil
	}
}

func newControlledRig(t testing.TB, c *simulated.Control, nodes int, more string) *rig {
	return newRigWith(t, nodes, func(string) string { return "{}" }, fmt.Sprintf(`, "control": {"address": %q, "cluster": "nodes",
		"reconnect_most": "300ms" %s}`, c.Address(), more))
}

func listed(r *rig) (rows []simulated.ListedNode) {
	for _, n := range r.nodes {
		rows = append(rows, simulated.ListedNode{Name: n.Name, Address: n.Address})
	}
	return rows
}

// The whole way of a version, in both variants of the protocol: taken, refused for its form, for its references, for harm,
// in half; the service gone, the dispatcher restarted without it.
func TestStreamedSettings(t *testing.T) {
	for _, variant := range []string{"false", "true"} {
		t.Run("delta="+variant, func(t *testing.T) {
			c := simulated.NewControl("nodes")
			if err := c.Start(); err != nil {
				t.Fatal(err)
			}
			defer c.Stop()
			file := filepath.Join(t.TempDir(), "versions.db")
			r := newControlledRig(t, c, 2, fmt.Sprintf(`, "delta": %s, "store": %q`, variant, file))
			c.Set(listed(r), "")
			served := func(statement string) {
				t.Helper()
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				if _, err := r.query(ctx, statement); err != nil {
					t.Errorf("%s: %v", statement, err)
				}
			}
			number := func() uint64 { s, _ := r.d.ControlStatus(); return s.Number }
			replies := func() (acks int, nacks []string) {
				for _, x := range c.Replies() {
					if x.Refused != "" {
						nacks = append(nacks, x.Refused)
					} else {
						acks++
					}
				}
				return acks, nacks
			}
			until(t, c, "the node list acknowledged", func() bool { a, _ := replies(); return a == 1 })
			served("SELECT 1")

			c.Put(stream.SettingsName, settings(t, 1, func(s *control.Set) {
				s.Classes.Classes = append(s.Classes.Classes, &configv1.Class{Name: "audit", AimUs: 8e6, DeadlineUs: 9e6})
			})...)
			until(t, c, "set 1 acknowledged", func() bool { a, _ := replies(); return a == 6 })
			served("SELECT 1 /* class=audit */")

			refused := func(what, reason string, resources ...*anypb.Any) {
				t.Helper()
				_, before := replies()
				c.Put(stream.SettingsName, resources...)
				until(t, c, what+" refused", func() bool { _, n := replies(); return len(n) >= len(before)+len(resources) }) // one for each
				_, n := replies()
				if !strings.Contains(n[len(before)], reason) || number() != 1 {
					t.Errorf("%s: %q, want %q; in force is %d", what, n[len(before)], reason, number())
				}
			}
			refused("a broken form", "classes", &anypb.Any{TypeUrl: stream.TypeURL(control.Classes), Value: []byte{0xff}})
			refused("a rule that names nobody", "rules[0].class", settings(t, 2, func(s *control.Set) {
				s.Classification.Rules = []*configv1.Rule{{Name: "r", Class: "nobody"}}
			})...)

			// A class ends while a query of it is in flight; then it is not any more.
			done := make(chan error, 1)
			go func() {
				_, err := r.query(t.Context(), "SELECT 1 /* class=audit work_ms=700 cost_ms=700 */")
				done <- err
			}()
			r.seenBy("SELECT 1 /* class=audit work_ms=700 cost_ms=700 */")
			refused("a class that ends with a query in flight", `class_ends: class "audit"`, settings(t, 3, nil)...)
			if err := <-done; err != nil {
				t.Error(err)
			}
			// Half a set is held back without a reply until the other half is there.
			whole := settings(t, 4, nil)
			a, n := replies()
			c.Put(stream.SettingsName, whole[:2]...)
			served("SELECT 1 /* class=audit */")
			if a2, n2 := replies(); a2 != a || len(n2) != len(n) || number() != 1 {
				t.Errorf("half a set: %d ACKs, %d NACKs more", a2-a, len(n2)-len(n))
			}
			c.Put(stream.SettingsName, whole[2:]...)
			r.until("set 4 in force", func(s control.Status) bool { return s.Number == 4 })
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if _, err := r.query(ctx, "SELECT 1 /* class=audit */"); err == nil || !strings.Contains(err.Error(), "lookup, report") {
				t.Errorf("a class that ended: %v", err)
			}

			// The service disappears: all goes on. Started again without it, the dispatcher has the last good version.
			c.Stop()
			served("SELECT 1 /* class=report */")
			address := r.d.Address()
			r.cancel()
			r.ended <- <-r.ended
			r.start(address)
			if got := number(); got != 4 {
				t.Errorf("started again in set %d", got)
			}
			if err := c.Start(); err != nil {
				t.Fatal(err)
			}
			r.until("a node list after the restart", func(s control.Status) bool { return s.Versions["nodes"] != "" })
			r.until("set 4 acknowledged as in force", func(s control.Status) bool { return s.Versions["limits"] != "" })
			served("SELECT 1 /* class=report */")
		})
	}
}
