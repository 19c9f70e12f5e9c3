package permit

import (
	"testing"

	"pgregory.net/rapid"

	"embershunt/policy"
)

func TestSend(t *testing.T) {
	for name, c := range map[string]struct {
		s    Sending
		want Reason
	}{
		"a healthy node":              {Sending{Now: 5, Deadline: 9}, Permitted},
		"the deadline has passed":     {Sending{Now: 9, Deadline: 9}, Deadline},
		"the client has disconnected": {Sending{Now: 5, Deadline: 9, ClientDisconnected: true}, ClientDisconnected},
		"the dedup window has ended":  {Sending{Now: 5, Deadline: 9, StartBefore: 5}, DedupWindow},
		"the dedup window is open":    {Sending{Now: 5, Deadline: 9, StartBefore: 6}, Permitted},
		"the node drains":             {Sending{Now: 5, Deadline: 9, DrainNotifiedAt: 5, Grace: 3}, Draining},
		"sticky, within the grace":    {Sending{Now: 5, Deadline: 9, DrainNotifiedAt: 4, Grace: 3, Sticky: true}, Permitted},
		"sticky, after the grace":     {Sending{Now: 7, Deadline: 9, DrainNotifiedAt: 4, Grace: 3, Sticky: true}, Draining},
		"sticky, no grace":            {Sending{Now: 5, Deadline: 9, DrainNotifiedAt: 5, Sticky: true}, Draining},
	} {
		if got := c.s.Send(); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func TestViolation(t *testing.T) {
	const ms = 1000
	for name, c := range map[string]struct {
		s    Sent
		want Reason
	}{
		"within the grace":          {Sent{At: 900 * ms, Deadline: 9000 * ms, DrainNotifiedAt: 100 * ms, Grace: 1000 * ms}, Permitted},
		"after the grace":           {Sent{At: 1101 * ms, Deadline: 9000 * ms, DrainNotifiedAt: 100 * ms, Grace: 1000 * ms}, Draining},
		"just after the disconnect": {Sent{At: 150 * ms, Deadline: 9000 * ms, DisconnectedAt: 100 * ms}, Permitted},
		"long after the disconnect": {Sent{At: 201 * ms, Deadline: 9000 * ms, DisconnectedAt: 100 * ms}, ClientDisconnected},
		"after the deadline":        {Sent{At: 151 * ms, Deadline: 100 * ms}, Deadline},
		"after the dedup window":    {Sent{At: 151 * ms, Deadline: 900 * ms, StartBefore: 100 * ms}, DedupWindow},
		"within the tolerances":     {Sent{At: 140 * ms, Deadline: 100 * ms, StartBefore: 100 * ms}, Permitted},
	} {
		if got := c.s.Violation(); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// A query that is not idempotent is retried only if every earlier attempt certainly never ran. A query with an
// idempotency key is retried only within the dedup window of the first attempt that may have run. No query is
// retried after its answer or its deadline, nor while an attempt is in flight unless hedging is allowed.
func TestRetry(t *testing.T) {
	codes := []policy.Code{policy.OK, policy.Failed, policy.Rejected, policy.TimedOut, policy.ConnectionRefused, policy.ConnectionReset, policy.Cancelled, policy.NeverSent}
	rapid.Check(t, func(t *rapid.T) {
		r := Retrying{Now: rapid.Int64Range(0, 20).Draw(t, "now"), Deadline: rapid.Int64Range(0, 30).Draw(t, "deadline"),
			Answered: rapid.Bool().Draw(t, "answered"), Hedging: rapid.Bool().Draw(t, "hedging"), DedupWindow: rapid.Int64Range(0, 10).Draw(t, "window"),
			Effect: rapid.SampledFrom([]policy.Effect{policy.Idempotent, policy.IdempotentByKey, policy.NonIdempotent}).Draw(t, "effect")}
		mayHaveRun, firstSent, inFlight := false, r.Now, false
		for range rapid.IntRange(0, 3).Draw(t, "earlier") {
			a := Attempt{Sent: rapid.Int64Range(0, r.Now).Draw(t, "sent"), Ended: rapid.Bool().Draw(t, "ended"), Code: rapid.SampledFrom(codes).Draw(t, "code")}
			r.Earlier = append(r.Earlier, a)
			inFlight = inFlight || !a.Ended
			if !a.Ended || a.Code != policy.Rejected && a.Code != policy.ConnectionRefused && a.Code != policy.NeverSent {
				mayHaveRun, firstSent = true, min(firstSent, a.Sent)
			}
		}
		effectTwice := mayHaveRun && r.Effect == policy.NonIdempotent
		expired := mayHaveRun && r.Effect == policy.IdempotentByKey && r.DedupWindow > 0 && r.Now-firstSent >= r.DedupWindow
		want := !r.Answered && r.Now < r.Deadline && !effectTwice && !expired && (r.Hedging || !inFlight)
		if got := r.Retry() == Permitted; got != want {
			t.Errorf("%+v: %v, want permitted %v", r, r.Retry(), want)
		}
	})
}

func TestStartAndClose(t *testing.T) {
	for _, c := range []struct{ got, want Reason }{
		{Intake{}.Start(), Permitted},
		{Intake{Stopping: true}.Start(), Stopping},
		{Intake{InFlight: 2, MaxInFlight: 2}.Start(), Full},
		{Intake{InFlight: 1, MaxInFlight: 2}.Start(), Permitted},
		{Connection{}.Close(), Permitted},
		{Connection{PendingAnswers: 1, DispatcherEnds: true}.Close(), AnswersPending},
		{Connection{Receiving: true}.Close(), Reading},
		{Connection{Receiving: true, DispatcherEnds: true}.Close(), Permitted},
	} {
		if c.got != c.want {
			t.Errorf("%v, want %v", c.got, c.want)
		}
	}
}

func TestAudit(t *testing.T) {
	var a Audit
	if a.CountWithheld(Permitted) != Permitted || a.CountViolation(Permitted) || len(a.Counts()) != 0 {
		t.Error("Permitted is counted")
	}
	a.CountWithheld(Draining)
	a.CountViolation(Draining)
	a.CountViolation(DedupWindow)
	got := a.Counts()
	if len(got) != 2 || got[0] != (Count{Draining, 1, 1}) || got[1] != (Count{DedupWindow, 0, 1}) {
		t.Errorf("%+v", got)
	}
}
