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

// The admin interface is HTTP with JSON on a Unix socket that only its owner may open; cmd/dispatcherctl is its client.

// ConfigState is the answer of GET /config.
type ConfigState struct {
	Dispatcher string          `json:"dispatcher"`
	Status     control.Status  `json:"status"`
	History    []uint64        `json:"history"` // sets in the store, the oldest first
	Effective  json.RawMessage `json:"effective"`
}

// OverrideMessage is the message that an operator signs to let a version pass the checks for harm at one dispatcher.
func OverrideMessage(dispatcher string, number uint64) []byte {
	return fmt.Appendf(nil, "embershunt override %s %d", dispatcher, number)
}

// AdminHandler is the handler of the admin socket: what operators ask and order.
func (d *Dispatcher) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	for pattern, answer := range map[string]func(*http.Request) (any, error){
		"GET /config":           func(*http.Request) (any, error) { return d.configState() },
		"GET /config/{number}":  d.storedConfig,
		"POST /config/pin":      d.pin,
		"POST /config/override": d.override,
		"POST /config/rollback": d.rollBack,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			body, err := answer(r)
			writeJSON(w, body, err)
		})
	}
	return mux
}

// writeJSON writes an answer or the error in its place.
func writeJSON(w http.ResponseWriter, body any, err error) {
	w.Header().Set("content-type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		body = map[string]string{"error": err.Error()}
	}
	_ = json.NewEncoder(w).Encode(body) // the client disconnected: nobody reads an error
}

// storedConfig answers with the effective configuration of a set in the store.
func (d *Dispatcher) storedConfig(r *http.Request) (any, error) {
	n, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%q is no number of a set", r.PathValue("number"))
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

// pin keeps the version in force, or lets versions change again.
func (d *Dispatcher) pin(r *http.Request) (any, error) {
	on, err := strconv.ParseBool(r.FormValue("on"))
	if err != nil {
		return nil, fmt.Errorf("on=%q: allowed are true and false", r.FormValue("on"))
	}
	return d.applyOperatorEvent(r.Context(), control.Pin{On: on})
}

// override lets a version pass the checks for harm, with the operator's signature.
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

// rollBack puts a stored version in force again.
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

// formNumber is the form value number, of a set.
func formNumber(r *http.Request) (uint64, error) {
	n, err := strconv.ParseUint(r.FormValue("number"), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("number=%q is no number of a set", r.FormValue("number"))
	}
	return n, nil
}

var errNothingStreamed = errors.New("this dispatcher streams no settings: its file has no control block")

// applyOperatorEvent steps the control module with an operator's event and answers with the state after it.
func (d *Dispatcher) applyOperatorEvent(ctx context.Context, ev control.Event) (any, error) {
	if d.controller == nil {
		return nil, errNothingStreamed
	}
	done := make(chan struct{})
	step := func(m *control.Module) []control.Action {
		defer close(done)
		return m.Step(d.clock.Now(), ev)
	}
	// The second step, which does nothing, is accepted only after the state of the first one has been published.
	nothing := func(*control.Module) []control.Action { return nil }
	for _, next := range []func(*control.Module) []control.Action{step, nothing} {
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

// configState is the answer of GET /config.
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

// storedSet reads a set out of the store.
func (d *Dispatcher) storedSet(number uint64) (control.Set, error) {
	if d.controller == nil || d.controller.store == nil {
		return control.Set{}, errNothingStreamed
	}
	return d.controller.store.Get(number)
}

// checkSignature checks an operator's signature (Ed25519) of an override.
func (d *Dispatcher) checkSignature(number uint64, signature string) error {
	if d.controller == nil || d.cfg.File.Control == nil {
		return errNothingStreamed
	}
	key, err := hex.DecodeString(d.cfg.File.Control.OperatorKey)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return errors.New("no override is taken: control.operator_key is not set")
	}
	sig, err := hex.DecodeString(signature)
	if err != nil || !ed25519.Verify(key, OverrideMessage(d.cfg.File.Name, number), sig) {
		return errors.New("the signature is not the operator's for this dispatcher and number")
	}
	return nil
}
