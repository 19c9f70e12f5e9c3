package wire

import (
	"encoding/json"
	"strconv"

	"embershunt/policy"
)

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

// codes are the protocol's numbers for how an attempt or a health check ended.
var codes = map[int]policy.Code{
	100: policy.OK,
	301: policy.Failed,
	302: policy.Rejected,
	303: policy.TimedOut,
	304: policy.ConnectionRefused,
	305: policy.ConnectionReset,
	306: policy.Cancelled,
	307: policy.NeverSent,
}

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
	return &policy.Load{Utilization: get("busy"), InFlight: get("rif"), Queue: get("q"),
		Memory: get("x0"), Disk: get("x1")}
}

// event is the event that a frame carries by its name; nil for frames that carry none.
func (f *frame) event(name string) policy.Event {
	switch name {
	case "accept":
		return f.request()
	case "closedAttempt":
		return f.attemptResult()
	case "checked":
		return policy.HealthCheckResult{Endpoint: f.Node, Code: codes[f.RC], Latency: f.TimeTakenUs, Load: load(f.Load)}
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

// Units of usedUp, which packs the work and the memory of an attempt into one number.
const (
	usedUpMemorySteps = 4096 // the lower part counts memory
	usedUpMemoryMB    = 4    // MB a step
	usedUpWorkMicros  = 1000 // of the upper part, a step
)

func (f *frame) attemptResult() policy.AttemptResult {
	result := policy.AttemptResult{ID: f.TID, Attempt: f.Attempt, Endpoint: f.Node, Code: codes[f.RC],
		Final: f.Last, Latency: f.TimeTakenUs, Load: load(f.Load)}
	if f.UsedUp > 0 {
		result.WorkMicros = f.UsedUp / usedUpMemorySteps * usedUpWorkMicros
		result.NeededMB = float64(f.UsedUp%usedUpMemorySteps) * usedUpMemoryMB
	}
	return result
}
