package backend

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"embershunt/internal/flightwire"
)

// releaseTimeout bounds the time for a node to end a session's state.
const releaseTimeout = 2 * time.Second

// Release implements frontend.Releaser: it asks a node to end what it holds of a session: its transaction where the node's handle
// of that is known, else all that it holds under the session's name. done is told whether the node did; it is not called when the
// fleet closes.
func (f *Fleet) Release(node, session string, handle []byte, done func(ok bool)) {
	if f.dropSession(session) {
		f.spawn(func() { done(true) })
		return
	}
	action := flightwire.Action{Type: flightwire.ActionRelease, Body: []byte(session)}
	if handle != nil {
		body := flightwire.AppendVarint(flightwire.AppendBytes(nil, 1, handle), 2, flightwire.EndRollback)
		action = flightwire.Action{Type: "EndTransaction", Body: flightwire.NewCommand("ActionEndTransactionRequest", body)}
	}
	f.spawn(func() { done(f.doAction(node, session, action) == nil) })
}

// doAction runs one action on a node and waits for its end. A node that holds nothing of the session any more is no error.
func (f *Fleet) doAction(node, session string, a flightwire.Action) error {
	n := f.acquire(node)
	if n == nil {
		return errUnknownNode
	}
	defer f.release(n)
	ctx, cancel := context.WithTimeout(f.ctx, releaseTimeout)
	defer cancel()
	conn, err := n.flightReady(ctx, &f.options)
	if err != nil {
		return err
	}
	ctx = metadata.AppendToOutgoingContext(ctx, flightwire.HeaderSession, session)
	s, err := conn.NewStream(ctx, bidirectional, flightwire.MethodDoAction)
	if err != nil {
		return err
	}
	if err = s.SendMsg(flightwire.NewFrame(a.Encode())); err == nil {
		err = s.CloseSend()
	}
	for err == nil || errors.Is(err, io.EOF) { // a send that fails with io.EOF leaves the status to the receive
		var m flightwire.Frame
		if err = s.RecvMsg(&m); errors.Is(err, io.EOF) {
			return nil
		}
		m.Free()
	}
	if status.Code(err) == codes.NotFound {
		return nil
	}
	return err
}
