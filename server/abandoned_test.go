package server_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"embershunt/internal/native"
	"embershunt/simulated"
)

// A native client that leaves or cancels behind packets that are unread while its query runs ends its query.
func TestNativeClientLeavesBehindUnreadPackets(t *testing.T) {
	pings := bytes.Repeat([]byte{native.ClientPing}, 100_000)
	for name, leave := range map[string]func(c *rawNative){
		"closes":  func(c *rawNative) { closeQuietly(c) },
		"cancels": func(c *rawNative) { c.send([]byte{native.ClientCancel}) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "")
			c := r.rawNative(t)
			c.ask(longQuery)
			if err := r.nodes[0].Await(t.Context(), func(s []simulated.AttemptRecord) bool { return len(s) == 1 }); err != nil {
				t.Fatal(err)
			}
			c.send(pings)
			leave(c)
			if err := r.nodes[0].Await(t.Context(), anyCancelled); err != nil {
				t.Error("the attempt was not cancelled on the node: ", err)
			}
		})
	}
}

// No attempt begins for calls that a Flight SQL client has cancelled while they were queued.
func TestFlightClientCancelsQueuedCalls(t *testing.T) {
	const calls = 300
	const tolerance = 100 * time.Millisecond // after the client has gone, as permit has it
	r := newRig(t, 1, "")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	for range calls {
		group.Go(func() { _, _ = r.query(ctx, longQuery) }) // its error does not matter: the client leaves
	}
	if err := r.nodes[0].Await(t.Context(), func(s []simulated.AttemptRecord) bool { return len(s) > 0 }); err != nil {
		t.Fatal(err)
	}
	cancel()
	left := time.Now()
	group.Wait()
	next := r.native(t, "u")
	defer closeQuietly(next)
	if _, err := selectNative(t.Context(), next, "SELECT 1 /* rows=2 */"); err != nil {
		t.Errorf("the next client: %v", err)
	}
	for _, a := range r.nodes[0].Attempts() {
		if a.Statement == longQuery && a.At.After(left.Add(tolerance)) {
			t.Errorf("an attempt began %v after its client had gone", a.At.Sub(left))
		}
	}
}
