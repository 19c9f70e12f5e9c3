package backend

import (
	"context"

	"embershunt/internal/flightwire"
)

// SetResources implements dispatch.Fleet: it changes the memory and priority of a query's attempts in flight. The platform's
// protocol has a command for the priority; other nodes get a Flight action. It is advice: losing it costs little.
func (f *Fleet) SetResources(id string, memoryMB float64, priority int) {
	body := flightwire.AppendBytes(nil, 1, id)
	body = flightwire.AppendVarint(body, 2, uint64(priority)+1)
	body = flightwire.AppendVarint(body, 3, uint64(max(0, memoryMB)))
	request := flightwire.Action{Type: flightwire.ActionResources, Body: body}.Encode()
	f.mu.Lock()
	var attempts []*attempt
	for _, t := range f.attempts[id] {
		if p, ok := t.protocol.(*platformAttempt); ok {
			f.group.Go(func() error { p.setPriority(priority); return nil })
			continue
		}
		attempts = append(attempts, t)
	}
	f.mu.Unlock()
	for _, t := range attempts {
		f.group.Go(func() error { t.sendResources(request); return nil })
	}
}

// sendResources sends the attempt's node the action that changes a query's resources. The action names the query alone: it ends with
// the attempt, so that it does not change those of a further one.
func (t *attempt) sendResources(request []byte) {
	f := t.fleet
	ctx, cancel := context.WithTimeout(t.ctx, f.options.HealthCheckTimeout)
	defer cancel()
	n := f.acquire(t.spec.Node)
	if n == nil {
		return
	}
	defer f.release(n)
	if conn, err := n.flightDial(&f.options); err == nil && conn != nil && ctx.Err() == nil {
		callDiscardingAnswer(ctx, conn, flightwire.MethodDoAction, request)
	}
}
