package server

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"embershunt/control"
)

// The admin interface is HTTP with JSON on a Unix socket that only its owner may open. Its client is cmd/dispatcherctl.

// ConfigState is the response to GET /config.
type ConfigState struct {
	Dispatcher string          `json:"dispatcher"`
	Status     control.Status  `json:"status"`
	History    []uint64        `json:"history"` // numbers of the stored sets, the oldest first
	Effective  json.RawMessage `json:"effective"`
}

// OverrideSigningMessage returns the message that an operator signs to exempt one version from the safety checks at one dispatcher.
func OverrideSigningMessage(dispatcher string, number uint64) []byte {
	return fmt.Appendf(nil, "embershunt override %s %d", dispatcher, number)
}

// AdminHandler returns the HTTP handler of the admin socket: operators read the configuration with it and change the version in force.
func (d *Dispatcher) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	for pattern, handle := range map[string]func(*http.Request) (any, error){
		"GET /config":           func(*http.Request) (any, error) { return d.configState() },
		"GET /config/{number}":  d.storedConfig,
		"POST /config/pin":      d.pin,
		"POST /config/override": d.override,
		"POST /config/rollback": d.rollBack,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			body, err := handle(r)
			writeJSON(w, body, err)
		})
	}
	return mux
}

// writeJSON writes a response body, or status 400 with the error in its place.
func writeJSON(w http.ResponseWriter, body any, err error) {
	w.Header().Set("content-type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		body = map[string]string{"error": err.Error()}
	}
	_ = json.NewEncoder(w).Encode(body) // writing fails only when the client has disconnected
}

// storedConfig handles GET /config/{number}: it returns the effective configuration with a stored set merged in.
func (d *Dispatcher) storedConfig(r *http.Request) (any, error) {
	n, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%q is not the number of a set", r.PathValue("number"))
	}
	set, err := d.storedSet(n)
	if err != nil {
		return nil, err
	}
	cfg, err := control.Merge(d.controller.local, set)
	if err != nil {
		return nil, err
	}
	text, err := cfg.Effective()
	return json.RawMessage(text), err
}

// pin handles POST /config/pin: on=true keeps the version in force, on=false lets versions change again.
func (d *Dispatcher) pin(r *http.Request) (any, error) {
	on, err := strconv.ParseBool(r.FormValue("on"))
	if err != nil {
		return nil, fmt.Errorf("on=%q is neither true nor false", r.FormValue("on"))
	}
	return d.applyOperatorEvent(r.Context(), control.Pin{On: on})
}

// override handles POST /config/override: it exempts a version from the safety checks if an operator has signed OverrideSigningMessage.
func (d *Dispatcher) override(r *http.Request) (any, error) {
	n, err := formNumber(r)
	if err != nil {
		return nil, err
	}
	if err := d.checkSignature(n, r.FormValue("signature")); err != nil {
		return nil, err
	}
	d.log.Warn("override requested by an operator", "set", n)
	return d.applyOperatorEvent(r.Context(), control.Override{Number: n})
}

// rollBack handles POST /config/rollback: it puts a stored version in force again.
func (d *Dispatcher) rollBack(r *http.Request) (any, error) {
	n, err := formNumber(r)
	if err != nil {
		return nil, err
	}
	set, err := d.storedSet(n)
	if err != nil {
		return nil, err
	}
	live, err := d.liveState(r.Context())
	if err != nil {
		return nil, err
	}
	return d.applyOperatorEvent(r.Context(), control.RollBack{Set: set, Live: live})
}

// formNumber parses the form value "number", the number of a set.
func formNumber(r *http.Request) (uint64, error) {
	n, err := strconv.ParseUint(r.FormValue("number"), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("number=%q is not the number of a set", r.FormValue("number"))
	}
	return n, nil
}

var (
	errSettingsNotStreamed = errors.New("this dispatcher streams no settings: its file has no control block")
	errVersionsNotStored   = errors.New("this dispatcher stores no versions of its settings: control.store is not set")
)

// applyOperatorEvent steps the control module with an operator's event and returns the response to GET /config after it.
func (d *Dispatcher) applyOperatorEvent(ctx context.Context, ev control.Event) (any, error) {
	if d.controller == nil {
		return nil, errSettingsNotStreamed
	}
	done := make(chan struct{})
	step := func(m *control.Module) []control.Action {
		defer close(done)
		return m.Step(d.clock.Now(), ev)
	}
	// A step that does nothing is queued behind the first one. Since the queue is buffered, this does not wait until the status
	// after the first step has been published: the response may still have the status before it.
	noop := func(*control.Module) []control.Action { return nil }
	for _, next := range []func(*control.Module) []control.Action{step, noop} {
		select {
		case d.controller.steps <- next:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	select {
	case <-done:
		return d.configState()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// configState handles GET /config. The effective configuration has the set in force merged in, if the store has that set.
func (d *Dispatcher) configState() (any, error) {
	status, _ := d.ControlStatus()
	state := ConfigState{Dispatcher: d.cfg.File.Name, Status: status}
	cfg := d.cfg
	if d.controller != nil && d.controller.store != nil {
		sets, err := d.controller.store.All()
		if err != nil {
			return nil, err
		}
		for _, set := range sets {
			state.History = append(state.History, set.Number)
			if set.Number == status.Number {
				if cfg, err = control.Merge(d.controller.local, set); err != nil {
					return nil, err
				}
			}
		}
	}
	text, err := cfg.Effective()
	state.Effective = text
	return state, err
}

// storedSet returns a set from the store.
func (d *Dispatcher) storedSet(number uint64) (control.Set, error) {
	if d.controller == nil || d.controller.store == nil {
		return control.Set{}, errVersionsNotStored
	}
	return d.controller.store.Get(number)
}

// checkSignature verifies an operator's hex-encoded Ed25519 signature of OverrideSigningMessage with control.operator_key.
func (d *Dispatcher) checkSignature(number uint64, signature string) error {
	if d.controller == nil || d.cfg.File.Control == nil {
		return errSettingsNotStreamed
	}
	key, err := hex.DecodeString(d.cfg.File.Control.OperatorKey)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return fmt.Errorf("override of set %d rejected: control.operator_key is not set", number)
	}
	sig, err := hex.DecodeString(signature)
	if err != nil || !ed25519.Verify(key, OverrideSigningMessage(d.cfg.File.Name, number), sig) {
		return fmt.Errorf("override of set %d rejected: the signature does not match control.operator_key for dispatcher %q",
			number, d.cfg.File.Name)
	}
	return nil
}
