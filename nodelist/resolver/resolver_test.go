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

// Lists only ever go forward, whatever the service does on a bad day, and over a move to another address.
func TestListsGoForward(t *testing.T) {
	a, b := service(t), service(t)
	told := make(chan string, 100)
	r := resolver.New(resolver.Options{Log: slog.New(slog.DiscardHandler), Address: a.Address(), Names: names,
		Initial: nodelist.Numbered{Number: 5, Nodes: nodes("known")}, Interval: 5 * time.Millisecond, Apply: func(n []nodelist.Node) {
			if len(n) == 1 && n[0].State == policy.Healthy { // between two lists the old node drains until an answer confirms its end
				told <- n[0].ID
			}
		}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	expect := func(want string) {
		t.Helper()
		select {
		case got := <-told:
			if got != want {
				t.Fatalf("told of %s, want %s", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("not told of %s", want)
		}
	}
	asked := func(s *simulated.NameService, more int) {
		t.Helper()
		from := s.Asked()
		for s.Asked() < from+more {
			if ctx.Err() != nil {
				t.Fatal("not asked")
			}
			time.Sleep(time.Millisecond)
		}
	}
	a.Set(5, nodes("known"))
	asked(a, 3) // the number that it starts with is no news
	a.Set(7, nodes("seven"))
	expect("seven")
	a.Spoil(older(t, 6, 2)) // fewer than show that the number was wrong
	asked(a, 5)
	a.Spoil(nil)
	// Lost, reporting a failure, cut short, of another id: each is asked again.
	var way atomic.Int64
	a.Spoil(func(_, answer []byte) []byte {
		switch way.Add(1) {
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
	})
	a.Set(8, nodes("eight"))
	expect("eight")
	if r.Failures() < 4 {
		t.Errorf("%d failures counted, want 4 and more", r.Failures())
	}
	a.Spoil(nil)
	if s := r.Stats(); s.Version != 8 || s.Answers == 0 || s.Questions < s.Answers || s.Unusable != r.Failures() || s.Sockets == 0 {
		t.Errorf("stats %+v", s)
	}
	b.Set(8, nodes("eight"))
	r.Move(b.Address())
	asked(b, 2)
	b.Set(9, nodes("nine"))
	expect("nine")
	r.Move(a.Address()) // twice in a row: the last one counts
	r.Move(b.Address())
	b.Set(10, nodes("ten"))
	expect("ten")
	b.Mute() // that flow alone falls silent
	b.Set(11, nodes("eleven"))
	expect("eleven")
	b.Close() // nobody listens: it asks on, and is there when somebody does
	failures := r.Failures()
	for r.Failures() < failures+3 {
		time.Sleep(time.Millisecond)
	}
	r.Move(a.Address())
	a.Set(12, nodes("twelve"))
	expect("twelve")
	cancel()
	<-done
	if len(told) > 0 {
		t.Errorf("told of %s too", <-told)
	}
}

// older brings an older list in some answers, and true ones after.
func older(t *testing.T, number uint32, answers int64) func(question, answer []byte) []byte {
	t.Helper()
	var given atomic.Int64
	return func(question, answer []byte) []byte {
		if given.Add(1) > answers {
			return answer
		}
		return simulated.ListAnswer(uint16(question[0])<<8|uint16(question[1]), number, nodes("older"), names)
	}
}

// An answer may take many times the interval, and bring a drain: it is heard, and before long none is given up on.
func TestLateAnswersAreHeard(t *testing.T) {
	for _, times := range []int{1, 4, 20, 100} {
		t.Run(strconv.Itoa(times), func(t *testing.T) {
			t.Parallel()
			const interval = 10 * time.Millisecond
			s := service(t)
			drained := make(chan struct{})
			var once sync.Once
			row := nodes("a")
			r := resolver.New(resolver.Options{Log: slog.New(slog.DiscardHandler), Address: s.Address(), Names: names,
				Initial: nodelist.Numbered{Number: 1, Nodes: row}, Interval: interval, Apply: func(n []nodelist.Node) {
					if len(n) == 1 && n[0].State == policy.Draining {
						once.Do(func() { close(drained) })
					}
				}})
			row[0].State = policy.Draining
			s.Set(2, row)
			s.Delay(time.Duration(times) * interval)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { r.Run(ctx); close(done) }()
			select {
			case <-drained:
			case <-time.After(10 * time.Second):
				t.Error("the drain was not heard")
			}
			cancel()
			<-done
		})
	}
}

// A list of an earlier start, under a higher number, does not make later ones unheard.
func TestAWrongNumberDoesNotLast(t *testing.T) {
	s := service(t)
	var state atomic.Value
	state.Store("")
	r := resolver.New(resolver.Options{Log: slog.New(slog.DiscardHandler), Address: s.Address(), Names: names,
		Initial: nodelist.Numbered{Number: 1, Nodes: nodes("a", "b")}, Interval: 5 * time.Millisecond, Apply: func(n []nodelist.Node) {
			text := ""
			for _, row := range n {
				text += fmt.Sprintf("%s:%d ", row.ID, row.State)
			}
			state.Store(text)
		}})
	s.Set(2, nodes("a", "b"))
	s.Spoil(older(t, 4_000_000_000, 1))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	until := func(what string, holds func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: in force %v, %+v", what, state.Load(), r.Stats())
			}
		}
	}
	until("the wrong number", func() bool { return r.Stats().Reverted == 1 && r.Stats().Version == 2 })
	rows := nodes("a", "b")
	rows[0].State = policy.Draining
	s.Set(3, rows)
	until("the drain", func() bool { return state.Load() == fmt.Sprintf("a:%d b:%d ", policy.Draining, policy.Healthy) })
}

// A flow that falls silent is replaced, again and again, without a flood of sockets.
func TestSilentFlowsAreReplaced(t *testing.T) {
	s := service(t)
	heard := make(chan int, 100)
	r := resolver.New(resolver.Options{Log: slog.New(slog.DiscardHandler), Address: s.Address(), Names: names,
		Initial: nodelist.Numbered{Number: 1, Nodes: nodes("a")}, Interval: 5 * time.Millisecond, Apply: func(n []nodelist.Node) { heard <- len(n) }})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	for number := uint32(2); number < 6; number++ {
		s.Mute()
		s.Set(number, nodes("a", "b")[:2-number%2])
		select {
		case <-heard:
		case <-time.After(10 * time.Second):
			t.Fatal("not heard")
		}
	}
	cancel()
	<-done
	if n := r.Stats().Sockets; n < 4 || n > 40 {
		t.Errorf("%d sockets opened", n)
	}
}

// A service that was slow and is fast again, then falls silent on all flows: that is noticed as soon as after a fast one alone.
func TestSilenceAfterSlownessIsNoticedSoon(t *testing.T) {
	const interval = 20 * time.Millisecond
	s := service(t)
	heard := make(chan time.Time, 100)
	r := resolver.New(resolver.Options{Log: slog.New(slog.DiscardHandler), Address: s.Address(), Names: names,
		Initial: nodelist.Numbered{Number: 1, Nodes: nodes("a")}, Interval: interval, Apply: func([]nodelist.Node) { heard <- time.Now() }})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	s.Set(1, nodes("a"))
	s.Delay(50 * interval)
	for r.Stats().AnswerIn < 40*interval {
		time.Sleep(time.Millisecond)
	}
	s.Delay(0)
	for answers := r.Stats().Answers; r.Stats().Answers < answers+8; {
		time.Sleep(time.Millisecond)
	}
	s.Mute() // answers that took long still come
	drained := nodes("a")
	drained[0].State = policy.Draining
	s.Set(2, drained)
	silent := time.Now()
	select {
	case at := <-heard:
		if took := at.Sub(silent); took > 25*interval {
			t.Errorf("heard after %v", took)
		}
	case <-time.After(10 * time.Second):
		t.Error("not heard")
	}
}
