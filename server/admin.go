package server

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"embershunt/control"
	"embershunt/dispatch"
)

// Admin is the operators' side of a dispatcher: HTTP with JSON on a Unix socket that only its owner may open.
// cmd/dispatcherctl speaks it.

// ConfigState is the answer of GET /config.
type ConfigState struct {
	Dispatcher string          `json:"dispatcher"`
	Status     control.Status  `json:"status"`
	History    []uint64        `json:"history"` // sets in the store, the oldest first
	Effective  json.RawMessage `json:"effective"`
}

// OverrideMessage is what an operator signs to let a version pass the checks for harm at one dispatcher.
func OverrideMessage(dispatcher string, number uint64) []byte {
	return fmt.Appendf(nil, "embershunt override %s %d", dispatcher, number)
}

// listenAdmin opens the socket, in place of one left behind by a dispatcher that was killed.
func listenAdmin(path string) (net.Listener, error) {
	if path == "" {
		return nil, nil
	}
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("admin socket %s: another dispatcher serves it", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	return l, os.Chmod(path, 0o600)
}

// AdminHandler answers what operators ask and order, as the admin socket does.
func (d *Dispatcher) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, run func(r *http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			answer, err := run(r)
			w.Header().Set("content-type", "application/json")
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				answer = map[string]string{"error": err.Error()}
			}
			json.NewEncoder(w).Encode(answer)
		})
	}
	handle("GET /config", func(*http.Request) (any, error) { return d.configState() })
	handle("GET /config/{number}", func(r *http.Request) (any, error) {
		n, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is no number of a set", r.PathValue("number"))
		}
		set, err := d.stored(n)
		if err != nil {
			return nil, err
		}
		cfg, err := control.Merge(d.control.local, set)
		if err != nil {
			return nil, err
		}
		text, err := cfg.Effective()
		return json.RawMessage(text), err
	})
	handle("POST /config/pin", func(r *http.Request) (any, error) {
		on, err := strconv.ParseBool(r.FormValue("on"))
		if err != nil {
			return nil, fmt.Errorf("on=%q: allowed are true and false", r.FormValue("on"))
		}
		return d.admin(r.Context(), control.Pin{On: on})
	})
	handle("POST /config/override", func(r *http.Request) (any, error) {
		n, err := strconv.ParseUint(r.FormValue("number"), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("number=%q is no number of a set", r.FormValue("number"))
		}
		if err := d.signed(n, r.FormValue("signature")); err != nil {
			return nil, err
		}
		d.log.Warn("override by an operator", "set", n)
		return d.admin(r.Context(), control.Override{Number: n})
	})
	handle("POST /config/rollback", func(r *http.Request) (any, error) {
		n, err := strconv.ParseUint(r.FormValue("number"), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("number=%q is no number of a set", r.FormValue("number"))
		}
		set, err := d.stored(n)
		if err != nil {
			return nil, err
		}
		known := make(chan control.LiveState, 1)
		d.loop.Post(dispatch.Inspect{Func: func(core *dispatch.Core) { known <- knownOf(core) }})
		select {
		case k := <-known:
			return d.admin(r.Context(), control.RollBack{Set: set, Live: k})
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	})
	return mux
}

var errNothingStreamed = errors.New("this dispatcher streams no settings: its file has no control block")

// admin plays an operator's event and answers with the state after it.
func (d *Dispatcher) admin(ctx context.Context, ev control.Event) (any, error) {
	if d.control == nil {
		return nil, errNothingStreamed
	}
	done := make(chan struct{})
	step := func(m *control.Module) []control.Action {
		defer close(done)
		return m.Step(d.clock.Now(), ev)
	}
	for _, wait := range []func(*control.Module) []control.Action{step, func(*control.Module) []control.Action { return nil }} {
		select { // the second one sees to it that the state after the first is there
		case d.control.events <- wait:
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

func (d *Dispatcher) configState() (any, error) {
	s, _ := d.ControlStatus()
	out := ConfigState{Dispatcher: d.cfg.File.Name, Status: s}
	cfg := d.cfg
	if d.control != nil && d.control.store != nil {
		all, err := d.control.store.All()
		if err != nil {
			return nil, err
		}
		for _, set := range all {
			out.History = append(out.History, set.Number)
			if set.Number == s.Number {
				if cfg, err = control.Merge(d.control.local, set); err != nil {
					return nil, err
				}
			}
		}
	}
	text, err := cfg.Effective()
	out.Effective = text
	return out, err
}

func (d *Dispatcher) stored(number uint64) (control.Set, error) {
	if d.control == nil || d.control.store == nil {
		return control.Set{}, errNothingStreamed
	}
	return d.control.store.Get(number)
}

// signed checks an operator's signature (Ed25519).
func (d *Dispatcher) signed(number uint64, signature string) error {
	if d.control == nil || d.cfg.File.Control == nil {
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
