// Package wire turns the JSON frames of the dispatcher protocol into the
// events and settings of package choice, and its actions back into frames.
package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"embershunt/policy"
)

// maxLine bounds one frame; whole engine lists come in a single line.
const maxLine = 64 << 20

// FrameError tells where the input is malformed.
type FrameError struct {
	Line  int
	Field string
	Err   error
}

func (e *FrameError) Error() string {
	return fmt.Sprintf("line %d: %s: %v", e.Line, e.Field, e.Err)
}

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

// Reader reads batches. Numbered engine lists are kept between them.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists map[int][]policy.Endpoint
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<20), lists: map[int][]policy.Endpoint{}}
}

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
		if err == io.EOF {
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
		s, _, err := Settings(f.Env)
		if err != nil {
			return item, false, fmt.Errorf("env: %w", err)
		}
		item.Start, item.Seed = s, f.seed()
	case "crashNow":
		item.Stop = true
	case "view":
		e := policy.EndpointUpdate{Complete: f.Mode == "snapshot" || f.Mode == "disk", Failed: f.Mode == "error"}
		if !e.Failed {
			e.Endpoints = r.lists[f.List]
		}
		item.Event = e
	case "accept":
		item.Event = f.request()
	case "closedAttempt":
		o := policy.AttemptResult{ID: f.TID, Attempt: f.Attempt, Endpoint: f.Node, Code: codes[f.RC],
			Final: f.Last, Latency: f.TimeTakenUs, Load: load(f.Load)}
		if f.UsedUp > 0 {
			o.WorkMicros, o.NeededMB = f.UsedUp/4096*1000, float64(f.UsedUp%4096)*4
		}
		item.Event = o
	case "checked":
		item.Event = policy.HealthCheckResult{Endpoint: f.Node, Code: codes[f.RC], Latency: f.TimeTakenUs, Load: load(f.Load)}
	case "progress":
		item.Event, ok = f.progress()
		return item, ok, nil
	case "ackFirst":
		item.Event = policy.StreamStarted{ID: f.TID, Attempt: f.Attempt}
	case "clientGone":
		item.Event = policy.ClientDisconnected{ID: f.TID}
	case "reminder":
		item.Event = policy.TimerFired{}
	case "neighbourSays":
		item.Event = policy.GossipReceived{From: f.OriginPeer, Data: f.Contents}
	default:
		return item, false, nil
	}
	if item.Instance == "" {
		return item, false, errors.New("dispatcherId: missing")
	}
	return item, true, nil
}

// frame holds the fields of every event; their names do not clash.
type frame struct {
	DispatcherID string             `json:"dispatcherId"`
	RngSeed      json.Number        `json:"rngSeed"`
	Env          json.RawMessage    `json:"env"`
	Mode         string             `json:"mode"`
	List         int                `json:"list"`
	TID          string             `json:"tid"`
	CostUs       policy.Micros      `json:"costUs"`
	SourceSet    int64              `json:"sourceSet"`
	RAMMb        float64            `json:"ramMb"`
	Attrs        int                `json:"attrs"`
	UserGroup    int                `json:"userGroup"`
	Type         int                `json:"type"`
	DueUs        policy.Micros      `json:"dueUs"`
	OrderKey     *int64             `json:"orderKey"`
	RC           int                `json:"rc"`
	UsedUp       int64              `json:"usedUp"`
	Attempt      int                `json:"attempt"`
	Node         string             `json:"node"`
	Last         bool               `json:"last"`
	TimeTakenUs  policy.Micros      `json:"timeTakenUs"`
	Load         map[string]float64 `json:"load"`
	X            float64            `json:"x"`
	Kind         int                `json:"kind"`
	OriginPeer   int                `json:"originPeer"`
	Contents     []byte             `json:"contents"`
}

func (f *frame) seed() uint64 {
	if v, err := strconv.ParseUint(f.RngSeed.String(), 10, 64); err == nil {
		return v
	}
	v, _ := strconv.ParseInt(f.RngSeed.String(), 10, 64)
	return uint64(v)
}

// The bits of attrs.
const (
	attrCost  = 1
	attrRetry = 2
)

func (f *frame) request() policy.Request {
	q := policy.Request{ID: f.TID, Class: f.Type, Tenant: f.UserGroup, MemoryMB: f.RAMMb, TableGroup: f.SourceSet,
		ClientRetry: f.Attrs&attrRetry != 0, Deadline: f.DueUs}
	if f.Attrs&attrCost != 0 {
		q.Cost = f.CostUs
	}
	if f.OrderKey != nil {
		q.OrderKey, q.HasOrderKey = *f.OrderKey, true
	}
	return q
}

func (f *frame) progress() (policy.Event, bool) {
	p := policy.Progress{ID: f.TID, Attempt: f.Attempt, Endpoint: f.Node, Value: f.X}
	switch {
	case f.Kind == 1:
		p.Kind = policy.FractionDone
	case f.Kind == 2:
		p.Kind = policy.MemorySpilled
	case f.Kind == 3 && f.X == 2:
		p.Kind = policy.WaitingForTables
	case f.Kind == 3:
		p.Kind = policy.WaitingForMemory
	default:
		return nil, false
	}
	return p, true
}

