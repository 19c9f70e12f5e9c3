// Package control decides which versions of streamed settings and node lists a dispatcher accepts. It is free of I/O,
// clocks and goroutines: events go in, replies and other actions come out. The transport, the store and the event loop
// belong to the caller (docs/design-control.md).
//
// A version of the settings is a set: one resource of each kind, all with the same number. It is validated as a whole,
// stored, activated and only then acknowledged. A node list is validated by itself.
package control

import (
	"fmt"
	"strings"

	"embershunt/config"
	"embershunt/policy"
)

// Micros is a point in time or a duration, in microseconds of the caller's clock.
type Micros = policy.Micros

// Module is the decision module of one dispatcher. It is not safe for concurrent use.
type Module struct {
	bounds     Bounds
	local      config.File // the settings that are not streamed
	actions    []Action    // of the present step
	now        Micros
	active     Set
	activeFile config.File // local with the active set merged in
	received   responses   // without a reply, of a set that may be incomplete
	accepted   [settingsKinds + 1]string
	update     update
	pinned     bool
	overrides  map[uint64]bool // numbers that an operator has exempted from the safety checks
	live       LiveState       // as of the last response
	rejected   []string        // reasons of the last rejection
	nodes      nodeTable
}

// New returns a module. Local is the configuration at the start; active is the set it was made with, number 0 where it
// came from a file.
func New(b Bounds, local config.File, active Set) *Module {
	m := &Module{bounds: b, local: local, active: active, activeFile: local, overrides: map[uint64]bool{}}
	if active.Number > 0 {
		m.activeFile = merge(local, active)
	}
	m.nodes.records = map[string]*nodeRecord{}
	return m
}

// Status is the module's state as operators see it.
type Status struct {
	Number     uint64            `json:"Number"`  // of the active set; 0: from the file
	Updating   uint64            `json:"Moving"`  // of the set that is being stored or activated; 0: none
	Phase      Phase             `json:"Phase"`   // of that set
	Incomplete []string          `json:"Waiting"` // kinds received that wait for the rest of their set
	Pinned     bool              `json:"Pinned"`
	Versions   map[string]string `json:"Versions"` // last version acknowledged, by kind
	Rejected   []string          `json:"Refused"`  // reasons of the last rejection; nil: nothing was rejected since the last activation
}

// Status returns the module's state.
func (m *Module) Status() Status {
	s := Status{Number: m.active.Number, Updating: m.update.set.Number, Phase: m.update.phase, Pinned: m.pinned,
		Versions: map[string]string{}, Rejected: m.rejected}
	for k, r := range m.received {
		if r != nil {
			s.Incomplete = append(s.Incomplete, Kind(k).String())
		}
	}
	for k, v := range m.accepted {
		if v != "" {
			s.Versions[Kind(k).String()] = v
		}
	}
	return s
}

// Active is the active set.
func (m *Module) Active() Set { return m.active }

// Step processes one event and returns the actions that follow from it.
func (m *Module) Step(now Micros, ev Event) []Action {
	m.now, m.actions = now, nil
	switch ev := ev.(type) {
	case Offered:
		if ev.Kind == Nodes {
			m.handleNodeList(ev)
		} else {
			m.handleResource(ev)
		}
	case Stored:
		m.handleStored(ev)
	case Applied:
		m.handleApplied(ev)
	case StreamLost:
		m.handleLost()
	case Override:
		m.handleOverride(ev)
	case Pin:
		m.handlePin(ev)
	case RollBack:
		m.handleRollBack(ev)
	default:
		panic(fmt.Sprintf("control: unknown event %T", ev))
	}
	return m.actions
}

func (m *Module) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Module) log(format string, args ...any) { m.emit(Log{fmt.Sprintf(format, args...)}) }

func (m *Module) acknowledge(k Kind, r *response) {
	m.accepted[k] = r.version
	m.emit(Ack{k, r.version, r.nonce})
}

func (m *Module) reject(k Kind, version, nonce string, reasons []string) {
	m.rejected = reasons
	m.emit(Nack{k, m.accepted[k], nonce, reasons})
	m.log("%s %q rejected, the last good version stays in effect: %s", k, version, strings.Join(reasons, "; "))
}

// handleLost drops the responses without a reply. An update goes on: its store does not depend on the stream, and the
// service will send the set again and find it active.
func (m *Module) handleLost() {
	m.received, m.update.responses = responses{}, responses{}
	m.log("control service unreachable; set %d stays in effect", m.active.Number)
}
