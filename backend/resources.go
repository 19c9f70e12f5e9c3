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
	var nodes []string
	for _, t := range f.attempts[id] {
		if p, ok := t.protocol.(*platformAttempt); ok {
			f.group.Go(func() error { p.setPriority(priority); return nil })
			continue
		}
		nodes = append(nodes, t.spec.Node)
	}
	f.mu.Unlock()
	for _, node := range nodes {
		f.group.Go(func() error { f.sendResources(node, request); return nil })
	}
}

// sendResources sends a node the action that changes a query's resources.
func (f *Fleet) sendResources(node string, request []byte) {
	ctx, cancel := context.WithTimeout(f.ctx, f.options.HealthCheckTimeout)
	defer cancel()
	n := f.acquire(node)
	if n == nil {
		return
	}
	defer f.release(n)
	if conn, err := n.flightDial(&f.options); err == nil && conn != nil {
		callDiscardingAnswer(ctx, conn, flightwire.MethodDoAction, request)
	}
}
