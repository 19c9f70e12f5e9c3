package simulated

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// progressInterval is how often a running statement reports its progress.
const progressInterval = 50 * time.Millisecond

// runStatement runs a statement on the machine and applies the faults. Unless onProgress is nil, it is called every progressInterval
// with the share of the work that is done. An update whose token was claimed before is recorded as deduplicated.
func (n *Node) runStatement(ctx context.Context, p *process, attempt *AttemptRecord, h hints, onProgress func(share float64)) error {
	defer func() { n.change(func() { attempt.End = time.Now() }) }()
	if err := n.failBeforeWork(ctx, attempt); err != nil {
		return err
	}
	if h.fail != "" {
		return status.Error(codes.InvalidArgument, h.fail)
	}
	if err := n.runJob(ctx, p, attempt, h, onProgress); err != nil {
		return err
	}
	n.mu.Lock()
	tokens := n.tokens
	n.mu.Unlock()
	applied := tokens == nil || attempt.Token == "" || tokens.claim(attempt.Token)
	n.change(func() { attempt.Ran, attempt.Deduplicated = applied, !applied })
	return n.loseAnswer(ctx)
}

// failBeforeWork applies the RejectQueries, FailShare and Hang faults to a statement before it runs.
func (n *Node) failBeforeWork(ctx context.Context, attempt *AttemptRecord) error {
	f := n.faults()
	n.mu.Lock()
	draw := n.rng.Float64()
	n.mu.Unlock()
	switch {
	case f.RejectQueries:
		_ = grpc.SetTrailer(ctx, metadata.Pairs("embershunt-ran", "no")) // the native protocol has no trailers
		return status.Error(codes.ResourceExhausted, "too many sessions")
	case draw < f.FailShare:
		return status.Error(codes.Internal, "failed at once")
	case f.Hang:
		<-ctx.Done()
		n.change(func() { attempt.Cancelled = true })
		return ctx.Err()
	}
	return nil
}

// runJob runs a statement's job until it is done or ctx ends, with the memory grant and priority from the call headers.
func (n *Node) runJob(ctx context.Context, p *process, attempt *AttemptRecord, h hints, onProgress func(share float64)) error {
	grantedMB := numberHeader(ctx, "embershunt-memory-mb", 0)
	priority := int(numberHeader(ctx, "embershunt-priority", 1))
	j, remove := p.machine.addJob(attempt.Query, h.work.Seconds(), h.threads, h.memoryMB, grantedMB, priority)
	var tick <-chan time.Time
	if onProgress != nil {
		t := time.NewTicker(progressInterval)
		defer t.Stop()
		tick = t.C
	}
	for {
		select {
		case <-j.done:
			return nil
		case <-tick:
			onProgress(p.machine.progress(j))
		case <-ctx.Done():
			remove()
			n.change(func() { attempt.Cancelled = true })
			return ctx.Err()
		}
	}
}

// numberHeader returns the number in a call header, or fallback if the header is missing or not a number.
func numberHeader(ctx context.Context, name string, fallback float64) float64 {
	md, _ := metadata.FromIncomingContext(ctx)
	if values := md.Get(name); len(values) > 0 {
		if x, err := strconv.ParseFloat(values[0], 64); err == nil {
			return x
		}
	}
	return fallback
}

// Priority returns the priority of a running query, from 0 (low) to 3; -1 if it is not running.
func (n *Node) Priority(query string) int {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	if p == nil {
		return -1
	}
	p.machine.mu.Lock()
	defer p.machine.mu.Unlock()
	for _, j := range p.machine.jobs {
		if j.id == query {
			return j.priority
		}
	}
	return -1
}
