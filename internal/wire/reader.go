// Package wire decodes the JSON frames of the dispatcher protocol into the
// events and settings of package policy, and encodes its actions as frames.
package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"embershunt/policy"
)

// maxLineBytes is the maximum length of a frame, which is one line. It is large because a complete endpoint list is one
// frame. A longer line is rejected after it has been read, so the limit does not bound memory.
const maxLineBytes = 64 << 20

// FrameError is the error of malformed input.
type FrameError struct {
	Line  int    // counted from 1
	Field string // name of the frame, and the field if it is known
	Err   error
}

// Error returns the message, with the line and the field.
func (e *FrameError) Error() string {
	return fmt.Sprintf("line %d: %s: %v", e.Line, e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Err }

// InstanceEvent is one event of a batch, addressed to an instance, or the start or
// end of the instance; then Event is nil.
type InstanceEvent struct {
	Instance string // dispatcher ID
	Event    policy.Event
	Start    *policy.Settings // not nil: the instance starts with these settings
	Seed     uint64           // seed of the instance's random numbers; set together with Start
	Stop     bool             // the instance has ended
}

// Batch holds the events of one moment, for any number of instances.
type Batch struct {
	Now    policy.Micros
	Events []InstanceEvent
}

// Reader reads batches. It keeps the numbered endpoint lists, which later batches may refer to.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists map[int][]policy.Endpoint // by number
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<20), lists: map[int][]policy.Endpoint{}}
}

// frameError wraps an error with the line and the field, to which it adds the field within the frame if the JSON decoder
// names it.
func (r *Reader) frameError(field string, err error) error {
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) && typ.Field != "" {
		field += "." + typ.Field
	}
	return &FrameError{r.line, field, err}
}

// readFrame reads the next line that is not empty, and returns the frame's name and body.
func (r *Reader) readFrame() (string, json.RawMessage, error) {
	var text []byte
	for len(text) == 0 {
		raw, err := r.in.ReadBytes('\n')
		if err != nil && len(bytes.TrimSpace(raw)) == 0 {
			return "", nil, err
		}
		if r.line++; len(raw) > maxLineBytes {
			return "", nil, r.frameError("frame", fmt.Errorf("line of %d bytes, allowed are %d", len(raw), maxLineBytes))
		}
		text = bytes.TrimSpace(raw)
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(text, &object); err != nil {
		return "", nil, r.frameError("frame", err)
	}
	if len(object) != 1 {
		return "", nil, r.frameError("frame", fmt.Errorf("the object has %d keys, allowed is one: the name of the frame", len(object)))
	}
	for name, body := range object {
		return name, body, nil
	}
	panic("unreachable")
}

// Next reads the next batch. It returns io.EOF at the end of the input, and a *FrameError if the input is malformed.
func (r *Reader) Next() (*Batch, error) {
	name, body, err := r.readFrame()
	if err != nil {
		return nil, err
	}
	if name != "clock" {
		return nil, r.frameError(name, errors.New("a batch must start with a clock frame"))
	}
	var clock struct {
		MomentUs *policy.Micros `json:"momentUs"`
	}
	if err := json.Unmarshal(body, &clock); err != nil {
		return nil, r.frameError(name, err)
	}
	if clock.MomentUs == nil {
		return nil, r.frameError("clock.momentUs", errors.New("missing"))
	}
	b := &Batch{Now: *clock.MomentUs}
	for {
		name, body, err := r.readFrame()
		if errors.Is(err, io.EOF) {
			return nil, r.frameError("eofBatch", io.ErrUnexpectedEOF)
		}
		if err != nil {
			return nil, err
		}
		if name == "eofBatch" {
			return b, nil
		}
		event, ok, err := r.decodeEvent(name, body)
		if err != nil {
			return nil, r.frameError(name, err)
		}
		if ok {
			b.Events = append(b.Events, event)
		}
	}
}

// decodeEvent decodes one frame; ok is false if the frame has no event or an unknown name.
func (r *Reader) decodeEvent(name string, body json.RawMessage) (event InstanceEvent, ok bool, err error) {
	if name == "register" {
		return event, false, r.registerList(body)
	}
	var f frame
	if err := json.Unmarshal(body, &f); err != nil {
		return event, false, err
	}
	event.Instance = f.DispatcherID
	switch name {
	case "enlist":
		settings, _, err := DecodeSettings(f.Env)
		if err != nil {
			return event, false, fmt.Errorf("env: %w", err)
		}
		event.Start, event.Seed = settings, f.seed()
	case "crashNow":
		event.Stop = true
	case "view":
		event.Event = r.endpointUpdate(&f)
	case "progress": // unknown kinds of report are skipped
		event.Event, ok = f.progress()
		return event, ok, nil
	default:
		if event.Event = f.event(name); event.Event == nil {
			return event, false, nil
		}
	}
	if event.Instance == "" {
		return event, false, errors.New("dispatcherId: missing")
	}
	return event, true, nil
}
