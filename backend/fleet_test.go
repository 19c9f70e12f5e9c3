package backend

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"embershunt/dispatch"
	"embershunt/internal/lineproto"
	"embershunt/nodelist"
	"embershunt/policy"
)

// platformFleet is a fleet with nodes that speak the platform's protocol: n0, n1 and so on.
type platformFleet struct {
	*Fleet
	t        *testing.T
	events   eventRecorder
	clock    dispatch.Clock
	progress []policy.Progress // reported before the last end

	startBefore policy.Micros // of the attempts sent
}

func newPlatformFleet(t *testing.T, o Options, addresses ...string) *platformFleet {
	t.Helper()
	f := &platformFleet{t: t, clock: dispatch.NewClock(), events: eventRecorder{make(chan dispatch.Event, 10000)}}
	o.Clock, o.ConnectTimeout = f.clock, 200*time.Millisecond
	f.Fleet = New(o)
	f.Bind(f.events)
	t.Cleanup(func() { closeFleet(t, f.Fleet) })
	var nodes []nodelist.Node
	for i, a := range addresses {
		nodes = append(nodes, nodelist.Node{ID: fmt.Sprintf("n%d", i), Platform: a})
	}
	f.setNodes(nodes)
	return f
}

// closeFleet closes a fleet at the end of its test.
func closeFleet(t *testing.T, f *Fleet) {
	t.Helper()
	if err := f.Close(); err != nil {
		t.Error(err)
	}
}

// setNodes puts a node list in force.
func (f *platformFleet) setNodes(nodes []nodelist.Node) {
	f.t.Helper()
	if err := f.SetNodes(nodes); err != nil {
		f.t.Fatal(err)
	}
}

// send starts an attempt of the query "q-"+id.
func (f *platformFleet) send(id string, n int, node string, within time.Duration) {
	now := f.clock.Now()
	f.Send(dispatch.Attempt{Query: &dispatch.Query{ID: "q-" + id, Deadline: now + 1e7, Work: &lineproto.Request{ID: id, Class: "lookup",
		Text: "SELECT 1", Priority: -1}}, Number: n, Node: node, Deadline: now + within.Microseconds(), StartBefore: f.startBefore})
}

// end waits for the end of an attempt.
func (f *platformFleet) end() dispatch.AttemptEnded {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			f.t.Fatal("no end in 5 s")
		case ev := <-f.events.events:
			switch ev := ev.(type) {
			case dispatch.AttemptEnded:
				return ev
			case dispatch.PolicyEvent:
				if p, ok := ev.Event.(policy.Progress); ok {
					f.progress = append(f.progress, p)
				}
			}
		}
	}
}

// rowsOf writes a result's rows in one line.
func rowsOf(r any) string {
	result, ok := r.(*lineproto.Result)
	if !ok {
		return ""
	}
	var b strings.Builder
	result.Rows(func(c [][]byte) { fmt.Fprintf(&b, "%s|%s|%s;", c[0], c[1], c[2]) })
	return b.String()
}

// eventRecorder records the events of a fleet.
type eventRecorder struct{ events chan dispatch.Event }

func (t eventRecorder) Post(ev dispatch.Event) { t.events <- ev }

// reply writes an answer as a node; the fleet may have closed the connection, which the test sees by the attempt's end.
func reply(c io.Writer, answer string) { _, _ = io.WriteString(c, answer) }

// closeConn closes a connection as a node.
func closeConn(t *testing.T, c io.Closer) {
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
