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

// releaseTimeout bounds how long a node may take to release a session's state.
const releaseTimeout = 2 * time.Second

// Release implements frontend.Releaser. It ends a session's state: it closes the session's native connection if there is one.
// Otherwise it asks the node to roll back the transaction with this handle or, if handle is nil, to release all state under the
// session's name. done receives whether that succeeded; it is not called once the fleet is closing.
func (f *Fleet) Release(node, session string, handle []byte, done func(ok bool)) {
	if f.closeSessionConn(session) {
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

// doAction runs one action for a session on a node and waits until it has ended. It is not an error if the node has no state of the
// session any more (NOT_FOUND).
func (f *Fleet) doAction(node, session string, a flightwire.Action) error {
	n := f.acquire(node)
	if n == nil {
		return errUnknownNode
	}
	defer f.release(n)
	ctx, cancel := context.WithTimeout(f.ctx, releaseTimeout)
	defer cancel()
	conn, err := n.awaitFlightConn(ctx, &f.options)
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
	for err == nil || errors.Is(err, io.EOF) { // after a send that failed with io.EOF the receive has the status
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
