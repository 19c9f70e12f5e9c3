package control

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"embershunt/config"
)

// Phase is the phase of an update.
type Phase int

// The phases.
const (
	Idle Phase = iota
	Storing
	Applying
)

// update is a set on its way to become active; the zero value is none.
type update struct {
	phase     Phase
	set       Set
	config    *config.Config
	responses responses // to be answered at its end; none for a rollback
}

// handleResource processes one resource of the settings. Only the newest of a kind counts: an earlier one that has no
// reply is dropped, as xDS allows.
func (m *Module) handleResource(ev Offered) {
	m.live = ev.Live
	r := &response{version: ev.Version, nonce: ev.Nonce, message: ev.Message}
	err := ev.Err
	if err == nil {
		r.set, err = setNumber(ev.Kind, ev.Message)
	}
	if err != nil {
		m.received[ev.Kind] = nil
		m.reject(ev.Kind, r.version, r.nonce, []string{"form: " + err.Error()})
		return
	}
	if m.update.phase == Idle && r.set == m.active.Number { // it may be alone: repeated, or on a new stream
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
		m.reject(k, r.version, r.nonce, []string{fmt.Sprintf("number: set %d is in force with another content: two services "+
			"disagree, or a number was used twice", r.set)})
		return
	}
	m.acknowledge(k, r)
}

// evaluate begins the update to the set received, if it is complete, newer than the active one and valid. A repeat of
// the active set is acknowledged. During an update the newest set waits until the update has ended.
func (m *Module) evaluate() {
	if m.update.phase != Idle {
		return
	}
	number, ok := m.received.complete()
	if !ok {
		return
	}
	switch {
	case number == m.active.Number: // it was received during the update to it
		for k, r := range m.received {
			m.received[k] = nil
			m.replyActive(Kind(k), r)
		}
		return
	case number < m.active.Number && !m.overrides[number]:
		m.rejectReceived([]string{fmt.Sprintf("number: set %d is older than %d, which is in force: going back takes a new "+
			"number or an override", number, m.active.Number)})
		return
	case m.pinned:
		m.rejectReceived([]string{fmt.Sprintf("pinned: an operator holds this dispatcher at set %d", m.active.Number)})
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

func (m *Module) rejectReceived(reasons []string) {
	for k, r := range m.received {
		m.reject(Kind(k), r.version, r.nonce, reasons)
		m.received[k] = nil
	}
}

// beginUpdate starts an update: the set is stored, then activated, then acknowledged. A crash at any point leaves either
// the old or the new set in the store, and the service sends again what was not acknowledged.
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
	m.rejected = nil
	for k, r := range m.update.responses {
		if r != nil {
			m.acknowledge(Kind(k), r)
		}
	}
	m.log("set %d applied", m.active.Number)
	m.endUpdate()
}

// abortUpdate ends an update that failed; the active set stays.
func (m *Module) abortUpdate(reason string) {
	m.rejected = []string{reason}
	m.log("set %d rejected, %d stays in effect: %s", m.update.set.Number, m.active.Number, reason)
	for k, r := range m.update.responses {
		if r != nil {
			m.emit(Nack{Kind(k), m.accepted[k], r.nonce, m.rejected})
		}
	}
	m.endUpdate()
}

// endUpdate evaluates the next set, which may have been received during the update.
func (m *Module) endUpdate() {
	m.update = update{}
	m.evaluate()
}

func (m *Module) handleOverride(ev Override) {
	m.overrides[ev.Number] = true
	m.log("override: set %d may pass the safety checks", ev.Number)
	m.evaluate()
	if m.update.phase == Idle && ev.Number != m.active.Number {
		m.emit(Renew{})
	}
}

func (m *Module) handlePin(ev Pin) {
	unpinned := m.pinned && !ev.On
	m.pinned = ev.On
	m.log("pinned: %v, at set %d", ev.On, m.active.Number)
	m.evaluate()
	if unpinned && m.update.phase == Idle {
		m.emit(Renew{})
	}
}

// handleRollBack activates an earlier set by an operator's command, and pins it.
func (m *Module) handleRollBack(ev RollBack) {
	if m.update.phase != Idle {
		m.log("rollback to set %d rejected: set %d is being applied", ev.Set.Number, m.update.set.Number)
		return
	}
	cfg, reasons := m.validate(ev.Set, ev.Live)
	if len(reasons) > 0 {
		m.rejected = reasons
		m.log("rollback to set %d rejected: %s", ev.Set.Number, strings.Join(reasons, "; "))
		return
	}
	m.pinned = true
	m.beginUpdate(ev.Set, cfg, responses{})
}
