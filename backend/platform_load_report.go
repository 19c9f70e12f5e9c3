package backend

import (
	"strconv"
	"strings"

	"embershunt/policy"
)

// platformLoad reads a load report, name:value separated by semicolons; names of the settings and of the lines alike. One that
// does not parse counts as none.
func platformLoad(s string) *policy.Load {
	if s == "" {
		return nil
	}
	l := policy.Load{Util: -1, InFlight: -1, Queue: -1, Memory: -1, Disk: -1}
	for part := range strings.SplitSeq(s, ";") {
		name, value, _ := strings.Cut(part, ":")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v < 1e9) {
			return nil
		}
		switch name {
		case "util", "busy":
			l.Util = v
		case "inflight", "rif":
			l.InFlight = v
		case "queue", "q":
			l.Queue = v
		case "x0":
			l.Memory = v
		case "x1":
			l.Disk = v
		}
	}
	return &l
}

// platformProgress reads a note on an attempt that is out; ok is false where there is none.
func platformProgress(why, datum string) (p policy.Progress, ok bool) {
	v, err := strconv.ParseFloat(datum, 64)
	if err != nil || !(v >= 0 && v < 1e9) {
		return p, false
	}
	p.Value = v
	switch {
	case why == "p":
		p.Kind = policy.FractionDone
	case why == "s":
		p.Kind = policy.MemorySpilled
	case why == "w" && v == 2:
		p.Kind = policy.WaitingForTables
	case why == "w":
		p.Kind = policy.WaitingForMemory
	default:
		return p, false
	}
	return p, true
}
