package postgres

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"embershunt/dispatch"
)

// Whatever the order in which queries arrive, are answered and called off, the session is evicted, the front ends or the client closes:
// every query handed over has exactly one answer, in its place; without a close in between every query sent has one.
func TestEveryQueryHasOneAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		taken := make(chan *dispatch.Query, 100)
		s := startServer(t, Options{DrainIdle: 5 * time.Millisecond}, func(q *dispatch.Query) (dispatch.Outcome, bool) {
			taken <- q
			return dispatch.Outcome{}, false
		})
		defer s.stop()
		c := s.session()
		sent, handed, crossed, closed := 0, 0, false, false
		give := func(q *dispatch.Query) { // unless it was answered as left
			handed++
			s.dispatcher.mu.Lock()
			_, open := s.dispatcher.open[q.ID]
			delete(s.dispatcher.open, q.ID)
			s.dispatcher.mu.Unlock()
			if open {
				q.Client.Answer(servedRows(1))
			}
		}
		for _, op := range rapid.SliceOfN(rapid.SampledFrom([]string{"send", "send", "send", "two", "half", "answer", "answer", "cancel", "evict",
			"end", "close"}), 1, 12).Draw(rt, "ops") {
			if closed {
				break
			}
			switch op {
			case "send":
				c.Write(queryWithFields(sent, "SELECT 1"))
				sent++
			case "two":
				c.Write(append(queryWithFields(sent, "SELECT 1"), queryWithFields(sent+1, "SELECT 1")...))
				sent += 2
			case "half":
				m := queryWithFields(sent, "SELECT 1")
				c.Write(m[:7])
				c.Write(m[7:])
				sent++
			case "answer":
				select {
				case q := <-taken:
					give(q)
				default:
				}
			case "cancel":
				s.front.cancel(c.key)
			case "evict":
				crossed = s.front.evict(false) || crossed
			case "end":
				s.beginEnd()
				crossed = true
			case "close":
				c.Close()
				closed = true
			}
		}
		s.beginEnd()
		done := make(chan struct{})
		go func() { s.stop(); close(done) }()
		read := make(chan string, 1)
		go func() {
			if closed {
				read <- ""
				return
			}
			read <- c.until(0)
		}()
		for over := false; !over; {
			select {
			case q := <-taken:
				give(q)
			case <-done:
				over = true
			}
		}
		handed += len(taken)
		got := <-read
		for _, whole := range []string{"TDCZ", "E(57014)Z", "E(57P03)Z", "E(53000)Z"} {
			got = strings.ReplaceAll(got, whole, "+")
		}
		answers := strings.Count(got, "+")
		if !closed && got != strings.Repeat("+", answers)+"." {
			rt.Fatalf("something else than whole answers: %s", got)
		}
		if !closed && (answers < handed || answers > sent || !crossed && answers != sent) {
			rt.Fatalf("%d queries sent, %d handed over, %d answers", sent, handed, answers)
		}
		s.dispatcher.mu.Lock()
		defer s.dispatcher.mu.Unlock()
		if len(s.dispatcher.open) > 0 || len(s.front.sessions) > 0 || len(s.front.traces) > 0 {
			rt.Fatalf("%d queries, %d sessions, %d ids left", len(s.dispatcher.open), len(s.front.sessions), len(s.front.traces))
		}
	})
}

// Thousands of sessions and ids: nothing is kept of them.
func TestNothingIsKeptOfSessions(t *testing.T) {
	s := startServer(t, Options{MostSessions: 16}, func(*dispatch.Query) (dispatch.Outcome, bool) { return servedRows(1), true })
	for i := range 2000 {
		c := s.connect()
		c.Write(append(append([]byte{}, startupMessage...), queryWithFields(i, "SELECT 1")...))
		if got := c.until('Z') + c.until('Z'); !strings.HasSuffix(got, "TDCZ") && !strings.HasSuffix(got, "E(53300)..") {
			t.Fatalf("session %d got %s", i, got)
		}
		if i%2 == 0 {
			c.Close()
		}
	}
	s.front.mu.Lock()
	sessions, traces := len(s.front.sessions), len(s.front.traces)
	s.front.mu.Unlock()
	if sessions > s.front.options.MostSessions+s.front.options.MaxClosing || traces > 0 {
		t.Errorf("%d sessions, %d ids", sessions, traces)
	}
	s.stop()
	if len(s.front.sessions) > 0 {
		t.Errorf("%s", fmt.Sprint(len(s.front.sessions), " sessions after the end"))
	}
}
