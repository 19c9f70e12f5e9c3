package backend

import (
	"strconv"
	"strings"

	"embershunt/policy"
)

// parsePlatformLoad parses a load report: name:value pairs separated by semicolons, with the names of the platform's settings or of its
// protocol. Other names are ignored. It returns nil if the report is empty or any value does not parse.
func parsePlatformLoad(report string) *policy.Load {
	if report == "" {
		return nil
	}
	l := policy.Load{Utilization: loadNotReported, InFlight: loadNotReported, Queue: loadNotReported, Memory: loadNotReported,
		Disk: loadNotReported}
	for pair := range strings.SplitSeq(report, ";") {
		name, value, _ := strings.Cut(pair, ":")
		v, ok := parseFigure(value)
		if !ok {
			return nil
		}
		switch name {
		case "util", "busy":
			l.Utilization = v
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

// maxFigure is the exclusive upper limit of the figures of a report; a larger one cannot be a real measurement.
const maxFigure = 1e9

// parseFigure parses a figure of a report; ok is false for NaN, negative figures and those of maxFigure or more.
func parseFigure(s string) (v float64, ok bool) {
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v >= 0 && v < maxFigure
}

// parsePlatformProgress parses a progress report of an attempt in flight; ok is false if the report does not parse.
func parsePlatformProgress(why, datum string) (p policy.Progress, ok bool) {
	const waitingForTables = 2 // the datum of a wait for tables; any other is a wait for memory
	if p.Value, ok = parseFigure(datum); !ok {
		return policy.Progress{}, false
	}
	switch why {
	case "p":
		p.Kind = policy.FractionDone
	case "s":
		p.Kind = policy.MemorySpilled
	case "w":
		p.Kind = policy.WaitingForMemory
		if p.Value == waitingForTables {
			p.Kind = policy.WaitingForTables
		}
	default:
		return policy.Progress{}, false
	}
	return p, true
}
