package backend

import (
	"testing"

	"embershunt/policy"
)

func TestPlatformLoadReports(t *testing.T) {
	for s, want := range map[string]*policy.Load{
		"inflight:7;util:0.61":       {Utilization: 0.61, InFlight: 7, Queue: -1, Memory: -1, Disk: -1},
		"rif:7;busy:0.61;q:2;x0:0.5": {Utilization: 0.61, InFlight: 7, Queue: 2, Memory: 0.5, Disk: -1},
		"":                           nil,
		"util:x":                     nil,
		"util:-1":                    nil,
		"util:NaN":                   nil,
	} {
		got := parsePlatformLoad(s)
		if (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("%q: %+v, want %+v", s, got, want)
		}
	}
}
