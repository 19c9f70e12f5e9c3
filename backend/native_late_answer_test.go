package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"embershunt/dispatch"
	"embershunt/internal/native"
	"embershunt/nodelist"
	"embershunt/policy"
)

// lateNativeNode answers a connection's first query with an exception, which ends the answer, and later queries with
// TOO_MANY_SIMULTANEOUS_QUERIES. It sends a superfluous end-of-stream packet after the first exception: together with it, or once the
// next packet has arrived on the connection.
type lateNativeNode struct {
	net.Listener
	endsWithException bool // sends the superfluous packet with the exception
}

// serve serves connections until the listener is closed.
func (n *lateNativeNode) serve() {
	for {
		conn, err := n.Accept()
		if err != nil {
			return
		}
		go n.serveConn(conn)
	}
}

// serveConn serves one connection until it is closed.
func (n *lateNativeNode) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the dispatcher may have closed it
	r := native.NewReader(conn, 1<<20)
	if _, err := r.ReadHello(); err != nil {
		return
	}
	_, _ = conn.Write(native.ServerInfo{Name: "n", Revision: native.NewestRevision}.Encode())
	if r.ReadAddendum(native.NewestRevision) != nil {
		return
	}
	answer := (&native.Exception{Code: 241, Name: "DB::Exception", Message: "DB::Exception: memory"}).Encode()
	if n.endsWithException {
		answer = append(answer, native.ServerEndOfStream)
	}
	for queries := 0; ; {
		code, err := r.ReadClientPacketCode()
		if err != nil {
			return
		}
		if queries == 1 && !n.endsWithException {
			_, _ = conn.Write([]byte{native.ServerEndOfStream}) // a failed write shows in the attempt's end
		}
		switch code {
		case native.ClientPing:
			_, _ = conn.Write([]byte{native.ServerPong})
			continue
		case native.ClientQuery:
			_, err = r.ReadQuery(native.NewestRevision)
		case native.ClientData:
			_, _, err = r.ReadClientData(native.NewestRevision)
		}
		if err != nil || code != native.ClientData {
			continue
		}
		queries++
		_, _ = conn.Write(answer)
		answer = (&native.Exception{Code: tooManyQueriesCode, Name: "DB::Exception", Message: "DB::Exception: full"}).Encode()
	}
}

// A packet that a node sends after the end of an answer is not taken for the answer to the next query on the connection. An end-of-stream
// packet would make that query look successful.
func TestLateNativeAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		endsWithException bool
		code              policy.Code
	}{"late packet with the previous answer": {true, policy.Failed}, "late packet when the next query arrives": {false, policy.Failed}} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer closeConn(t, l)
			go (&lateNativeNode{l, c.endsWithException}).serve()
			f := New(Options{Clock: dispatch.NewClock(), ConnectTimeout: 200 * time.Millisecond})
			recorder := eventRecorder{make(chan dispatch.Event, 100)}
			f.Bind(recorder)
			defer closeFleet(t, f)
			if err := f.SetNodes([]nodelist.Node{{ID: "n", NativeAddress: l.Addr().String()}}); err != nil {
				t.Fatal(err)
			}
			for number := range 2 {
				if end := sendNative(t, f, recorder, number); end.Code != c.code {
					t.Errorf("attempt %d: code %d (%v), want %d", number, end.Code, end.Err, c.code)
				}
			}
		})
	}
}

// sendNative sends an attempt of a query and waits for its end.
func sendNative(t *testing.T, f *Fleet, recorder eventRecorder, number int) dispatch.AttemptEnded {
	t.Helper()
	call := native.Call{Query: native.Query{Text: "SELECT 1", ID: "q", Info: []byte{0}, Stage: 2}, Revision: native.NewestRevision, Sink: &discardSink{},
		Tables: native.EmptyDataPacket()}
	now := f.clock.Now()
	f.Send(dispatch.Attempt{Query: &dispatch.Query{ID: "q", Payload: &call, Deadline: now + 1e7},
		Number: number, Node: "n", Deadline: now + 3e6})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			t.Fatal("the attempt did not end within 5 s")
		case ev := <-recorder.events:
			if ended, ok := ev.(dispatch.AttemptEnded); ok {
				return ended
			}
		}
	}
}
