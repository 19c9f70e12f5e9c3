package soak

import (
	"testing"
	"time"
)

const second = time.Second

// validRecord returns a record that breaks no invariant: one request of each class, served by the first attempt.
func validRecord() *Record {
	r := newRecord()
	r.incarnations = []*Incarnation{{Dispatcher: 0, Number: 1, Ready: 1, Killed: 30 * second, Ended: 30 * second, ExitCode: -1}}
	for i, class := range classes {
		id := string(rune('a' + i))
		r.requests = append(r.requests, &Request{ID: id, Incarnation: 1, Class: class, Sent: 5 * second, Timeout: second, Outcome: Served, Ended: 5500 * time.Millisecond})
		r.arrivals = append(r.arrivals, &Arrival{ID: id, Node: "s-1", At: 5100 * time.Millisecond, TTL: 900 * time.Millisecond, Ran: true, Ended: 5400 * time.Millisecond})
	}
	return r
}

// Check reports each kind of violation once, and reports nothing for a valid record.
func TestCheck(t *testing.T) {
	const lookup, load, booking = 0, 1, 2
	retry := func(r *Record, index int, after time.Duration) {
		a := *r.arrivals[index]
		a.At += after
		a.Ended += after
		a.TTL -= after
		r.arrivals = append(r.arrivals, &a)
	}
	for name, c := range map[string]struct {
		edit func(r *Record)
		want Invariant
	}{
		"valid":                              {func(*Record) {}, ""},
		"no answer":                          {func(r *Record) { r.requests[lookup].Outcome = Pending }, InvariantAnswer},
		"late answer":                        {func(r *Record) { r.requests[lookup].Ended = 7 * second }, InvariantAnswer},
		"unreadable answer":                  {func(r *Record) { r.requests[lookup].Outcome = InvalidAnswer }, InvariantAnswer},
		"connection ended without an answer": {func(r *Record) { r.requests[lookup].Outcome = Closed }, InvariantAnswer},
		"connection ended by a kill": {func(r *Record) {
			r.requests[lookup].Outcome = Closed
			r.incarnations[0].Killed = 5500 * time.Millisecond
		}, ""},
		"connection ended by a planned restart": {func(r *Record) {
			r.requests[lookup].Outcome = Closed
			r.incarnations[0].Killed, r.incarnations[0].Terminated = 5500*time.Millisecond, second
		}, InvariantAnswer},
		"raced with a close": {func(r *Record) {
			r.requests[lookup].Outcome, r.requests[lookup].RacedClose, r.arrivals[lookup].ID = Closed, true, "x"
		}, ""},
		"raced with a close after it was forwarded": {func(r *Record) {
			r.requests[lookup].Outcome, r.requests[lookup].RacedClose = Closed, true
		}, InvariantAnswer},
		"non-idempotent, rejected after it ran": {func(r *Record) { r.requests[booking].Outcome = Rejected }, InvariantRejection},
		"idempotent, rejected after it ran":     {func(r *Record) { r.requests[lookup].Outcome = Rejected }, ""},
		"non-idempotent, retried":               {func(r *Record) { retry(r, booking, 350*time.Millisecond) }, InvariantDuplicate},
		"non-idempotent, retried after full": {func(r *Record) {
			r.arrivals[booking].Full = true
			retry(r, booking, 350*time.Millisecond)
		}, ""},
		"keyed, retried within its dedup window": {func(r *Record) { retry(r, load, 500*time.Millisecond) }, ""},
		"keyed, retried after its dedup window": {func(r *Record) {
			r.requests[load].Timeout = 3 * second
			r.arrivals[load].TTL = 2900 * time.Millisecond
			retry(r, load, 1400*time.Millisecond)
		}, InvariantDuplicate},
		"retry during the first attempt": {func(r *Record) { retry(r, lookup, 100*time.Millisecond) }, InvariantOverlap},
		"retry, the first attempt never ended": {func(r *Record) {
			r.arrivals[lookup].Ended = 0
			retry(r, lookup, 350*time.Millisecond)
		}, InvariantOverlap},
		"retry right after the first attempt": {func(r *Record) { retry(r, lookup, 300*time.Millisecond) }, ""},
		"draining node, attempt within the grace": {func(r *Record) {
			r.notices = []Notice{{0, 1, "s-1", 4100 * time.Millisecond}}
		}, ""},
		"draining node, another incarnation notified": {func(r *Record) { r.notices = []Notice{{0, 2, "s-1", 3 * second}} }, ""},
		"draining node, attempt after the grace": {func(r *Record) {
			r.notices = []Notice{{0, 1, "s-1", 3900 * time.Millisecond}}
			r.arrivals = r.arrivals[:1]
		}, InvariantDrain},
		"attempt after the client disconnected": {func(r *Record) {
			q := r.requests[lookup]
			q.Outcome, q.AbandonedAt = Abandoned, 4900*time.Millisecond
		}, InvariantClient},
		"TTL longer than the remaining time": {func(r *Record) { r.arrivals[lookup].TTL = 1200 * time.Millisecond }, InvariantTTL},
		"retry budget exceeded": {func(r *Record) {
			r.arrivals[lookup].Ended = r.arrivals[lookup].At
			for range 9 {
				retry(r, lookup, 10*time.Millisecond)
			}
		}, InvariantBudget},
		"never ready": {func(r *Record) { r.incarnations[0].Ready = 0 }, InvariantProcess},
		"crash":       {func(r *Record) { r.incarnations[0].Killed, r.incarnations[0].ExitCode = 0, 1 }, InvariantProcess},
		"exit code 1 after SIGTERM": {func(r *Record) {
			r.incarnations[0].Killed, r.incarnations[0].Terminated, r.incarnations[0].ExitCode = 0, second, 1
		}, InvariantProcess},
		"fault in the dispatcher's log": {func(r *Record) { r.incarnations[0].Violations = []string{"fault"} }, InvariantInternal},
	} {
		t.Run(name, func(t *testing.T) {
			r := validRecord()
			c.edit(r)
			found := r.Check()
			if c.want == "" && len(found) > 0 || c.want != "" && (len(found) != 1 || found[0].Invariant != c.want) {
				t.Errorf("found %v, want %q", found, c.want)
			}
		})
	}
}
