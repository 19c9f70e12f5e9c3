package simulated

import (
	"context"
	"time"

	"embershunt/internal/clock"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Faults are the faults that a node simulates. The zero value has none.
type Faults struct {
	Hang           bool          // queries and transaction actions are accepted and never answered
	LoseAnswers    bool          // queries run, but their answers are never sent; health checks succeed
	StallAfterRows int           // answers stall for ever after this many rows; 0: no stall
	CutAfterRows   int           // answers are cut off after this many rows; 0: no cut
	FailShare      float64       // share of queries, from 0 to 1, that fail immediately
	SlowFactor     float64       // the cores' speed is divided by this; at most 1: no effect
	PauseFor       time.Duration // the machine pauses for this long ...
	PauseInterval  time.Duration // ... this long after the end of each pause
	RejectQueries  bool          // queries are rejected before they run, as by a node that has too many
	FailMidAnswer  bool          // answers end with an exception after their first block of rows (native protocol only)
}

// SetFaults replaces the node's faults. They also apply to running queries.
func (n *Node) SetFaults(f Faults) {
	n.mu.Lock()
	n.currentFaults = f
	p := n.process
	n.mu.Unlock()
	if p != nil {
		n.applyFaults(p)
	}
}

// faults returns the faults set last.
func (n *Node) faults() Faults {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentFaults
}

// applyFaults sets the machine's speed by the SlowFactor fault, and ends a pause.
func (n *Node) applyFaults(p *process) {
	f := n.faults()
	p.machine.update(func() {
		p.machine.speed = 1
		if f.SlowFactor > 1 {
			p.machine.speed = 1 / f.SlowFactor
		}
		p.machine.paused = false
	})
}

// injectPauses pauses the machine by the faults PauseFor and PauseInterval until ctx ends. Between pauses it rolls back idle
// transactions.
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

// failByFault applies the Hang and FailShare faults to a transaction action, before the action has an effect.
func (n *Node) failByFault(ctx context.Context) error {
	f := n.faults()
	n.mu.Lock()
	draw := n.rng.Float64()
	n.mu.Unlock()
	switch {
	case f.Hang:
		<-ctx.Done()
		return ctx.Err()
	case draw < f.FailShare:
		return status.Error(codes.Internal, "failed at once")
	}
	return nil
}

// loseAnswer blocks until ctx ends if the LoseAnswers fault is set, so that the answer is never sent.
func (n *Node) loseAnswer(ctx context.Context) error {
	if !n.faults().LoseAnswers {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}
