package scenario

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"embershunt/internal/clock"
	"embershunt/simulated"
)

// injectFault plays one fault from its begin to its end.
func (e *environment) injectFault(ctx context.Context, f *Fault) error {
	if !clock.Sleep(ctx, time.Until(e.begin.Add(f.At.D()))) {
		return nil
	}
	e.log.Info("fault", "do", f.Kind, "nodes", f.Nodes, "for", f.For.D())
	switch f.Kind {
	case "list_down":
		e.control.Stop()
		clock.Sleep(ctx, f.For.D())
		return e.control.Start()
	case "list_empty", "list_malformed":
		e.spoilList(f.Kind[len("list_"):])
		clock.Sleep(ctx, f.For.D())
		e.spoilList("")
		return nil
	}
	var group errgroup.Group
	for _, n := range f.Nodes {
		group.Go(func() error { return e.injectNodeFault(ctx, f, n) })
	}
	return group.Wait()
}

func (e *environment) spoilList(what string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listFault = what
	e.control.Set(e.listedNodes(), what)
}

// injectNodeFault plays a fault of one node or dispatcher.
func (e *environment) injectNodeFault(ctx context.Context, f *Fault, i int) error {
	if f.Kind == "kill" {
		return e.killDispatcher(ctx, f, i)
	}
	n := e.nodes[i]
	switch f.Kind {
	case "die", "vanish":
		if f.Kind == "die" {
			n.Crash()
		} else {
			n.Freeze()
		}
		var group errgroup.Group
		group.Go(func() error {
			e.updateList(ctx, func(rows []simulated.ListedNode) []simulated.ListedNode { return without(rows, n.Name) })
			return nil
		})
		clock.Sleep(ctx, f.For.D())
		_ = group.Wait() // its goroutine returns no error
		return e.restartNode(ctx, i)
	case "drain": // it finishes its work, leaves, and comes back as a new process
		e.updateList(ctx, func(rows []simulated.ListedNode) []simulated.ListedNode {
			for j := range rows {
				rows[j].Draining = rows[j].Draining || rows[j].Name == n.Name
			}
			return rows
		})
		if !clock.Sleep(ctx, f.For.D()) {
			return nil
		}
		n.Crash()
		return e.restartNode(ctx, i)
	}
	n.SetFaults(simulated.Faults{Hang: f.Kind == "hang", LoseAnswers: f.Kind == "lose", Full: f.Kind == "full", StallRow: whenKind(f, "stall", f.Rows),
		CutRow: whenKind(f, "cut", f.Rows), Fail: whenKind(f, "fail", f.Share), Slow: whenKind(f, "slow", f.Times),
		PauseFor: whenKind(f, "pause", f.Pause.D()), PauseInterval: whenKind(f, "pause", f.Each.D())})
	clock.Sleep(ctx, f.For.D())
	n.SetFaults(simulated.Faults{})
	return nil
}

func whenKind[T any](f *Fault, do string, v T) (none T) {
	if f.Kind == do {
		return v
	}
	return none
}

func without(rows []simulated.ListedNode, name string) []simulated.ListedNode {
	var out []simulated.ListedNode
	for _, r := range rows {
		if r.Name != name {
			out = append(out, r)
		}
	}
	return out
}

// restartNode starts a node anew, cold, and lists it.
func (e *environment) restartNode(ctx context.Context, i int) error {
	n := e.nodes[i]
	n.Crash()
	if ctx.Err() != nil {
		return nil
	}
	if err := n.Start("", true); err != nil { //nolint:contextcheck // the node ends with Crash
		return err
	}
	e.mu.Lock()
	e.restarts = append(e.restarts, restart{n.Name, n.Started()})
	e.mu.Unlock()
	hall, kind := e.placementOf(i)
	e.updateList(ctx, func(rows []simulated.ListedNode) []simulated.ListedNode {
		return append(without(rows, n.Name), simulated.ListedNode{Name: n.Name, Address: n.Address, Native: n.Native, Zone: hall, Kind: kind,
			Started: n.Started()})
	})
	return nil
}
