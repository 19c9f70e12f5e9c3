package stream

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"embershunt/control"
	"embershunt/control/configv1"
	"embershunt/nodelist"
	"embershunt/simulated"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder is a Handler that records the events of a stream and acknowledges every response.
type recorder struct {
	mu      sync.Mutex
	offered []control.Offered
	lost    int
	s       *Stream
}

func (r *recorder) Offered(ev control.Offered) {
	r.mu.Lock()
	r.offered = append(r.offered, ev)
	r.mu.Unlock()
	r.s.Reply(Reply{Kind: ev.Kind, Version: ev.Version, Nonce: ev.Nonce})
}

func (r *recorder) Lost(error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost++
}

func (r *recorder) count() (offered, lost int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.offered), r.lost
}

// await waits until a condition on the service holds, and fails the test after 10 s.
func await(t testing.TB, c *simulated.Control, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := c.Await(ctx, condition); err != nil {
		t.Fatal("not seen in 10 s: ", what)
	}
}

// startStream runs one stream until the test ends.
func startStream(t *testing.T, o Options) *recorder {
	h := &recorder{}
	h.s = New(o, h)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return h
}

// startService starts a simulated control service that runs until the test ends.
func startService(t *testing.T) *simulated.Control {
	c := simulated.NewControl("nodes")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	return c
}

func toAny(t testing.TB, m proto.Message) *anypb.Any {
	a, err := anypb.New(m)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// A service sends nothing before its first response, sends a type without a subscription, sends many versions at once, and
// restarts repeatedly. The client waits, ignores that type, acknowledges the newest version and reconnects each time.
func TestMisbehavingService(t *testing.T) {
	for _, delta := range []bool{false, true} {
		t.Run(fmt.Sprintf("delta=%v", delta), func(t *testing.T) {
			c := startService(t)
			h := startStream(t, Options{Address: c.Address(), Cluster: "nodes", Node: "d", Settings: true, Delta: delta,
				MinBackoff: time.Millisecond, MaxBackoff: 20 * time.Millisecond})
			await(t, c, "a stream", func() bool { return len(c.StreamStarts()) == 1 })
			// The service sends nothing: nothing is received, and the stream stays open.
			if o, l := h.count(); o != 0 || l != 0 {
				t.Errorf("offered %d, lost %d", o, l)
			}
			c.SetResources("x", &anypb.Any{TypeUrl: "type.googleapis.com/nobody.asked.For", Value: []byte{1}})
			for n := uint64(1); n <= 50; n++ {
				c.SetResources(SettingsName, toAny(t, &configv1.Tenants{Set: n}))
			}
			await(t, c, "the newest version acknowledged", func() bool {
				r := c.Replies()
				h.mu.Lock()
				defer h.mu.Unlock()
				if len(h.offered) == 0 {
					return false
				}
				last := h.offered[len(h.offered)-1]
				return last.Message.(*configv1.Tenants).GetSet() == 50 && len(r) > 0 && r[len(r)-1].Nonce == last.Nonce
			})
			before, _ := h.count()
			for range 5 {
				c.Stop()
				if err := c.Start(); err != nil {
					t.Fatal(err)
				}
				n := len(c.StreamStarts())
				await(t, c, "a new stream", func() bool { return len(c.StreamStarts()) > n })
			}
			await(t, c, "the newest version offered again", func() bool { o, l := h.count(); return o > before && l >= 5 })
		})
	}
}

// Many streams that are lost at the same time do not reconnect at the same time: the backoff has jitter.
func TestReconnectsAreSpread(t *testing.T) {
	const n = 60
	peak := func(random func() float64) int {
		c := startService(t)
		for i := range n {
			startStream(t, Options{Address: c.Address(), Cluster: "nodes", Node: fmt.Sprint(i), MinBackoff: 400 * time.Millisecond,
				MaxBackoff: 400 * time.Millisecond, Random: random})
		}
		await(t, c, "all streams", func() bool { return len(c.StreamStarts()) == n })
		c.Stop()
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		await(t, c, "all streams again", func() bool { return len(c.StreamStarts()) >= 2*n })
		reconnects := c.StreamStarts()[n:]
		largest := 0
		for i, at := range reconnects {
			k, _ := slices.BinarySearchFunc(reconnects, at.Add(40*time.Millisecond), time.Time.Compare)
			largest = max(largest, k-i)
		}
		return largest
	}
	together, spread := peak(func() float64 { return 1 }), peak(nil)
	t.Logf("of %d reconnects within 40 ms: %d at most without jitter, %d with it", n, together, spread)
	if spread*2 > together {
		t.Errorf("at most %d reconnects within 40 ms, %d without jitter: jitter must at least halve them", spread, together)
	}
}

// Any response is either decoded or rejected with an error, without a panic.
func FuzzResponse(f *testing.F) {
	for k := range typeURLs {
		f.Add(int(k), typeURLs[k], []byte{8, 1})
	}
	f.Add(0, typeURLs[control.Classes], mustMarshal(&configv1.Classes{Set: 1,
		Classes: []*configv1.Class{{Name: "c", AimUs: 1, DeadlineUs: 2}}}))
	f.Fuzz(func(t *testing.T, kind int, url string, value []byte) {
		k := control.Kind(((kind % 6) + 6) % 6)
		s := New(Options{Cluster: "nodes", Names: nodelist.Names{Zones: []string{"h"}, Kinds: []string{"k"}}}, &recorder{})
		ev := control.Offered{Kind: k, Version: "1", Nonce: "1"}
		s.decode(k, []*anypb.Any{{TypeUrl: url, Value: value}}, &ev)
		if ev.Err == nil && k != control.Nodes && ev.Message == nil {
			t.Fatal("the response was neither decoded nor rejected")
		}
	})
}

func mustMarshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}
