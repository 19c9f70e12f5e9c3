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
		"ready":                       {Sending{Now: 5, Until: 9}, Permitted},
		"the deadline has come":       {Sending{Now: 9, Until: 9}, Deadline},
		"the client has left":         {Sending{Now: 5, Until: 9, ClientGone: true}, ClientGone},
		"the window is over":          {Sending{Now: 5, Until: 9, Before: 5}, Window},
		"the window is open":          {Sending{Now: 5, Until: 9, Before: 6}, Permitted},
		"it drains":                   {Sending{Now: 5, Until: 9, Notified: 5, Grace: 3}, Draining},
		"pinned there, in the grace":  {Sending{Now: 5, Until: 9, Notified: 4, Grace: 3, Pinned: true}, Permitted},
		"pinned there, past it":       {Sending{Now: 7, Until: 9, Notified: 4, Grace: 3, Pinned: true}, Draining},
		"pinned there, no grace told": {Sending{Now: 5, Until: 9, Notified: 5, Pinned: true}, Draining},
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
		"in the grace":        {Sent{At: 900 * ms, Until: 9000 * ms, Notified: 100 * ms, Grace: 1000 * ms}, Permitted},
		"past the grace":      {Sent{At: 1101 * ms, Until: 9000 * ms, Notified: 100 * ms, Grace: 1000 * ms}, Draining},
		"just after it left":  {Sent{At: 150 * ms, Until: 9000 * ms, GoneAt: 100 * ms}, Permitted},
		"long after it left":  {Sent{At: 201 * ms, Until: 9000 * ms, GoneAt: 100 * ms}, ClientGone},
		"after the deadline":  {Sent{At: 151 * ms, Until: 100 * ms}, Deadline},
		"after the window":    {Sent{At: 151 * ms, Until: 900 * ms, Before: 100 * ms}, Window},
		"nothing of the kind": {Sent{At: 140 * ms, Until: 100 * ms, Before: 100 * ms}, Permitted},
	} {
		if got := c.s.Violation(); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// What is unsafe is repeated only if every earlier attempt surely never ran; what is keyed only within the window of the first that may
// have; nothing after the answer or the deadline.
func TestRepeat(t *testing.T) {
	codes := []policy.Code{policy.OK, policy.Failed, policy.Full, policy.TimedOut, policy.Refused, policy.Reset, policy.Cancelled, policy.Moot}
	rapid.Check(t, func(t *rapid.T) {
		r := Repeating{Now: rapid.Int64Range(0, 20).Draw(t, "now"), Due: rapid.Int64Range(0, 30).Draw(t, "due"),
			Answered: rapid.Bool().Draw(t, "answered"), Window: rapid.Int64Range(0, 10).Draw(t, "window"),
			Effect: rapid.SampledFrom([]policy.Effect{policy.Safe, policy.Keyed, policy.Unsafe}).Draw(t, "effect")}
		may, first := false, r.Now
		for range rapid.IntRange(0, 3).Draw(t, "earlier") {
			a := Attempt{Sent: rapid.Int64Range(0, r.Now).Draw(t, "sent"), Ended: rapid.Bool().Draw(t, "ended"), Code: rapid.SampledFrom(codes).Draw(t, "code")}
			r.Earlier = append(r.Earlier, a)
			if !a.Ended || a.Code != policy.Full && a.Code != policy.Refused && a.Code != policy.Moot {
				may, first = true, min(first, a.Sent)
			}
		}
		want := !r.Answered && r.Now < r.Due && !(may && r.Effect == policy.Unsafe) &&
			!(may && r.Effect == policy.Keyed && r.Window > 0 && r.Now-first >= r.Window)
		if got := r.Repeat() == Permitted; got != want {
			t.Errorf("%+v: %v, want permitted %v", r, r.Repeat(), want)
		}
	})
}

func TestStartAndClose(t *testing.T) {
	for _, c := range []struct{ got, want Reason }{
		{Intake{}.Start(), Permitted},
		{Intake{Stopping: true}.Start(), Stopping},
		{Intake{Held: 2, Most: 2}.Start(), Full},
		{Intake{Held: 1, Most: 2}.Start(), Permitted},
		{Connection{}.Close(), Permitted},
		{Connection{Owed: 1, Ending: true}.Close(), Owed},
		{Connection{Reading: true}.Close(), Reading},
		{Connection{Reading: true, Ending: true}.Close(), Permitted},
	} {
		if c.got != c.want {
			t.Errorf("%v, want %v", c.got, c.want)
		}
	}
}

func TestAudit(t *testing.T) {
	var a Audit
	if a.Withhold(Permitted) != Permitted || a.Violate(Permitted) || len(a.Counts()) != 0 {
		t.Error("what is permitted is counted")
	}
	a.Withhold(Draining)
	a.Violate(Draining)
	a.Violate(Window)
	got := a.Counts()
	if len(got) != 2 || got[0] != (Count{Draining, 1, 1}) || got[1] != (Count{Window, 0, 1}) {
		t.Errorf("%+v", got)
	}
}
