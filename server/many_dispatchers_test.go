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

var many = flag.Int("many", 8, "dispatchers in TestManyDispatchers; 140 is the size that is written down")

// Many dispatchers on one control service: every state and reply is right, at each version and with the service gone.
func TestManyDispatchers(t *testing.T) {
	c := simulated.NewControl("nodes")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	node := simulated.NewNode("node-0", simulated.Model{}, 1)
	if err := node.Start("127.0.0.1:0", false); err != nil {
		t.Fatal(err)
	}
	defer node.Crash()
	c.Set([]simulated.ListedNode{{Name: "node-0", Address: node.Address}}, "")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	all, ended := startMany(ctx, t, c)
	defer func() {
		cancel()
		for range all.dispatchers {
			_ = awaitEnd(ended) // its context has ended
		}
	}()
	until(t, c, "all streams up", func() bool { return len(c.Streams()) == *many })
	put := func(a []*anypb.Any) func() { return func() { c.Put(stream.SettingsName, a...) } }
	all.everywhere(t, "a good version", 1, 5, 0, put(settings(t, 1, nil)))
	all.everywhere(t, "a malformed one", 1, 5, 1, put([]*anypb.Any{{TypeUrl: stream.TypeURL(control.Limits), Value: []byte{0xff}}}))
	all.everywhere(t, "a number used twice", 1, 9, 2, put(settings(t, 1, func(s *control.Set) { s.Limits.Attempts = 2 })))
	all.everywhere(t, "a good version after them", 2, 14, 2, put(settings(t, 2, nil)))
	// A list that empties the fleet is refused by every one, and all keep theirs.
	c.Set(nil, "")
	until(t, c, "the empty list refused by all", func() bool {
		refused := map[string]bool{}
		for _, r := range c.Replies() {
			if strings.Contains(r.Refused, "floor") {
				refused[r.Dispatcher] = true
			}
		}
		return len(refused) == *many
	})
	c.Set([]simulated.ListedNode{{Name: "node-0", Address: node.Address}}, "")
	t.Logf("%d bytes of resources sent in all, %d a dispatcher", c.Bytes(), c.Bytes() / *many)
	c.Stop()
	for _, d := range all.dispatchers {
		if s, _ := d.ControlStatus(); s.Number != 2 {
			t.Errorf("with the service gone: set %d", s.Number)
		}
	}
	<-time.After(1200 * time.Millisecond) // so long out of reach that every wait is at its bound
	begin, before := time.Now(), len(c.Streams())
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	all.everywhere(t, "the service back", 2, 19, 2, func() {})
	var back []time.Duration
	for _, at := range c.Streams()[before:] {
		back = append(back, at.Sub(begin))
	}
	slices.Sort(back)
	peak := 0
	for i := range back {
		n, _ := slices.BinarySearch(back, back[i]+50*time.Millisecond)
		peak = max(peak, n-i)
	}
	t.Logf("reconnects: %d over %v, at most %d within 50 ms", len(back), (back[len(back)-1] - back[0]).Round(time.Millisecond), peak)
}

// manyDispatchers are the dispatchers of one control service.
type manyDispatchers struct {
	control     *simulated.Control
	dispatchers []*server.Dispatcher
}

// startMany runs the dispatchers until ctx ends, which each reports on the channel; half of them ask for changes alone.
func startMany(ctx context.Context, t *testing.T, c *simulated.Control) (*manyDispatchers, <-chan error) {
	t.Helper()
	all := &manyDispatchers{control: c}
	ended := make(chan error, *many)
	folder := t.TempDir()
	for i := range *many {
		cfg, err := config.Parse("many", fmt.Appendf(nil, `{"name": "d%d", "any_user": true, "listen": {"flightsql": "127.0.0.1:0"},
			"dispatchers": %d, "number": %d, "kinds": [{"name": "k", "cores": 8}], "classes": [{"name": "lookup", "aim": "1s", "deadline": "2s"}],
			"control": {"address": %q, "cluster": "nodes", "store": %q, "delta": %v, "reconnect_most": "500ms"}}`, i, *many, i, c.Address(),
			filepath.Join(folder, fmt.Sprint(i)), i%2 == 1))
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

// awaitReplies counts the ACKs, or the NACKs, of settings by dispatcher.
func (m *manyDispatchers) replies(refused bool) map[string]int {
	out := map[string]int{}
	for _, r := range m.control.Replies() {
		if (r.Refused != "") == refused && r.Type != stream.TypeURL(control.Nodes) {
			out[r.Dispatcher]++
		}
	}
	return out
}

// agree says whether every dispatcher has a set in force and has replied so often in all.
func (m *manyDispatchers) agree(number uint64, acks, nacks int) bool {
	a, n := m.replies(false), m.replies(true)
	for i, d := range m.dispatchers {
		if s, _ := d.ControlStatus(); s.Number != number {
			return false
		}
		if name := fmt.Sprintf("d%d", i); a[name] != acks || n[name] != nacks {
			return false
		}
	}
	return true
}

// everywhere pushes something and waits until all dispatchers agree.
func (m *manyDispatchers) everywhere(t *testing.T, what string, number uint64, acks, nacks int, push func()) {
	t.Helper()
	begin, before := time.Now(), len(m.control.Replies())
	push()
	until(t, m.control, what, func() bool { return m.agree(number, acks, nacks) })
	last := begin
	for _, r := range m.control.Replies()[before:] {
		if r.At.After(last) {
			last = r.At
		}
	}
	t.Logf("%-28s set %d in force at all %d, %d ACKs and %d NACKs each so far; push to last reply %v", what, number, len(m.dispatchers),
		acks, nacks, last.Sub(begin).Round(time.Millisecond))
}
