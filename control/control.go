// Package control decides which streamed versions a dispatcher takes. It is free of I/O, clock and goroutine: what was
// offered and what is known goes in, replies and what to do come out. The transport, the store and the loop are the
// caller's (docs/design-control.md).
//
// A version of the settings is a set: one resource of each kind, all with the same number. It is judged as a whole,
// stored, put in force and only then acknowledged. A node list is judged by itself.
package control

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"embershunt/config"
	"embershunt/control/configv1"
	"embershunt/nodelist"
	"embershunt/policy"
)

// Micros is a point in time or a span, in microseconds of the caller's clock.
type Micros = policy.Micros

// Kind is a kind of resource.
type Kind int

// The kinds. Those of the settings come first; a set has one of each.
const (
	Classes Kind = iota
	Tenants
	Limits
	Classification
	Fronts
	Nodes
	settingsKinds = int(Nodes)
)

func (k Kind) String() string {
	return [...]string{"classes", "tenants", "limits", "classification", "fronts", "nodes"}[k]
}

// Set is one version of the settings.
type Set struct {
	Number         uint64
	Classes        *configv1.Classes
	Tenants        *configv1.Tenants
	Limits         *configv1.Limits
	Classification *configv1.Classification
	Fronts         *configv1.Fronts
}

// Live is what the dispatcher knows at the moment of a decision.
type LiveState struct {
	InFlight        map[string]int // queries without a final answer, by class
	Retries         int            // further attempts made within the budget's span
	Received        int            // queries taken within it
	OrderKeyResting bool           // an order key rests, or may
}

// Event is what happened.
type Event interface{ isEvent() }

// The events.
type (
	// Offered is one resource of one response. Bad tells that its form cannot be read; then Message and Nodes are empty.
	Offered struct {
		Kind    Kind
		Version string // of the response, opaque
		Nonce   string
		Message proto.Message   // of the settings' kinds
		Nodes   []nodelist.Node // of Nodes
		Bad     error
		Live    LiveState
	}
	// Stored is the end of a Store.
	Stored struct {
		Number uint64
		Err    error
	}
	// Applied is the end of an Apply.
	Applied struct {
		Number uint64
		Err    error
	}
	// Lost tells that the stream broke: what was not replied to will be offered again.
	Lost struct{}
	// Override lets one number pass the checks for harm, once. The caller has checked who says so.
	Override struct{ Number uint64 }
	// Pin holds the settings at the number in force until it is told otherwise.
	Pin struct{ On bool }
	// RollBack asks for an earlier set, which the caller has read from the store.
	RollBack struct {
		Set  Set
		Live LiveState
	}
)

func (Offered) isEvent()  {}
func (Stored) isEvent()   {}
func (Applied) isEvent()  {}
func (Lost) isEvent()     {}
func (Override) isEvent() {}
func (Pin) isEvent()      {}
func (RollBack) isEvent() {}

// Action is something to do about it.
type Action interface{ isAction() }

// The actions, to be carried out in order.
type (
	// Ack tells the service that a response was taken.
	Ack struct {
		Kind           Kind
		Version, Nonce string
	}
	// Nack tells it that one was refused, and why; Version is the last one taken.
	Nack struct {
		Kind           Kind
		Version, Nonce string
		Reasons        []string
	}
	// Store asks to make a set durable; Stored answers.
	Store struct{ Set Set }
	// Apply asks to put a set in force; Applied answers.
	Apply struct {
		Set    Set
		Config *config.Config
	}
	// Forget asks to take a stored set out again: it could not be put in force.
	Forget struct{ Number uint64 }
	// List puts a node list in force.
	List struct{ Nodes []nodelist.Node }
	// ListRefused tells the decision module that a list could not be used.
	ListRefused struct{ Reasons []string }
	// Renew asks for a new stream: what was refused may be taken now, and a service offers a version but once a stream.
	Renew struct{}
	// Log is a line for the operators.
	Log struct{ Text string }
)

