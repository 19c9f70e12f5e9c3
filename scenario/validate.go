package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"embershunt/config"
)

// Bounds of a script.
const (
	maxNodes       = 100
	maxDispatchers = 20
	maxLength      = 10 * time.Minute
	maxRate        = 5000 // queries a second of one group
	maxBurst       = 20_000
)

// report adds a violation at a path of the script.
type report func(path, found, allowed string)

// validate checks what the types alone cannot say.
func (s *Script) validate(wrong func(path, found, allowed string)) {
	nodes := s.validateNodes(wrong)
	if s.Dispatchers < 1 || s.Dispatchers > maxDispatchers {
		wrong("dispatchers", fmt.Sprint(s.Dispatchers), fmt.Sprintf("1 to %d", maxDispatchers))
	}
	if s.Length.D() < time.Second || s.Length.D() > maxLength {
		wrong("length", s.Length.D().String(), "1s to 10m")
	}
	if nodes == 0 {
		wrong("nodes", "none", "at least one group")
	}
	for i := range s.Clients {
		s.Clients[i].validate(wrong, fmt.Sprintf("clients[%d]", i), s.Config.Classes)
	}
	for i, v := range s.Versions {
		if v.Number < 1 || i > 0 && v.At < s.Versions[i-1].At {
			wrong(fmt.Sprintf("versions[%d]", i), fmt.Sprintf("number %d at %v", v.Number, v.At.D()),
				"numbers from 1, in the order of their times")
		}
	}
	for i := range s.Faults {
		s.Faults[i].validate(wrong, fmt.Sprintf("faults[%d]", i), nodes, s.Dispatchers)
	}
}

// validateNodes returns the number of nodes.
func (s *Script) validateNodes(wrong report) (nodes int) {
	for i, g := range s.Nodes {
		nodes += g.Count
		if g.Count < 1 || nodes > maxNodes {
			wrong(fmt.Sprintf("nodes[%d].count", i), fmt.Sprint(g.Count), fmt.Sprintf("1 or more, %d in all at most", maxNodes))
		}
	}
	return nodes
}

func (g *ClientGroup) validate(wrong report, at string, classes []config.Class) {
	if g.Rate < 0 || g.Rate > maxRate {
		wrong(at+".rate", fmt.Sprint(g.Rate), fmt.Sprintf("0 to %d a second", maxRate))
	}
	if g.Deadline.D() < time.Millisecond {
		wrong(at+".deadline", g.Deadline.D().String(), "1ms or more")
	}
	if g.Native < 0 || g.Native > 1 {
		wrong(at+".native", fmt.Sprint(g.Native), "0 to 1")
	}
	if g.Burst < 0 || g.Burst > maxBurst {
		wrong(at+".burst", fmt.Sprint(g.Burst), fmt.Sprintf("0 to %d", maxBurst))
	}
	if !slices.ContainsFunc(classes, func(c config.Class) bool { return c.Name == g.Class }) {
		wrong(at+".class", fmt.Sprintf("%q", g.Class), "a class of config.classes")
	}
}

// validate checks the kind of a fault and the numbers of the nodes or dispatchers that it is to meet.
func (f *Fault) validate(wrong report, at string, nodes, dispatchers int) {
	needsTargets, known := faultKinds[f.Kind]
	if !known {
		wrong(at+".do", fmt.Sprintf("%q", f.Kind), strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", "))
		return
	}
	targets := nodes
	if f.Kind == "kill" {
		targets = dispatchers
	}
	if needsTargets == (len(f.Nodes) == 0) {
		wrong(at+".nodes", fmt.Sprint(f.Nodes), "numbers for faults of nodes and dispatchers, none for those of the list")
	}
	for _, n := range f.Nodes {
		if n < 0 || n >= targets {
			wrong(at+".nodes", fmt.Sprint(n), fmt.Sprintf("0 to %d", targets-1))
		}
	}
}
