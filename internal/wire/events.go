package wire

import (
	"encoding/json"
	"strconv"

	"embershunt/policy"
)

// frame holds the fields of all event frames: a field name has the same type wherever it occurs.
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

// seed returns rngSeed, which may be an unsigned or a signed 64-bit integer; 0 if it is missing.
func (f *frame) seed() uint64 {
	if v, err := strconv.ParseUint(f.RngSeed.String(), 10, 64); err == nil {
		return v
	}
	v, _ := strconv.ParseInt(f.RngSeed.String(), 10, 64)
	return uint64(v)
}

// Bits of attrs.
const (
	attrHasCost     = 1 // costUs is set
	attrClientRetry = 2 // the client has sent the query before
)

func (f *frame) request() policy.Request {
	q := policy.Request{ID: f.TID, Class: f.Type, Tenant: f.UserGroup, MemoryMB: f.RAMMb, TableGroup: f.SourceSet,
		ClientRetry: f.Attrs&attrClientRetry != 0, Deadline: f.DueUs}
	if f.Attrs&attrHasCost != 0 {
		q.Cost = f.CostUs
	}
	if f.OrderKey != nil {
		q.OrderKey, q.HasOrderKey = *f.OrderKey, true
	}
	return q
}

// progress returns the report of a "progress" frame; false if its kind is unknown. Kind 3 is a wait, where x tells for what.
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

// resultCodes maps the protocol's result codes of attempts and health checks. A code that is missing here reads as
// policy.OK, the zero value.
var resultCodes = map[int]policy.Code{
	100: policy.OK,
	301: policy.Failed,
	302: policy.Rejected,
	303: policy.TimedOut,
	304: policy.ConnectionRefused,
	305: policy.ConnectionReset,
	306: policy.Cancelled,
	307: policy.NeverSent,
}

// decodeLoad decodes a load report; nil if it is empty. A value that is not reported becomes -1.
func decodeLoad(report map[string]float64) *policy.Load {
	if len(report) == 0 {
		return nil
	}
	get := func(name string) float64 {
		if v, ok := report[name]; ok {
			return v
		}
		return -1
	}
	return &policy.Load{Utilization: get("busy"), InFlight: get("rif"), Queue: get("q"),
		Memory: get("x0"), Disk: get("x1")}
}

// event decodes the event of a frame with the given name; nil if the name is unknown.
func (f *frame) event(name string) policy.Event {
	switch name {
	case "accept":
		return f.request()
	case "closedAttempt":
		return f.attemptResult()
	case "checked":
		return policy.HealthCheckResult{Endpoint: f.Node, Code: resultCodes[f.RC], Latency: f.TimeTakenUs, Load: decodeLoad(f.Load)}
	case "ackFirst":
		return policy.StreamStarted{ID: f.TID, Attempt: f.Attempt}
	case "clientGone":
		return policy.ClientDisconnected{ID: f.TID}
	case "reminder":
		return policy.TimerFired{}
	case "neighbourSays":
		return policy.GossipReceived{From: f.OriginPeer, Data: f.Contents}
	}
	return nil
}

// Units of usedUp, which packs the work and the memory of an attempt into one number: work * usedUpMemoryRange + memory.
const (
	usedUpMemoryRange   = 4096 // memory is below this
	usedUpMBPerUnit     = 4    // MB per unit of memory
	usedUpMicrosPerUnit = 1000 // microseconds per unit of work
)

func (f *frame) attemptResult() policy.AttemptResult {
	result := policy.AttemptResult{ID: f.TID, Attempt: f.Attempt, Endpoint: f.Node, Code: resultCodes[f.RC],
		Final: f.Last, Latency: f.TimeTakenUs, Load: decodeLoad(f.Load)}
	if f.UsedUp > 0 {
		result.WorkMicros = f.UsedUp / usedUpMemoryRange * usedUpMicrosPerUnit
		result.NeededMB = float64(f.UsedUp%usedUpMemoryRange) * usedUpMBPerUnit
	}
	return result
}
