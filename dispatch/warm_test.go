package dispatch

import (
	"testing"
	"time"

	"embershunt/policy"
)

func TestWhatIsCarriedOver(t *testing.T) {
	at := time.Unix(1e9, 0)
	for name, c := range map[string]struct {
		change         func(*LearnedState)
		age            time.Duration
		classes, fleet bool
	}{
		"a moment old":    {nil, 2 * time.Second, true, true},
		"minutes old":     {nil, 5 * time.Minute, true, false},
		"days old":        {nil, 48 * time.Hour, false, false},
		"from the future": {nil, -time.Hour, false, false},
		"another build":   {func(w *LearnedState) { w.Build = "x" }, 0, false, false},
		"another format":  {func(w *LearnedState) { w.Format = 9 }, 0, false, false},
		"another version": {func(w *LearnedState) { w.Learned.Version = 9 }, 0, false, false},
	} {
		w := &LearnedState{Format: LearnedFormat, Build: "b", At: at, Learned: policy.Learned{Version: policy.LearnedVersion}}
		if c.change != nil {
			c.change(w)
		}
		if classes, fleet, why := w.Usable(at.Add(c.age), "b"); classes != c.classes || fleet != c.fleet || why == "" {
			t.Errorf("%s: classes %v, fleet %v (%s)", name, classes, fleet, why)
		}
	}
}
