// Package control decides which versions of streamed settings and node lists a dispatcher accepts. It performs no I/O,
// reads no clock and starts no goroutine: Step takes an event and returns the replies and other actions that follow from
// it. The transport, the store and the event loop belong to the caller (docs/design-control.md).
//
// A version of the settings is a set: one resource of each kind, all with the same number. It is validated as a whole,
// stored, activated and only then acknowledged. A node list is validated independently of the sets.
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
	bounds           Bounds
	local            config.File // the configuration file; a set replaces its streamed parts
	actions          []Action    // of the current step
	now              Micros
	active           Set
	activeFile       config.File               // local with the active set merged in
	received         responses                 // responses without a reply; their set may be incomplete
	ackedVersions    [settingsKinds + 1]string // last version acknowledged, by kind; "": none
	update           update
	pinned           bool
	overrides        map[uint64]bool // numbers of sets and node lists that an operator has exempted from the safety checks
	live             LiveState       // as of the last resource of the settings
	rejectionReasons []string        // of the last rejection; nil: none since the last activation of a set
	nodes            nodeTable
}

// New returns a module. local is the configuration file; active is the set that the dispatcher starts with, whose number
// is 0 where it starts from the file alone.
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
	Incomplete []string          `json:"Waiting"` // kinds received that wait for the rest of their set, or for the end of an update
	Pinned     bool              `json:"Pinned"`
	Versions   map[string]string `json:"Versions"` // last version acknowledged, by kind
	Rejected   []string          `json:"Refused"`  // reasons of the last rejection; nil: none since the last activation of a set
}

// Status returns the module's state.
func (m *Module) Status() Status {
	s := Status{Number: m.active.Number, Updating: m.update.set.Number, Phase: m.update.phase, Pinned: m.pinned,
		Versions: map[string]string{}, Rejected: m.rejectionReasons}
	for k, r := range m.received {
		if r != nil {
			s.Incomplete = append(s.Incomplete, Kind(k).String())
		}
	}
	for k, v := range m.ackedVersions {
		if v != "" {
			s.Versions[Kind(k).String()] = v
		}
	}
	return s
}

// Active returns the active set; its number is 0 where the settings come from the file.
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
		m.handleStreamLost()
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
	m.ackedVersions[k] = r.version
	m.emit(Ack{k, r.version, r.nonce})
}

func (m *Module) reject(k Kind, version, nonce string, reasons []string) {
	m.rejectionReasons = reasons
	m.emit(Nack{k, m.ackedVersions[k], nonce, reasons})
	m.log("%s %q rejected, the last good version stays in effect: %s", k, version, strings.Join(reasons, "; "))
}

// handleStreamLost drops the responses without a reply. An update in progress continues, as storing and activating do not
// depend on the stream; its set is acknowledged when the service sends it again on the next stream.
func (m *Module) handleStreamLost() {
	m.received, m.update.responses = responses{}, responses{}
	m.log("stream to the control service ended; set %d stays in effect", m.active.Number)
}
