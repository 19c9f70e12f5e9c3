package control

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"embershunt/config"
)

// Phase is the phase that an update is in.
type Phase int

// The phases. An update ends when its set is active, or could not be stored or activated.
const (
	Idle     Phase = iota // no update
	Storing               // waiting for Stored
	Applying              // waiting for Applied
)

// update is the update in progress, from one set to the next; the zero value means that there is none.
type update struct {
	phase     Phase
	set       Set
	config    *config.Config
	responses responses // acknowledged or rejected when the update ends; none for a rollback
}

// handleResource processes one resource of the settings. A newer resource replaces an earlier one of the same kind that has
// no reply yet; xDS allows a client to leave the earlier one without a reply.
func (m *Module) handleResource(ev Offered) {
	m.live = ev.Live
	r := &response{version: ev.Version, nonce: ev.Nonce, message: ev.Message}
	err := ev.Err
	if err == nil {
		r.set, err = setNumberOf(ev.Kind, ev.Message)
	}
	if err != nil {
		m.received[ev.Kind] = nil
		m.reject(ev.Kind, r.version, r.nonce, []string{"form: " + err.Error()})
		return
	}
	if m.update.phase == Idle && r.set == m.active.Number { // a repeat, for instance on a new stream: the rest of its set need not follow
		m.received[ev.Kind] = nil
		m.replyActive(ev.Kind, r)
		return
	}
	m.received[ev.Kind] = r
	m.evaluate()
}

// replyActive replies to a resource that has the number of the active set.
func (m *Module) replyActive(k Kind, r *response) {
	if !proto.Equal(r.message, m.active.resource(k)) {
		m.reject(k, r.version, r.nonce, []string{fmt.Sprintf("number: set %d is already active with different content: two services "+
			"disagree, or the number was used twice", r.set)})
		return
	}
	m.acknowledge(k, r)
}

// evaluate begins the update to the set received if the set is complete, newer than the active one (or exempt by an
// override) and valid, and the settings are not pinned. A repeat of the active set is acknowledged, an unacceptable set
// rejected. During an update evaluate does nothing: the newest set received waits until the update has ended.
func (m *Module) evaluate() {
	if m.update.phase != Idle {
		return
	}
	number, ok := m.received.complete()
	if !ok {
		return
	}
	switch {
	case number == m.active.Number: // the set was received again during the update to it
		for k, r := range m.received {
			m.received[k] = nil
			m.replyActive(Kind(k), r)
		}
		return
	case number < m.active.Number && !m.overrides[number]:
		m.rejectReceived([]string{fmt.Sprintf("number: set %d is older than %d, the active set: its content needs a new, "+
			"higher number or an override", number, m.active.Number)})
		return
	case m.pinned:
		m.rejectReceived([]string{fmt.Sprintf("pinned: an operator has pinned this dispatcher to set %d", m.active.Number)})
		return
	}
	set := m.received.set(number)
	cfg, reasons := m.validate(set, m.live)
	if len(reasons) > 0 {
		m.rejectReceived(reasons)
		return
	}
	received := m.received
	m.received = responses{}
	m.beginUpdate(set, cfg, received)
}

// rejectReceived rejects the complete set received, that is, each of its resources.
func (m *Module) rejectReceived(reasons []string) {
	for k, r := range m.received {
		m.reject(Kind(k), r.version, r.nonce, reasons)
		m.received[k] = nil
	}
}

// beginUpdate starts an update: the set is stored, then activated, then acknowledged. A crash at any point leaves either
// the old or the new set as the last one in the store, and the service sends a set that was not acknowledged again.
func (m *Module) beginUpdate(set Set, cfg *config.Config, received responses) {
	m.update = update{phase: Storing, set: set, config: cfg, responses: received}
	m.emit(Store{set})
}

func (m *Module) handleStored(ev Stored) {
	if m.update.phase != Storing || ev.Number != m.update.set.Number {
		return
	}
	if ev.Err != nil {
		m.abortUpdate("store: " + ev.Err.Error())
		return
	}
	m.update.phase = Applying
	m.emit(Apply{m.update.set, m.update.config})
}

func (m *Module) handleApplied(ev Applied) {
	if m.update.phase != Applying || ev.Number != m.update.set.Number {
		return
	}
	if ev.Err != nil {
		m.emit(DeleteSet{m.update.set.Number})
		m.abortUpdate("apply: " + ev.Err.Error())
		return
	}
	m.active, m.activeFile = m.update.set, merge(m.local, m.update.set)
	delete(m.overrides, m.active.Number)
	m.rejectionReasons = nil
	for k, r := range m.update.responses {
		if r != nil {
			m.acknowledge(Kind(k), r)
		}
	}
	m.log("set %d applied", m.active.Number)
	m.endUpdate()
}

// abortUpdate ends an update whose set could not be stored or activated, and rejects the set; the active set does not
// change.
func (m *Module) abortUpdate(reason string) {
	m.rejectionReasons = []string{reason}
	m.log("set %d rejected; set %d stays in effect: %s", m.update.set.Number, m.active.Number, reason)
	for k, r := range m.update.responses {
		if r != nil {
			m.emit(Nack{Kind(k), m.ackedVersions[k], r.nonce, m.rejectionReasons})
		}
	}
	m.endUpdate()
}

// endUpdate ends the update and evaluates the set that was received during it, if any.
func (m *Module) endUpdate() {
	m.update = update{}
	m.evaluate()
}

func (m *Module) handleOverride(ev Override) {
	m.overrides[ev.Number] = true
	m.log("override: set or node list %d is exempt from the safety checks", ev.Number)
	m.evaluate()
	if m.update.phase == Idle && ev.Number != m.active.Number {
		m.emit(RenewStream{})
	}
}

func (m *Module) handlePin(ev Pin) {
	unpinned := m.pinned && !ev.On
	m.pinned = ev.On
	m.log("pinned: %v, at set %d", ev.On, m.active.Number)
	m.evaluate()
	if unpinned && m.update.phase == Idle {
		m.emit(RenewStream{})
	}
}

// handleRollBack begins the update to an earlier set that an operator has asked for, and pins the settings to it. The set
// may be older than the active one, but is validated like any other.
func (m *Module) handleRollBack(ev RollBack) {
	if m.update.phase != Idle {
		m.log("rollback to set %d rejected: set %d is being applied", ev.Set.Number, m.update.set.Number)
		return
	}
	cfg, reasons := m.validate(ev.Set, ev.Live)
	if len(reasons) > 0 {
		m.rejectionReasons = reasons
		m.log("rollback to set %d rejected: %s", ev.Set.Number, strings.Join(reasons, "; "))
		return
	}
	m.pinned = true
	m.beginUpdate(ev.Set, cfg, responses{})
}