func (Ack) isAction()         {}
func (Nack) isAction()        {}
func (Store) isAction()       {}
func (Apply) isAction()       {}
func (Forget) isAction()      {}
func (List) isAction()        {}
func (ListRefused) isAction() {}
func (Renew) isAction()       {}
func (Log) isAction()         {}

// offer is one response that has no reply yet.
type offer struct {
	version, nonce string
	set            uint64
	message        proto.Message
	bad            error
}

// Phase is where a set stands.
type Phase int

// The phases.
const (
	Idle Phase = iota
	Storing
	Applying
)

// Module judges for one dispatcher. It is not safe for concurrent use.
type Module struct {
	bounds  Bounds
	local   config.File // what is not streamed
	out     []Action
	now     Micros
	force   Set
	file    config.File // in force
	waiting [settingsKinds]*offer
	taken   [settingsKinds + 1]string // last version acknowledged, by kind
	phase   Phase
	moving  Set
	replies [settingsKinds]*offer // of the set that moves
	back    bool                  // the set that moves is a roll back: nobody waits for a reply
	pinned  bool
	pass    map[uint64]bool // numbers that an operator lets pass
	latest  LiveState       // as of the last offer
	last    []string        // reasons of the last refusal
	nodes   nodes
}

// New returns a module. Local is the configuration in force at the start; force is the set it was made with, number 0
// where it came from a file.
func New(b Bounds, local config.File, force Set) *Module {
	m := &Module{bounds: b, local: local, force: force, file: local, pass: map[uint64]bool{}}
	if force.Number > 0 {
		m.file = merge(local, force)
	}
	m.nodes.known = map[string]*known{}
	return m
}

// Status is what operators see.
type Status struct {
	Number   uint64            `json:"Number"`  // of the set in force; 0: from the file
	Moving   uint64            `json:"Moving"`  // of the set that is being stored or put in force; 0: none
	Phase    Phase             `json:"Phase"`   //
	Waiting  []string          `json:"Waiting"` // kinds offered that wait for the rest of their set
	Pinned   bool              `json:"Pinned"`
	Versions map[string]string `json:"Versions"` // last version acknowledged, by kind
	Refused  []string          `json:"Refused"`  // reasons of the last refusal; nil: nothing was refused since the last one taken
}

// Status tells where the module stands.
func (m *Module) Status() Status {
	s := Status{Number: m.force.Number, Moving: m.moving.Number, Phase: m.phase, Pinned: m.pinned,
		Versions: map[string]string{}, Refused: m.last}
	for k, o := range m.waiting {
		if o != nil {
			s.Waiting = append(s.Waiting, Kind(k).String())
		}
	}
	for k, v := range m.taken {
		if v != "" {
			s.Versions[Kind(k).String()] = v
		}
	}
	return s
}

// InForce is the set in force.
func (m *Module) InForce() Set { return m.force }

// Step plays one event and returns what to do.
func (m *Module) Step(now Micros, ev Event) []Action {
	m.now, m.out = now, nil
	switch ev := ev.(type) {
	case Offered:
		if ev.Kind == Nodes {
			m.offeredNodes(ev)
		} else {
			m.offered(ev)
		}
	case Stored:
		m.stored(ev)
	case Applied:
		m.applied(ev)
	case Lost:
		m.lost()
	case Override:
		m.pass[ev.Number] = true
		m.log("override: set %d passes the checks for harm, by an operator's word", ev.Number)
		m.judge()
		if m.phase == Idle && ev.Number != m.force.Number {
			m.do(Renew{})
		}
	case Pin:
		freed := m.pinned && !ev.On
		m.pinned = ev.On
		m.log("pinned: %v, at set %d", ev.On, m.force.Number)
		m.judge()
		if freed && m.phase == Idle {
			m.do(Renew{})
		}
	case RollBack:
		m.rollBack(ev)
	default:
		panic(fmt.Sprintf("control: unknown event %T", ev))
	}
	return m.out
}

