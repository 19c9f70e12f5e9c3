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
		out = append(out, nodelist.Node{ID: id, PlatformAddress: "127.0.0.1:" + string(rune('1'+i)), Weight: 1})
	}
	return out
}

func newService(t *testing.T) *simulated.NameService {
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

// expectApplied waits for the ID of the next applied list's only node, and fails unless it is the wanted ID.
func expectApplied(t *testing.T, applied <-chan string, want string) {
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

// corruptFirstFive returns a function that damages the first five responses: lost, SERVFAIL, truncated, with another ID, too long.
func corruptFirstFive() func(_, answer []byte) []byte {
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

// Lists are applied in the order of their version numbers in spite of outdated, damaged and missing responses, and across changes
// of the name service's address.
func TestListsAreAppliedInOrder(t *testing.T) {
	a, b := newService(t), newService(t)
	applied := make(chan string, 100)
	r := resolver.New(resolver.Options{Log: slog.New(slog.DiscardHandler), Address: a.Address(), Names: names,
		Initial:  nodelist.VersionedList{Number: 5, Nodes: nodes("initial")},
		Interval: 5 * time.Millisecond, Apply: func(n []nodelist.Node) {
			if len(n) == 1 && n[0].State == policy.Healthy { // skips the lists in which the old node drains until its removal is confirmed
				applied <- n[0].ID
			}
		}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	a.Set(5, nodes("initial"))
	awaitQueries(t, a, 3) // the initial list is not applied again
	a.Set(7, nodes("seven"))
	expectApplied(t, applied, "seven")
	a.Corrupt(answerOlder(t, 6, 2)) // too few to revert the number in force
	awaitQueries(t, a, 5)
	a.Corrupt(corruptFirstFive())
	a.Set(8, nodes("eight"))
	expectApplied(t, applied, "eight")
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
	expectApplied(t, applied, "nine")
	r.SetAddress(a.Address()) // two changes in a row: the last address is used
	r.SetAddress(b.Address())
	b.Set(10, nodes("ten"))
	expectApplied(t, applied, "ten")
	b.MuteClients() // the current sockets receive no more responses
	b.Set(11, nodes("eleven"))
	expectApplied(t, applied, "eleven")
	b.Close() // nothing listens: polling continues, and recovers at the next address
	failures := r.Failures()
	await(t, "failures", func() bool { return r.Failures() >= failures+3 })
	r.SetAddress(a.Address())
	a.Set(12, nodes("twelve"))
	expectApplied(t, applied, "twelve")
	cancel()
	<-done
	if len(applied) > 0 {
		t.Errorf("applied %s too", <-applied)
	}
}

// answerOlder returns a function that replaces the list in the first responses by an outdated one under a number.
func answerOlder(t *testing.T, number uint32, responses int64) func(question, answer []byte) []byte {
	t.Helper()
	var n atomic.Int64
	return func(question, answer []byte) []byte {
		if n.Add(1) > responses {
			return answer
		}
		return simulated.ListAnswer(uint16(question[0])<<8|uint16(question[1]), number, nodes("older"), names)
	}
}

// A response that takes many times the interval is still used: the drain in it is applied.
func TestLateResponsesAreUsed(t *testing.T) {
	for _, times := range []int{1, 4, 20, 100} {
		t.Run(strconv.Itoa(times), func(t *testing.T) {
			t.Parallel()
			const interval = 10 * time.Millisecond
			s := newService(t)
			drained := make(chan struct{})
			var once sync.Once
			row := nodes("a")
			r := resolver.New(resolver.Options{Log: slog.New(slog.DiscardHandler), Address: s.Address(), Names: names,
				Initial: nodelist.VersionedList{Number: 1, Nodes: row}, Interval: interval, Apply: func(n []nodelist.Node) {
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

// An outdated list under a number that is far too high does not hide later lists.
func TestWrongNumberIsReverted(t *testing.T) {
	s := newService(t)
	var state atomic.Value
	state.Store("")
	r := resolver.New(resolver.Options{Log: slog.New(slog.DiscardHandler), Address: s.Address(), Names: names,
		Initial: nodelist.VersionedList{Number: 1, Nodes: nodes("a", "b")}, Interval: 5 * time.Millisecond, Apply: func(n []nodelist.Node) {
			text := ""
			for _, row := range n {
				text += fmt.Sprintf("%s:%d ", row.ID, row.State)
			}
			state.Store(text)
		}})
	s.Set(2, nodes("a", "b"))
	s.Corrupt(answerOlder(t, 4_000_000_000, 1))
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

// Unresponsive sockets are replaced repeatedly, and the number of sockets opened stays small.
func TestUnresponsiveSocketsAreReplaced(t *testing.T) {
	s := newService(t)
	applied := make(chan int, 100)
	r := resolver.New(resolver.Options{Log: slog.New(slog.DiscardHandler), Address: s.Address(), Names: names,
		Initial: nodelist.VersionedList{Number: 1, Nodes: nodes("a")}, Interval: 5 * time.Millisecond,
		Apply: func(n []nodelist.Node) { applied <- len(n) }})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	for number := uint32(2); number < 6; number++ {
		s.MuteClients()
		s.Set(number, nodes("a", "b")[:2-number%2])
		select {
		case <-applied:
		case <-time.After(10 * time.Second):
			t.Fatalf("list %d was not applied", number)
		}
	}
	cancel()
	<-done
	if n := r.Stats().Sockets; n < 4 || n > 40 {
		t.Errorf("%d sockets opened", n)
	}
}

// A name service was slow, is fast again, and then stops responding to all sockets. The loss must be detected as soon as if the
// service had never been slow: the expected response time falls at once after a fast response.
func TestLossAfterSlowResponsesIsDetectedSoon(t *testing.T) {
	const interval = 20 * time.Millisecond
	s := newService(t)
	applied := make(chan time.Time, 100)
	r := resolver.New(resolver.Options{Log: slog.New(slog.DiscardHandler), Address: s.Address(), Names: names,
		Initial: nodelist.VersionedList{Number: 1, Nodes: nodes("a")}, Interval: interval,
		Apply: func([]nodelist.Node) { applied <- time.Now() }})
	run(t, r)
	s.Set(1, nodes("a"))
	s.SetDelay(50 * interval)
	await(t, "slow responses", func() bool { return r.Stats().ResponseTime >= 40*interval })
	s.SetDelay(0)
	responses := r.Stats().Responses
	await(t, "fast responses", func() bool { return r.Stats().Responses >= responses+8 })
	s.MuteClients() // delayed responses that are under way still arrive
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
		t.Error("the drain was not applied")
	}
}
