package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"embershunt/config"
)

// Limits on the values in a script.
const (
	maxNodes       = 100
	maxDispatchers = 20
	maxLength      = 10 * time.Minute
	maxRate        = 5000 // queries per second of one group
	maxBurst       = 20_000
)

// violationFunc records a violation: the path in the script, the value found and the values allowed.
type violationFunc func(path, found, allowed string)

// validate reports values that have the right type but are out of range or refer to something that the script lacks.
func (s *Script) validate(addViolation func(path, found, allowed string)) {
	nodes := s.validateNodes(addViolation)
	if s.Dispatchers < 1 || s.Dispatchers > maxDispatchers {
		addViolation("dispatchers", fmt.Sprint(s.Dispatchers), fmt.Sprintf("1 to %d", maxDispatchers))
	}
	if s.Length.D() < time.Second || s.Length.D() > maxLength {
		addViolation("length", s.Length.D().String(), "1s to 10m")
	}
	if nodes == 0 {
		addViolation("nodes", "none", "at least one group")
	}
	for i := range s.Clients {
		s.Clients[i].validate(addViolation, fmt.Sprintf("clients[%d]", i), s.Config.Classes)
	}
	for i, v := range s.Versions {
		if v.Number < 1 || i > 0 && v.At < s.Versions[i-1].At {
			addViolation(fmt.Sprintf("versions[%d]", i), fmt.Sprintf("number %d at %v", v.Number, v.At.D()),
				"numbers from 1, in the order of their times")
		}
	}
	for i := range s.Faults {
		s.Faults[i].validate(addViolation, fmt.Sprintf("faults[%d]", i), nodes, s.Dispatchers)
	}
}

// validateNodes validates the node groups and returns the number of nodes.
func (s *Script) validateNodes(addViolation violationFunc) (nodes int) {
	for i, g := range s.Nodes {
		nodes += g.Count
		if g.Count < 1 || nodes > maxNodes {
			addViolation(fmt.Sprintf("nodes[%d].count", i), fmt.Sprint(g.Count), fmt.Sprintf("1 or more, %d in all at most", maxNodes))
		}
	}
	return nodes
}

// validate checks a client group; at is its path in the script.
func (g *ClientGroup) validate(addViolation violationFunc, at string, classes []config.Class) {
	if g.Rate < 0 || g.Rate > maxRate {
		addViolation(at+".rate", fmt.Sprint(g.Rate), fmt.Sprintf("0 to %d per second", maxRate))
	}
	if g.Deadline.D() < time.Millisecond {
		addViolation(at+".deadline", g.Deadline.D().String(), "1ms or more")
	}
	if g.Native < 0 || g.Native > 1 {
		addViolation(at+".native", fmt.Sprint(g.Native), "0 to 1")
	}
	if g.Burst < 0 || g.Burst > maxBurst {
		addViolation(at+".burst", fmt.Sprint(g.Burst), fmt.Sprintf("0 to %d", maxBurst))
	}
	if !slices.ContainsFunc(classes, func(c config.Class) bool { return c.Name == g.Class }) {
		addViolation(at+".class", fmt.Sprintf("%q", g.Class), "a class of config.classes")
	}
}

// validate checks the kind of a fault and the numbers of its target nodes or dispatchers; at is its path in the script.
func (f *Fault) validate(addViolation violationFunc, at string, nodes, dispatchers int) {
	needsTargets, known := faultKinds[f.Kind]
	if !known {
		addViolation(at+".do", fmt.Sprintf("%q", f.Kind), strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", "))
		return
	}
	targets := nodes
	if f.Kind == "kill" {
		targets = dispatchers
	}
	if needsTargets == (len(f.Nodes) == 0) {
		addViolation(at+".nodes", fmt.Sprint(f.Nodes), "node or dispatcher numbers; none for faults of the node list")
	}
	for _, n := range f.Nodes {
		if n < 0 || n >= targets {
			addViolation(at+".nodes", fmt.Sprint(n), fmt.Sprintf("0 to %d", targets-1))
		}
	}
}