func (m *Module) do(a Action) { m.out = append(m.out, a) }

func (m *Module) log(format string, args ...any) { m.do(Log{fmt.Sprintf(format, args...)}) }

// offered takes one resource of the settings. The newest of a kind is all that counts: one before it that has no reply
// is passed over, as xDS allows.
func (m *Module) offered(ev Offered) {
	m.latest = ev.Live
	o := &offer{version: ev.Version, nonce: ev.Nonce, message: ev.Message, bad: ev.Bad}
	if o.bad == nil {
		o.set, o.bad = setOf(ev.Kind, ev.Message)
	}
	if o.bad != nil {
		m.waiting[ev.Kind] = nil
		m.refuse(ev.Kind, o, []string{"form: " + o.bad.Error()})
		return
	}
	if m.phase == Idle && o.set == m.force.Number { // it may come alone: a response that was repeated, or of a new stream
		m.waiting[ev.Kind] = nil
		m.again(ev.Kind, o)
		return
	}
	m.waiting[ev.Kind] = o
	m.judge()
}

// again replies to a resource that has the number of the set in force.
func (m *Module) again(k Kind, o *offer) {
	if !proto.Equal(o.message, m.force.part(k)) {
		m.refuse(k, o, []string{fmt.Sprintf("number: set %d is in force with another content: two services disagree, or a "+
			"number was used twice", o.set)})
		return
	}
	m.taken[k] = o.version
	m.do(Ack{k, o.version, o.nonce})
}

// part is the set's resource of a kind; nil where it has none.
func (s *Set) part(k Kind) proto.Message {
	return [...]proto.Message{s.Classes, s.Tenants, s.Limits, s.Classification, s.Fronts}[k]
}

// setOf checks a resource's form and finds its set's number.
func setOf(k Kind, message proto.Message) (uint64, error) {
	var number uint64
	is := Kind(-1)
	switch r := message.(type) {
	case *configv1.Classes:
		is, number = Classes, r.GetSet()
	case *configv1.Tenants:
		is, number = Tenants, r.GetSet()
	case *configv1.Limits:
		is, number = Limits, r.GetSet()
	case *configv1.Classification:
		is, number = Classification, r.GetSet()
	case *configv1.Fronts:
		is, number = Fronts, r.GetSet()
	}
	switch {
	case is != k:
		return 0, fmt.Errorf("%T is no resource of %s", message, k)
	case number == 0:
		return 0, fmt.Errorf("%s: set is 0, allowed are numbers from 1", k)
	}
	return number, nil
}

// judge looks at what waits: a whole set of one number, newer than the one in force, is judged; what repeats the one in
// force is acknowledged; the rest is held back.
func (m *Module) judge() {
	if m.phase != Idle { // the newest waits until the one that moves has arrived
		return
	}
	number := uint64(0)
	for _, o := range m.waiting {
		if o == nil {
			return // the set is not whole
		}
		if number == 0 {
			number = o.set
		}
		if o.set != number {
			return // the others are on their way
		}
	}
	set := m.gather(number)
	switch {
	case number == m.force.Number: // it came while another one moved
		for k, o := range m.waiting {
			m.waiting[k] = nil
			m.again(Kind(k), o)
		}
		return
	case number < m.force.Number && !m.pass[number]:
		m.refuseAll([]string{fmt.Sprintf("number: set %d is older than %d, which is in force: going back takes a new "+
			"number or an override", number, m.force.Number)})
		return
	case m.pinned:
		m.refuseAll([]string{fmt.Sprintf("pinned: an operator holds this dispatcher at set %d", m.force.Number)})
		return
	}
	cfg, reasons := m.check(set, m.latest)
	if len(reasons) > 0 {
		m.refuseAll(reasons)
		return
	}
	m.move(set, cfg, false)
}

