// Package wire turns the JSON frames of the dispatcher protocol into the
// events and settings of package policy, and its actions back into frames.
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

// maxLine bounds one frame, in bytes; complete endpoint lists come in a single line.
const maxLine = 64 << 20

// FrameError tells where the input is malformed.
type FrameError struct {
	Line  int
	Field string
	Err   error
}

// Error names the line and the field.
func (e *FrameError) Error() string {
	return fmt.Sprintf("line %d: %s: %v", e.Line, e.Field, e.Err)
}

// Unwrap is what is wrong there.
func (e *FrameError) Unwrap() error { return e.Err }

// Item is one event of a batch, addressed to an instance. Start and Stop
// mark the instance's birth and death; then Event is nil.
type Item struct {
	Instance string
	Event    policy.Event
	Start    *policy.Settings
	Seed     uint64
	Stop     bool
}

// Batch is what happened at one moment.
type Batch struct {
	Now   policy.Micros
	Items []Item
}

// Reader reads batches. Numbered endpoint lists are kept between them.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists map[int][]policy.Endpoint
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<20), lists: map[int][]policy.Endpoint{}}
}

// fail names the line and, where the decoder knows it, the field within a frame.
func (r *Reader) fail(field string, err error) error {
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) && typ.Field != "" {
		field += "." + typ.Field
	}
	return &FrameError{r.line, field, err}
}

// frame reads one line and splits it into its name and its body.
func (r *Reader) frame() (string, json.RawMessage, error) {
	var text []byte
	for len(text) == 0 {
		raw, err := r.in.ReadBytes('\n')
		if err != nil && len(bytes.TrimSpace(raw)) == 0 {
			return "", nil, err
		}
		if r.line++; len(raw) > maxLine {
			return "", nil, r.fail("frame", errors.New("line too long"))
		}
		text = bytes.TrimSpace(raw)
	}
	var one map[string]json.RawMessage
	if err := json.Unmarshal(text, &one); err != nil {
		return "", nil, r.fail("frame", err)
	}
	if len(one) != 1 {
		return "", nil, r.fail("frame", fmt.Errorf("%d names where one is wanted", len(one)))
	}
	for name, body := range one {
		return name, body, nil
	}
	panic("unreachable")
}

// Next reads one batch. At the end of the input it returns io.EOF.
func (r *Reader) Next() (*Batch, error) {
	name, body, err := r.frame()
	if err != nil {
		return nil, err
	}
	if name != "clock" {
		return nil, r.fail(name, errors.New("a batch starts with clock"))
	}
	var clock struct {
		MomentUs *policy.Micros `json:"momentUs"`
	}
	if err := json.Unmarshal(body, &clock); err != nil {
		return nil, r.fail(name, err)
	}
	if clock.MomentUs == nil {
		return nil, r.fail("clock.momentUs", errors.New("missing"))
	}
	b := &Batch{Now: *clock.MomentUs}
	for {
		name, body, err := r.frame()
		if errors.Is(err, io.EOF) {
			return nil, r.fail("eofBatch", io.ErrUnexpectedEOF)
		}
		if err != nil {
			return nil, err
		}
		if name == "eofBatch" {
			return b, nil
		}
		item, ok, err := r.item(name, body)
		if err != nil {
			return nil, r.fail(name, err)
		}
		if ok {
			b.Items = append(b.Items, item)
		}
	}
}

// item decodes one frame; ok is false for frames that carry no event.
func (r *Reader) item(name string, body json.RawMessage) (item Item, ok bool, err error) {
	if name == "register" {
		return item, false, r.register(body)
	}
	var f frame
	if err := json.Unmarshal(body, &f); err != nil {
		return item, false, err
	}
	item.Instance = f.DispatcherID
	switch name {
	case "enlist":
		settings, _, err := Settings(f.Env)
		if err != nil {
			return item, false, fmt.Errorf("env: %w", err)
		}
		item.Start, item.Seed = settings, f.seed()
	case "crashNow":
		item.Stop = true
	case "view":
		item.Event = r.endpointUpdate(&f)
	case "progress": // reports of unknown kinds are skipped
		item.Event, ok = f.progress()
		return item, ok, nil
	default:
		if item.Event = f.event(name); item.Event == nil {
			return item, false, nil
		}
	}
	if item.Instance == "" {
		return item, false, errors.New("dispatcherId: missing")
	}
	return item, true, nil
}
