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

// platformFleet is a fleet whose nodes n0, n1 and so on speak the platform's protocol.
type platformFleet struct {
	*Fleet
	t        *testing.T
	events   eventRecorder
	clock    dispatch.Clock
	progress []policy.Progress // reports received so far by end

	startBefore policy.Micros // StartBefore of the attempts that send starts
}

// newPlatformFleet returns a fleet with a node at each address. The test's cleanup closes the fleet.
func newPlatformFleet(t *testing.T, o Options, addresses ...string) *platformFleet {
	t.Helper()
	f := &platformFleet{t: t, clock: dispatch.NewClock(), events: eventRecorder{make(chan dispatch.Event, 10000)}}
	o.Clock, o.ConnectTimeout = f.clock, 200*time.Millisecond
	f.Fleet = New(o)
	f.Bind(f.events)
	t.Cleanup(func() { closeFleet(t, f.Fleet) })
	var nodes []nodelist.Node
	for i, a := range addresses {
		nodes = append(nodes, nodelist.Node{ID: fmt.Sprintf("n%d", i), PlatformAddress: a})
	}
	f.setNodes(nodes)
	return f
}

// closeFleet closes a fleet and fails the test on an error.
func closeFleet(t *testing.T, f *Fleet) {
	t.Helper()
	if err := f.Close(); err != nil {
		t.Error(err)
	}
}

// setNodes applies a node list.
func (f *platformFleet) setNodes(nodes []nodelist.Node) {
	f.t.Helper()
	if err := f.SetNodes(nodes); err != nil {
		f.t.Fatal(err)
	}
}

// send starts attempt n of the query "q-"+id with a timeout.
func (f *platformFleet) send(id string, n int, node string, timeout time.Duration) {
	now := f.clock.Now()
	f.Send(dispatch.Attempt{Query: &dispatch.Query{ID: "q-" + id, Deadline: now + 1e7, Payload: &lineproto.Request{ID: id, Class: "lookup",
		Text: "SELECT 1", Priority: -1}}, Number: n, Node: node, Deadline: now + timeout.Microseconds(), StartBefore: f.startBefore})
}

// end waits for the end of an attempt, and collects the progress reports before it.
func (f *platformFleet) end() dispatch.AttemptEnded {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			f.t.Fatal("no attempt ended within 5 s")
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

// rowsOf returns a result's rows as text on one line.
func rowsOf(r any) string {
	result, ok := r.(*lineproto.Result)
	if !ok {
		return ""
	}
	var b strings.Builder
	result.Rows(func(c [][]byte) { fmt.Fprintf(&b, "%s|%s|%s;", c[0], c[1], c[2]) })
	return b.String()
}

// eventRecorder is a Poster that puts the events of a fleet into a channel.
type eventRecorder struct{ events chan dispatch.Event }

// Post implements Poster.
func (r eventRecorder) Post(ev dispatch.Event) { r.events <- ev }

// reply writes a node's answer. It ignores errors: the fleet may have closed the connection, which shows in the attempt's end.
func reply(c io.Writer, answer string) { _, _ = io.WriteString(c, answer) }

// closeConn closes a node's connection or listener and fails the test on an error.
func closeConn(t *testing.T, c io.Closer) {
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