var codes = map[int]policy.Code{100: policy.OK, 301: policy.Failed, 302: policy.Rejected, 303: policy.TimedOut,
	304: policy.ConnectionRefused, 305: policy.ConnectionReset, 306: policy.Cancelled, 307: policy.NeverSent}

func load(m map[string]float64) *policy.Load {
	if len(m) == 0 {
		return nil
	}
	get := func(name string) float64 {
		if v, ok := m[name]; ok {
			return v
		}
		return -1
	}
	return &policy.Load{Util: get("busy"), InFlight: get("rif"), Queue: get("q"),
		Memory: get("x0"), Disk: get("x1")}
}

var states = map[string]policy.EndpointState{"healthy": policy.Healthy, "cordoned": policy.Draining,
	"deregistered": policy.Removed}

func (r *Reader) register(body json.RawMessage) error {
	var reg struct {
		List   int `json:"list"`
		RowsIn []struct {
			Node          string         `json:"node"`
			AZ            int            `json:"az"`
			Type          int            `json:"type"`
			Cohort        int            `json:"cohort"`
			Condition     string         `json:"condition"`
			Share         float64        `json:"share"`
			OnlineSinceUs *policy.Micros `json:"onlineSinceUs"`
		} `json:"rowsIn"`
	}
	if err := json.Unmarshal(body, &reg); err != nil {
		return err
	}
	rows := make([]policy.Endpoint, 0, len(reg.RowsIn))
	for i, e := range reg.RowsIn {
		state, ok := states[e.Condition]
		if !ok {
			return fmt.Errorf("rowsIn[%d].condition: unknown value %q", i, e.Condition)
		}
		row := policy.Endpoint{ID: e.Node, Zone: e.AZ, Kind: e.Type, PlacementGroup: e.Cohort, State: state, Weight: e.Share}
		if e.OnlineSinceUs != nil {
			row.Started = *e.OnlineSinceUs
		}
		rows = append(rows, row)
	}
	r.lists[reg.List] = rows
	return nil
}

// Writer writes the reply to one batch and flushes it at its end.
type Writer struct {
	out *bufio.Writer
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{bufio.NewWriterSize(w, 1<<18)} }

// End closes the reply and flushes it.
func (w *Writer) End() error {
	w.out.WriteString("{\"yield\":{}}\n")
	return w.out.Flush()
}

// Fault reports that the decision code failed.
func (w *Writer) Fault(instance, text string) {
	w.open("bailOut", instance)
	w.text(`,"message":`, text)
	w.close()
}

func (w *Writer) open(name, instance string) {
	w.out.WriteString(`{"` + name + `":{"dispatcherId":`)
	w.quoted(instance)
}

func (w *Writer) close() { w.out.WriteString("}}\n") }

func (w *Writer) quoted(s string) {
	text, err := json.Marshal(s)
	if err != nil { // a string always marshals
		panic(err)
	}
	w.out.Write(text)
}

func (w *Writer) text(label, s string) {
	w.out.WriteString(label)
	w.quoted(s)
}

func (w *Writer) number(label string, v int64) {
	w.out.WriteString(label)
	w.out.Write(strconv.AppendInt(w.out.AvailableBuffer(), v, 10))
}

// Put writes one action of an instance.
func (w *Writer) Put(instance string, a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		w.open("submitTo", instance)
		w.text(`,"tid":`, a.ID)
		if a.Timeout != 0 {
			w.number(`,"allowForUs":`, a.Timeout)
		}
		w.text(`,"node":`, a.Endpoint)
	case policy.Resources:
		w.open("assignTerms", instance)
		w.text(`,"tid":`, a.ID)
		w.out.WriteString(`,"workspaceMb":`)
		w.out.Write(strconv.AppendFloat(w.out.AvailableBuffer(), a.MemoryMB, 'f', -1, 64))
		w.number(`,"prio":`, int64(a.Priority))
	case policy.Cancel:
		w.open("cancel", instance)
		w.text(`,"tid":`, a.ID)
		w.number(`,"attempt":`, int64(a.Attempt))
	case policy.Shed:
		w.open("sayNo", instance)
		w.text(`,"tid":`, a.ID)
		w.number(`,"notBeforeForUs":`, a.RetryAfter)
	case policy.Fail:
		w.open("dropRequest", instance)
		w.text(`,"tid":`, a.ID)
	case policy.HealthCheck:
		w.open("healthCheck", instance)
		w.text(`,"node":`, a.Endpoint)
	case policy.SetTimer:
		w.open("setAlarm", instance)
		w.number(`,"delayUs":`, a.After)
		w.number(`,"handle":`, 1)
	case policy.SendGossip:
		w.open("writePeer", instance)
		text, _ := json.Marshal(a.Data) // bytes always marshal, to base64
		w.number(`,"dest":`, int64(a.To))
		w.out.WriteString(`,"contents":` + string(text))
	case policy.WatchEndpoints:
		w.open("tail", instance)
		w.out.WriteString(`,"want":true`)
	case policy.FetchEndpoints:
		w.open("listAll", instance)
	case policy.LogLine:
		w.open("record", instance)
		w.text(`,"message":`, a.Text)
	default:
		panic(fmt.Sprintf("wire: action %T has no frame", a))
	}
	w.close()
}
