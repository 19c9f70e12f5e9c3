package simulated

import (
	"context"
	"time"

	"embershunt/internal/clock"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Faults are faults of a node. The zero value has none.
type Faults struct {
	Hang          bool          // queries are accepted and never answered
	LoseAnswers   bool          // queries run and their answers are lost; health checks succeed
	StallRow      int           // answers stop after this many rows, for good; 0: no
	CutRow        int           // answers break off after this many rows; 0: no
	Fail          float64       // share of queries failed at once
	Slow          float64       // speed is divided by this; 0 or 1: no
	PauseFor      time.Duration // the machine stands still for this long ...
	PauseInterval time.Duration // ... this often
	Full          bool          // queries are rejected before they run
	Broken        bool          // answers end with an error behind their first rows (native protocol only)
}

// SetFaults sets the faults, also for queries that are running.
func (n *Node) SetFaults(f Faults) {
	n.mu.Lock()
	n.currentFaults = f
	p := n.process
	n.mu.Unlock()
	if p != nil {
		n.applyFaults(p)
	}
}

// faults are those set last.
func (n *Node) faults() Faults {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentFaults
}

// applyFaults sets the machine's speed.
func (n *Node) applyFaults(p *process) {
	f := n.faults()
	p.machine.update(func() {
		p.machine.speed = 1
		if f.Slow > 1 {
			p.machine.speed = 1 / f.Slow
		}
		p.machine.paused = false
	})
}

// injectPauses stops the machine now and then where the faults say so, and rolls idle transactions back.
func (n *Node) injectPauses(ctx context.Context, p *process) {
	for {
		n.rollBackIdle()
		f := n.faults()
		if f.PauseFor == 0 {
			if !clock.Sleep(ctx, 50*time.Millisecond) {
				return
			}
			continue
		}
		p.machine.update(func() { p.machine.paused = true })
		ok := clock.Sleep(ctx, f.PauseFor)
		p.machine.update(func() { p.machine.paused = false })
		if !ok || !clock.Sleep(ctx, f.PauseInterval) {
			return
		}
	}
}

// failByFault is what faults do to a transaction action before it has an effect.
func (n *Node) failByFault(ctx context.Context) error {
	f := n.faults()
	n.mu.Lock()
	chance := n.rng.Float64()
	n.mu.Unlock()
	switch {
	case f.Hang:
		<-ctx.Done()
		return ctx.Err()
	case chance < f.Fail:
		return status.Error(codes.Internal, "failed at once")
	}
	return nil
}

// loseAnswer withholds an answer, until ctx ends, where the faults say so.
func (n *Node) loseAnswer(ctx context.Context) error {
	if !n.faults().LoseAnswers {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}
