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

// lateNativeNode answers a connection's first query with an error, and later ones with the word that it is full. The end of an answer
// comes behind the first error, or when more has arrived on the connection.
type lateNativeNode struct {
	net.Listener
	atOnce bool
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

// serveConn serves one connection to its end.
func (n *lateNativeNode) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the dispatcher may have closed it
	r := native.NewReader(conn, 1<<20)
	if _, err := r.ReadHello(); err != nil {
		return
	}
	_, _ = conn.Write(native.Server{Name: "n", Revision: native.NewestRevision}.Encode())
	if r.ReadAddendum(native.NewestRevision) != nil {
		return
	}
	answer := (&native.Exception{Code: 241, Name: "DB::Exception", Message: "DB::Exception: memory"}).Encode()
	if n.atOnce {
		answer = append(answer, native.ServerEndOfStream)
	}
	for queries := 0; ; {
		code, err := r.ReadClient()
		if err != nil {
			return
		}
		if queries == 1 && !n.atOnce {
			_, _ = conn.Write([]byte{native.ServerEndOfStream}) // a failure shows at the other end
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

// What a node sends behind the end of an answer is not taken for the answer to the next query on the connection.
func TestLateNativeAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		atOnce bool
		code   policy.Code
	}{"with the answer before": {true, policy.Failed}, "when the next query comes": {false, policy.Failed}} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer closeConn(t, l)
			go (&lateNativeNode{l, c.atOnce}).serve()
			f := New(Options{Clock: dispatch.NewClock(), ConnectTimeout: 200 * time.Millisecond})
			recorder := eventRecorder{make(chan dispatch.Event, 100)}
			f.Bind(recorder)
			defer closeFleet(t, f)
			if err := f.SetNodes([]nodelist.Node{{ID: "n", Native: l.Addr().String()}}); err != nil {
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

// sendNative sends an attempt of one query and waits for its end.
func sendNative(t *testing.T, f *Fleet, recorder eventRecorder, number int) dispatch.AttemptEnded {
	t.Helper()
	call := native.Call{Query: native.Query{Text: "SELECT 1", ID: "q", Info: []byte{0}, Stage: 2}, Revision: native.NewestRevision, Sink: &discardSink{},
		Tables: native.EndOfData()}
	now := f.clock.Now()
	f.Send(dispatch.Attempt{Query: &dispatch.Query{ID: "q", Work: &call, Deadline: now + 1e7}, Number: number, Node: "n", Deadline: now + 3e6})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			t.Fatal("no end in 5 s")
		case ev := <-recorder.events:
			if ended, ok := ev.(dispatch.AttemptEnded); ok {
				return ended
			}
		}
	}
}