// gather takes what waits for a set.
func (m *Module) gather(number uint64) Set {
	return Set{Number: number, Classes: m.waiting[Classes].message.(*configv1.Classes),
		Tenants:        m.waiting[Tenants].message.(*configv1.Tenants),
		Limits:         m.waiting[Limits].message.(*configv1.Limits),
		Classification: m.waiting[Classification].message.(*configv1.Classification),
		Fronts:         m.waiting[Fronts].message.(*configv1.Fronts)}
}

// move begins the way of a set: durable first, then in force, then acknowledged. A crash at any place leaves either the
// old or the new set in the store, and the service offers again what was not acknowledged.
func (m *Module) move(set Set, cfg *config.Config, back bool) {
	m.phase, m.moving, m.back = Storing, set, back
	m.replies = [settingsKinds]*offer{}
	if !back {
		m.replies, m.waiting = m.waiting, [settingsKinds]*offer{}
	}
	m.bounds.config = cfg
	m.do(Store{set})
}

func (m *Module) stored(ev Stored) {
	if m.phase != Storing || ev.Number != m.moving.Number {
		return
	}
	if ev.Err != nil {
		m.fail("store: " + ev.Err.Error())
		return
	}
	m.phase = Applying
	m.do(Apply{m.moving, m.bounds.config})
}

func (m *Module) applied(ev Applied) {
	if m.phase != Applying || ev.Number != m.moving.Number {
		return
	}
	if ev.Err != nil {
		m.do(Forget{m.moving.Number})
		m.fail("apply: " + ev.Err.Error())
		return
	}
	m.force, m.file = m.moving, merge(m.local, m.moving)
	delete(m.pass, m.force.Number)
	m.last = nil
	for k, o := range m.replies {
		if o != nil {
			m.taken[k] = o.version
			m.do(Ack{Kind(k), o.version, o.nonce})
		}
	}
	m.log("set %d is in force", m.force.Number)
	m.settle()
}

// fail ends a set's way without it.
func (m *Module) fail(why string) {
	m.last = []string{why}
	m.log("set %d is not taken, %d stays in force: %s", m.moving.Number, m.force.Number, why)
	for k, o := range m.replies {
		if o != nil {
			m.do(Nack{Kind(k), m.taken[k], o.nonce, m.last})
		}
	}
	m.settle()
}

// settle makes room for the next set, which may have come meanwhile.
func (m *Module) settle() {
	m.phase, m.moving, m.replies, m.bounds.config = Idle, Set{}, [settingsKinds]*offer{}, nil
	m.judge()
}

func (m *Module) refuseAll(reasons []string) {
	for k, o := range m.waiting {
		m.refuse(Kind(k), o, reasons)
		m.waiting[k] = nil
	}
}

func (m *Module) refuse(k Kind, o *offer, reasons []string) {
	m.last = reasons
	m.do(Nack{k, m.taken[k], o.nonce, reasons})
	m.log("%s %q refused, the last good version holds: %s", k, o.version, strings.Join(reasons, "; "))
}

// lost forgets what has no reply. A set that moves goes on: its store is not the stream's matter, and the service will
// offer it again and find it in force.
func (m *Module) lost() {
	m.waiting, m.replies = [settingsKinds]*offer{}, [settingsKinds]*offer{}
	m.log("the control service is out of reach; set %d stays in force", m.force.Number)
}

// rollBack puts an earlier set in force again, by an operator's word, and holds it there.
func (m *Module) rollBack(ev RollBack) {
	if m.phase != Idle {
		m.log("roll back to set %d refused: set %d is on its way", ev.Set.Number, m.moving.Number)
		return
	}
	cfg, reasons := m.check(ev.Set, ev.Live)
	if len(reasons) > 0 {
		m.last = reasons
		m.log("roll back to set %d refused: %s", ev.Set.Number, strings.Join(reasons, "; "))
		return
	}
	m.pinned = true
	m.move(ev.Set, cfg, true)
}
