package backend

import (
	"context"

	"embershunt/internal/flightwire"
)

// SetResources implements dispatch.Fleet. It changes the memory and priority of a query's attempts in flight: the priority alone with a
// command of the platform's protocol, both with a Flight action for attempts in other protocols. Nodes treat the change as advice, so
// that a lost one does little harm.
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

// sendResources sends the action that changes a query's resources to the attempt's node. The action names the query but not the attempt,
// so the call is cancelled when the attempt ends: it must not change the resources of a later attempt.
func (t *attempt) sendResources(request []byte) {
	f := t.fleet
	ctx, cancel := context.WithTimeout(t.ctx, f.options.HealthCheckTimeout)
	defer cancel()
	n := f.acquire(t.spec.Node)
	if n == nil {
		return
	}
	defer f.release(n)
	if conn, err := n.openFlightConn(&f.options); err == nil && conn != nil && ctx.Err() == nil {
		callDiscardingAnswer(ctx, conn, flightwire.MethodDoAction, request)
	}
}
