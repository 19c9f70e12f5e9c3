package server_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/anypb"

	"embershunt/config"
	"embershunt/control"
	"embershunt/control/stream"
	"embershunt/server"
	"embershunt/simulated"
)

var dispatcherCount = flag.Int("many", 8, "dispatchers in TestManyDispatchers; 140 is the documented size; above 100, "+
	"TestIdleNativeConnections opens 10000 connections instead of 2000")

// Many dispatchers share one control service, half of them with delta streams. After each version, with the service stopped and after
// its return, every dispatcher has the same set in force and has sent the expected number of ACKs and NACKs.
func TestManyDispatchers(t *testing.T) {
	c := simulated.NewControl("nodes")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	node := simulated.NewNode("node-0", simulated.MachineModel{}, 1)
	if err := node.Start("127.0.0.1:0", false); err != nil {
		t.Fatal(err)
	}
	defer node.Crash()
	c.SetEndpoints([]simulated.ListedNode{{Name: "node-0", Address: node.Address}}, "")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	all, ended := startDispatchers(ctx, t, c)
	defer func() {
		cancel()
		for range all.dispatchers {
			_ = awaitEnd(ended) // its context was cancelled
		}
	}()
	awaitService(t, c, "a stream of each dispatcher", func() bool { return len(c.StreamStarts()) == *dispatcherCount })
	put := func(resources []*anypb.Any) func() {
		return func() { c.SetResources(stream.SettingsName, resources...) }
	}
	all.pushAndAwait(t, "a valid version", 1, 5, 0, put(settingsResources(t, 1, nil)))
	all.pushAndAwait(t, "a malformed version", 1, 5, 1, put([]*anypb.Any{{TypeUrl: stream.TypeURL(control.Limits), Value: []byte{0xff}}}))
	all.pushAndAwait(t, "a set number used twice", 1, 9, 2, put(settingsResources(t, 1, func(s *control.Set) { s.Limits.Attempts = 2 })))
	all.pushAndAwait(t, "a valid version after those", 2, 14, 2, put(settingsResources(t, 2, nil)))
	// Every dispatcher rejects a node list that would leave it without nodes, and keeps the one before.
	c.SetEndpoints(nil, "")
	awaitService(t, c, "a rejection of the empty node list by each dispatcher", func() bool {
		rejected := map[string]bool{}
		for _, r := range c.Replies() {
			if strings.Contains(r.ErrorMessage, "floor") {
				rejected[r.Dispatcher] = true
			}
		}
		return len(rejected) == *dispatcherCount
	})
	c.SetEndpoints([]simulated.ListedNode{{Name: "node-0", Address: node.Address}}, "")
	t.Logf("resources sent: %d bytes in total, %d bytes per dispatcher", c.BytesSent(), c.BytesSent() / *dispatcherCount)
	c.Stop()
	for _, d := range all.dispatchers {
		if s, _ := d.ControlStatus(); s.Number != 2 {
			t.Errorf("with the service stopped, set %d is in force, want 2", s.Number)
		}
	}
	<-time.After(1200 * time.Millisecond) // with reconnect_most 500ms, every backoff has reached its limit by then
	begin, before := time.Now(), len(c.StreamStarts())
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	all.pushAndAwait(t, "the service is back", 2, 19, 2, func() {})
	var reconnects []time.Duration // after the service's return
	for _, at := range c.StreamStarts()[before:] {
		reconnects = append(reconnects, at.Sub(begin))
	}
	slices.Sort(reconnects)
	peak := 0 // most reconnects within 50 ms
	for i := range reconnects {
		n, _ := slices.BinarySearch(reconnects, reconnects[i]+50*time.Millisecond)
		peak = max(peak, n-i)
	}
	t.Logf("reconnects: %d over %v, at most %d within 50 ms", len(reconnects),
		(reconnects[len(reconnects)-1] - reconnects[0]).Round(time.Millisecond), peak)
}

// manyDispatchers are the dispatchers of one control service, named d0, d1 and so on.
type manyDispatchers struct {
	control     *simulated.Control
	dispatchers []*server.Dispatcher
}

// startDispatchers runs the dispatchers until ctx ends. Each sends the result of its Run on the channel. Every second one uses the delta
// variant of the protocol.
func startDispatchers(ctx context.Context, t *testing.T, c *simulated.Control) (*manyDispatchers, <-chan error) {
	t.Helper()
	all := &manyDispatchers{control: c}
	ended := make(chan error, *dispatcherCount)
	dir := t.TempDir()
	for i := range *dispatcherCount {
		cfg, err := config.Parse("many", fmt.Appendf(nil, `{"name": "d%d", "any_user": true, "listen": {"flightsql": "127.0.0.1:0"},
			"dispatchers": %d, "number": %d, "kinds": [{"name": "k", "cores": 8}],
			"classes": [{"name": "lookup", "aim": "1s", "deadline": "2s"}],
			"control": {"address": %q, "cluster": "nodes", "store": %q, "delta": %v, "reconnect_most": "500ms"}}`, i, *dispatcherCount, i,
			c.Address(), filepath.Join(dir, fmt.Sprint(i)), i%2 == 1))
		if err != nil {
			t.Fatal(err)
		}
		d, err := server.New(cfg, server.Options{Seed: rand.Uint64()})
		if err != nil {
			t.Fatal(err)
		}
		all.dispatchers = append(all.dispatchers, d)
		go func() { ended <- d.Run(ctx) }()
	}
	return all, ended
}

// countReplies returns the number of ACKs, or of NACKs, to settings by dispatcher. Replies to node lists are not counted.
func (m *manyDispatchers) countReplies(nacks bool) map[string]int {
	out := map[string]int{}
	for _, r := range m.control.Replies() {
		if (r.ErrorMessage != "") == nacks && r.Type != stream.TypeURL(control.Nodes) {
			out[r.Dispatcher]++
		}
	}
	return out
}

// agree reports whether every dispatcher has the set with this number in force and has sent acks ACKs and nacks NACKs to settings so far.
func (m *manyDispatchers) agree(number uint64, acks, nacks int) bool {
	ackCounts, nackCounts := m.countReplies(false), m.countReplies(true)
	for i, d := range m.dispatchers {
		if s, _ := d.ControlStatus(); s.Number != number {
			return false
		}
		if name := fmt.Sprintf("d%d", i); ackCounts[name] != acks || nackCounts[name] != nacks {
			return false
		}
	}
	return true
}

// pushAndAwait calls push, waits until all dispatchers agree, and logs how long it took.
func (m *manyDispatchers) pushAndAwait(t *testing.T, what string, number uint64, acks, nacks int, push func()) {
	t.Helper()
	begin, before := time.Now(), len(m.control.Replies())
	push()
	awaitService(t, m.control, what, func() bool { return m.agree(number, acks, nacks) })
	last := begin
	for _, r := range m.control.Replies()[before:] {
		if r.At.After(last) {
			last = r.At
		}
	}
	t.Logf("%-28s set %d in force at all %d dispatchers, %d ACKs and %d NACKs each so far; %v from push to last reply",
		what, number, len(m.dispatchers), acks, nacks, last.Sub(begin).Round(time.Millisecond))
}
