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

// settingsResources returns the resources of a complete set with number n; change, unless it is nil, may alter the set, also into an
// invalid one.
func settingsResources(t testing.TB, n uint64, change func(*control.Set)) []*anypb.Any {
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

// awaitService waits until a condition on what a control service has recorded holds. After 10 s it fails the test; what describes the
// condition.
func awaitService(t testing.TB, c *simulated.Control, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := c.Await(ctx, condition); err != nil {
		t.Fatal("did not happen within 10 s: ", what)
	}
}

// awaitControlStatus waits until a condition on the dispatcher's state of streamed versions holds. After 10 s it fails the test; what
// describes the condition.
func (r *rig) awaitControlStatus(what string, condition func(control.Status) bool) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
	defer cancel()
	if err := r.d.AwaitControl(ctx, condition); err != nil {
		r.t.Fatal("did not happen within 10 s: ", what)
	}
}

// awaitNodeWith waits until a node has received a statement, and returns that node. After 10 s it fails the test.
func (r *rig) awaitNodeWith(statement string) *simulated.Node {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
	defer cancel()
	first := make(chan *simulated.Node, len(r.nodes))
	for _, n := range r.nodes {
		go func() {
			if n.Await(ctx, func(attempts []simulated.AttemptRecord) bool {
				return slices.ContainsFunc(attempts, func(a simulated.AttemptRecord) bool { return a.Statement == statement })
			}) == nil {
				first <- n
			}
		}()
	}
	select {
	case n := <-first:
		return n
	case <-ctx.Done():
		r.t.Fatal("no node received within 10 s: ", statement)
		return nil
	}
}

// newControlledRig is newRig with a dispatcher that streams node list and settings from c. extraControl is appended to the control block of
// its configuration.
func newControlledRig(t testing.TB, c *simulated.Control, nodes int, extraControl string) *rig {
	return newRigWith(t, nodes, func(string) string { return "{}" }, fmt.Sprintf(`, "control": {"address": %q, "cluster": "nodes",
		"reconnect_most": "300ms" %s}`, c.Address(), extraControl))
}

// listedNodes returns the rows of a node list with all nodes of a rig.
func listedNodes(r *rig) (rows []simulated.ListedNode) {
	for _, n := range r.nodes {
		rows = append(rows, simulated.ListedNode{Name: n.Name, Address: n.Address})
	}
	return rows
}

// The life of streamed versions, in both variants of the protocol. A valid set is acknowledged; a malformed resource, a reference to an
// unknown class and the removal of a class with a query in flight are rejected; an incomplete set waits for its remaining resources. The
// dispatcher goes on without the service, and restarts from its store.
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
			c.SetEndpoints(listedNodes(r), "")
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
					if x.ErrorMessage != "" {
						nacks = append(nacks, x.ErrorMessage)
					} else {
						acks++
					}
				}
				return acks, nacks
			}
			awaitService(t, c, "the node list acknowledged", func() bool { a, _ := replies(); return a == 1 })
			served("SELECT 1")

			c.SetResources(stream.SettingsName, settingsResources(t, 1, func(s *control.Set) {
				s.Classes.Classes = append(s.Classes.Classes, &configv1.Class{Name: "audit", AimUs: 8e6, DeadlineUs: 9e6})
			})...)
			awaitService(t, c, "set 1 acknowledged", func() bool { a, _ := replies(); return a == 6 })
			served("SELECT 1 /* class=audit */")

			checkRejected := func(what, reason string, resources ...*anypb.Any) {
				t.Helper()
				_, before := replies()
				c.SetResources(stream.SettingsName, resources...)
				// Each resource gets a NACK.
				awaitService(t, c, "rejection of "+what, func() bool { _, n := replies(); return len(n) >= len(before)+len(resources) })
				_, n := replies()
				if !strings.Contains(n[len(before)], reason) || number() != 1 {
					t.Errorf("%s: rejected with %q, want %q; set %d is in force, want 1", what, n[len(before)], reason, number())
				}
			}
			checkRejected("a malformed resource", "classes", &anypb.Any{TypeUrl: stream.TypeURL(control.Classes), Value: []byte{0xff}})
			checkRejected("a rule that names an unknown class", "rules[0].class", settingsResources(t, 2, func(s *control.Set) {
				s.Classification.Rules = []*configv1.Rule{{Name: "r", Class: "nobody"}}
			})...)

			// A set without class audit is rejected while a query of that class is in flight, and accepted once the query has ended.
			done := make(chan error, 1)
			go func() {
				_, err := r.query(t.Context(), "SELECT 1 /* class=audit work_ms=700 cost_ms=700 */")
				done <- err
			}()
			r.awaitNodeWith("SELECT 1 /* class=audit work_ms=700 cost_ms=700 */")
			checkRejected("the removal of a class with a query in flight", `class_ends: class "audit"`, settingsResources(t, 3, nil)...)
			if err := <-done; err != nil {
				t.Error(err)
			}
			// An incomplete set gets no reply until its other resources have been received.
			whole := settingsResources(t, 4, nil)
			a, n := replies()
			c.SetResources(stream.SettingsName, whole[:2]...)
			served("SELECT 1 /* class=audit */")
			if a2, n2 := replies(); a2 != a || len(n2) != len(n) || number() != 1 {
				t.Errorf("an incomplete set got %d ACKs and %d NACKs; set %d is in force, want 1", a2-a, len(n2)-len(n), number())
			}
			c.SetResources(stream.SettingsName, whole[2:]...)
			r.awaitControlStatus("set 4 in force", func(s control.Status) bool { return s.Number == 4 })
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if _, err := r.query(ctx, "SELECT 1 /* class=audit */"); err == nil || !strings.Contains(err.Error(), "lookup, report") {
				t.Errorf("a query of a removed class: %v, want an error that lists lookup and report", err)
			}

			// Queries are served while the service is down. A dispatcher restarted meanwhile starts from the last version in its store.
			c.Stop()
			served("SELECT 1 /* class=report */")
			address := r.d.Address()
			r.cancel()
			r.ended <- <-r.ended // waits; start receives the result again
			r.start(address)
			if got := number(); got != 4 {
				t.Errorf("restarted in set %d, want 4", got)
			}
			if err := c.Start(); err != nil {
				t.Fatal(err)
			}
			r.awaitControlStatus("a node list after the restart", func(s control.Status) bool { return s.Versions["nodes"] != "" })
			r.awaitControlStatus("set 4 acknowledged as in force", func(s control.Status) bool { return s.Versions["limits"] != "" })
			served("SELECT 1 /* class=report */")
		})
	}
}
