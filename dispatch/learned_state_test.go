package dispatch

import (
	"testing"
	"time"

	"embershunt/policy"
)

// TestLearnedStateUsable checks which parts of a learned state may be restored, by its age, build, format and version.
func TestLearnedStateUsable(t *testing.T) {
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
		"another build":   {func(s *LearnedState) { s.Build = "x" }, 0, false, false},
		"another format":  {func(s *LearnedState) { s.Format = 9 }, 0, false, false},
		"another version": {func(s *LearnedState) { s.Learned.Version = 9 }, 0, false, false},
	} {
		s := &LearnedState{Format: LearnedFormat, Build: "b", At: at, Learned: policy.Learned{Version: policy.LearnedVersion}}
		if c.change != nil {
			c.change(s)
		}
		if classes, fleet, reason := s.Usable(at.Add(c.age), "b"); classes != c.classes || fleet != c.fleet || reason == "" {
			t.Errorf("%s: classes %v, fleet %v (%s)", name, classes, fleet, reason)
		}
	}
}
