package resolver_test

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"embershunt/nodelist"
	"embershunt/nodelist/resolver"
	"embershunt/policy"
	"embershunt/simulated"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var names = nodelist.Names{Zones: []string{"west"}, Kinds: []string{"std"}}

func nodes(ids ...string) (out []nodelist.Node) {
	for i, id := range ids {
		out = append(out, nodelist.Node{ID: id, Platform: "127.0.0.1:" + string(rune('1'+i)), Weight: 1})
	}
	return out
}

func service(t *testing.T) *simulated.NameService {
	t.Helper()
	s, err := simulated.NewNameService(names)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// run runs a resolver until the test ends.
func run(t *testing.T, r *resolver.Resolver) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

// await polls until a condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not seen in 10 s: %s", what)
		}
	}
}

// awaitQueries waits until a service has received more queries.
func awaitQueries(t *testing.T, s *simulated.NameService, more int) {
	t.Helper()
	from := s.Queries()
	await(t, "queries", func() bool { return s.Queries() >= from+more })
}

// expect waits for the next list with a single healthy node, which must be the one named.
func expect(t *testing.T, applied <-chan string, want string) {
	t.Helper()
	select {
	case got := <-applied:
		if got != want {
			t.Fatalf("applied %s, want %s", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("%s is not applied", want)
	}
}

// spoilOnce has the first five responses lost, report a failure, truncated, under another ID and too long.
func spoilOnce() func(_, answer []byte) []byte {
	var n atomic.Int64
	return func(_, answer []byte) []byte {
		switch n.Add(1) {
		case 1:
			return nil
		case 2:
			answer[3] |= 2
		case 3:
			return answer[:len(answer)/2]
		case 4:
			answer[0] ^= 0x55
		case 5:
			return append(answer, make([]byte, 9000)...)
		}
		return answer
	}
}

// Version numbers only go up, whatever the service does, and over a change of its address.
func TestListsGoForward(t *testing.T) {
	a, b := service(t), service(t)
	applied := make(chan string, 100)
	r := resolver.New(resolver.Options{Log: slog.New(slog.DiscardHandler), Address: a.Address(), Names: names,
		Initial: nodelist.Versioned{Number: 5, Nodes: nodes("known")}, Interval: 5 * time.Millisecond, Apply: func(n []nodelist.Node) {
			if len(n) == 1 && n[0].State == policy.Healthy { // between two lists the old node drains until a response confirms its removal
				applied <- n[0].ID
			}
		}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	a.Set(5, nodes("known"))
	awaitQueries(t, a, 3) // the number that it starts with is not applied again
	a.Set(7, nodes("seven"))
	expect(t, applied, "seven")
	a.Corrupt(older(t, 6, 2)) // fewer than show that the number was wrong
	awaitQueries(t, a, 5)
	a.Corrupt(spoilOnce())
	a.Set(8, nodes("eight"))
	expect(t, applied, "eight")
	if r.Failures() < 4 {
		t.Errorf("%d failures counted, want 4 and more", r.Failures())
	}
	a.Corrupt(nil)
	if s := r.Stats(); s.Version != 8 || s.Responses == 0 || s.Queries < s.Responses || s.Unusable != r.Failures() || s.Sockets == 0 {
		t.Errorf("stats %+v", s)
	}
	b.Set(8, nodes("eight"))
	r.SetAddress(b.Address())
	awaitQueries(t, b, 2)
	b.Set(9, nodes("nine"))
	expect(t, applied, "nine")
	r.SetAddress(a.Address()) // twice in a row: the last one counts
	r.SetAddress(b.Address())
	b.Set(10, nodes("ten"))
	expect(t, applied, "ten")
	b.Mute() // the present sockets get no response any more
	b.Set(11, nodes("eleven"))
	expect(t, applied, "eleven")
	b.Close() // nobody listens: it polls on, and continues when somebody does
	failures := r.Failures()
	await(t, "failures", func() bool { return r.Failures() >= failures+3 })
	r.SetAddress(a.Address())
	a.Set(12, nodes("twelve"))
	expect(t, applied, "twelve")
	cancel()
	<-done
	if len(applied) > 0 {
		t.Errorf("applied %s too", <-applied)
	}
}

// older has the first responses bring an older list.
func older(t *testing.T, number uint32, responses int64) func(question, answer []byte) []byte {
	t.Helper()
	var n atomic.Int64
	return func(question, answer []byte) []byte {
		if n.Add(1) > responses {
			return answer
		}
		return simulated.ListAnswer(uint16(question[0])<<8|uint16(question[1]), number, nodes("older"), names)
	}
}

// A response may take many times the interval, and bring a drain: it is used.
func TestLateResponsesAreUsed(t *testing.T) {
	for _, times := range []int{1, 4, 20, 100} {
		t.Run(strconv.Itoa(times), func(t *testing.T) {
			t.Parallel()
			const interval = 10 * time.Millisecond
			s := service(t)
			drained := make(chan struct{})
			var once sync.Once
			row := nodes("a")
			r := resolver.New(resolver.Options{Log: slog.New(slog.DiscardHandler), Address: s.Address(), Names: names,
				Initial: nodelist.Versioned{Number: 1, Nodes: row}, Interval: interval, Apply: func(n []nodelist.Node) {
					if len(n) == 1 && n[0].State == policy.Draining {
						once.Do(func() { close(drained) })
					}
				}})
			row[0].State = policy.Draining
			s.Set(2, row)
			s.SetDelay(time.Duration(times) * interval)
			run(t, r)
			select {
			case <-drained:
			case <-time.After(10 * time.Second):
				t.Error("the drain was not applied")
			}
		})
	}
}

// An older list under a higher number does not hide later ones.
func TestAWrongNumberIsReverted(t *testing.T) {
	s := service(t)
	var state atomic.Value
	state.Store("")
	r := resolver.New(resolver.Options{Log: slog.New(slog.DiscardHandler), Address: s.Address(), Names: names,
		Initial: nodelist.Versioned{Number: 1, Nodes: nodes("a", "b")}, Interval: 5 * time.Millisecond, Apply: func(n []nodelist.Node) {
			text := ""
			for _, row := range n {
				text += fmt.Sprintf("%s:%d ", row.ID, row.State)
			}
			state.Store(text)
		}})
	s.Set(2, nodes("a", "b"))
	s.Corrupt(older(t, 4_000_000_000, 1))
	run(t, r)
	defer func() {
		if t.Failed() {
			t.Logf("in force %v, %+v", state.Load(), r.Stats())
		}
	}()
	await(t, "the wrong number reverted", func() bool { return r.Stats().Reverted == 1 && r.Stats().Version == 2 })
	rows := nodes("a", "b")
	rows[0].State = policy.Draining
	s.Set(3, rows)
	await(t, "the drain", func() bool { return state.Load() == fmt.Sprintf("a:%d b:%d ", policy.Draining, policy.Healthy) })
}

// Unresponsive sockets are replaced, again and again, without a flood of them.
func TestUnresponsiveSocketsAreReplaced(t *testing.T) {
	s := service(t)
	applied := make(chan int, 100)
	r := resolver.New(resolver.Options{Log: slog.New(slog.DiscardHandler), Address: s.Address(), Names: names,
		Initial: nodelist.Versioned{Number: 1, Nodes: nodes("a")}, Interval: 5 * time.Millisecond, Apply: func(n []nodelist.Node) { applied <- len(n) }})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	for number := uint32(2); number < 6; number++ {
		s.Mute()
		s.Set(number, nodes("a", "b")[:2-number%2])
		select {
		case <-applied:
		case <-time.After(10 * time.Second):
			t.Fatal("not applied")
		}
	}
	cancel()
	<-done
	if n := r.Stats().Sockets; n < 4 || n > 40 {
		t.Errorf("%d sockets opened", n)
	}
}

// A service that was slow and is fast again becomes unresponsive on all sockets: that is detected as soon as if it had never
// been slow.
func TestLossAfterSlownessIsDetectedSoon(t *testing.T) {
	const interval = 20 * time.Millisecond
	s := service(t)
	applied := make(chan time.Time, 100)
	r := resolver.New(resolver.Options{Log: slog.New(slog.DiscardHandler), Address: s.Address(), Names: names,
		Initial: nodelist.Versioned{Number: 1, Nodes: nodes("a")}, Interval: interval, Apply: func([]nodelist.Node) { applied <- time.Now() }})
	run(t, r)
	s.Set(1, nodes("a"))
	s.SetDelay(50 * interval)
	await(t, "slow responses", func() bool { return r.Stats().ResponseTime >= 40*interval })
	s.SetDelay(0)
	responses := r.Stats().Responses
	await(t, "fast responses", func() bool { return r.Stats().Responses >= responses+8 })
	s.Mute() // the slow responses are still received
	drained := nodes("a")
	drained[0].State = policy.Draining
	s.Set(2, drained)
	muted := time.Now()
	select {
	case at := <-applied:
		if took := at.Sub(muted); took > 25*interval {
			t.Errorf("applied after %v", took)
		}
	case <-time.After(10 * time.Second):
		t.Error("not applied")
	}
}
