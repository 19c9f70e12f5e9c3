package scenario

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"embershunt/internal/clock"
	"embershunt/simulated"
)

// injectFault waits for the time of a fault, injects it and ends it.
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
		e.setListFault(f.Kind[len("list_"):])
		clock.Sleep(ctx, f.For.D())
		e.setListFault("")
		return nil
	}
	var group errgroup.Group
	for _, n := range f.Nodes {
		group.Go(func() error { return e.injectNodeFault(ctx, f, n) })
	}
	return group.Wait()
}

// setListFault has the control service send an "empty" or "malformed" node list; "" restores the list.
func (e *environment) setListFault(fault string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listFault = fault
	e.control.SetEndpoints(e.listedNodes(), fault)
}

// injectNodeFault injects a fault into node or dispatcher i and ends it.
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
			e.updateList(ctx, func(rows []simulated.ListedNode) []simulated.ListedNode { return removeNode(rows, n.Name) })
			return nil
		})
		clock.Sleep(ctx, f.For.D())
		_ = group.Wait() // its goroutine returns no error
		return e.restartNode(ctx, i)
	case "drain": // the node is listed as draining, then stops, and restarts as a new process
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
	n.SetFaults(simulated.Faults{Hang: f.Kind == "hang", LoseAnswers: f.Kind == "lose", RejectQueries: f.Kind == "full",
		StallAfterRows: valueForKind(f, "stall", f.Rows), CutAfterRows: valueForKind(f, "cut", f.Rows),
		FailShare: valueForKind(f, "fail", f.Share), SlowFactor: valueForKind(f, "slow", f.SlowFactor),
		PauseFor: valueForKind(f, "pause", f.Pause.D()), PauseInterval: valueForKind(f, "pause", f.PauseInterval.D())})
	clock.Sleep(ctx, f.For.D())
	n.SetFaults(simulated.Faults{})
	return nil
}

// valueForKind returns v for a fault of the kind, and the zero value for other faults.
func valueForKind[T any](f *Fault, kind string, v T) (zero T) {
	if f.Kind == kind {
		return v
	}
	return zero
}

// removeNode returns the rows of all nodes but the named one.
func removeNode(rows []simulated.ListedNode, name string) []simulated.ListedNode {
	var out []simulated.ListedNode
	for _, r := range rows {
		if r.Name != name {
			out = append(out, r)
		}
	}
	return out
}

// restartNode starts a new, cold process of node i and adds it to the node list. Once ctx has ended, it only stops the node.
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
	zone, kind := e.placementOf(i)
	e.updateList(ctx, func(rows []simulated.ListedNode) []simulated.ListedNode {
		return append(removeNode(rows, n.Name), simulated.ListedNode{Name: n.Name, Address: n.Address, NativeAddress: n.NativeAddress,
			Zone: zone, Kind: kind, Started: n.Started()})
	})
	return nil
}
