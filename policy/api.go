package policy

import "fmt"

// Micros is a point in time or a span, in microseconds of the caller's clock.
type Micros = int64

// Settings is what a gateway is told once, at its start. The zero value of a
// limit means "not allowed" and that of a rule "does not apply".
type Settings struct {
	Zone    int      `json:"Zone"`    // zone of this gateway
	Me      int      `json:"Me"`      // number of this gateway among its peers
	Peers   int      `json:"Peers"`   // gateways that share the fleet, this one included
	Classes []Class  `json:"Classes"` // request classes; a Request names one by index
	Kinds   []Kind   `json:"Kinds"`   // machine kinds; an Engine names one by index
	Tenants []Tenant `json:"Tenants"` // empty where the site has none

	OverShareWorth float64 `json:"OverShareWorth"` // worth beyond a tenant's share, as part of the usual
	CountByWork    bool    `json:"CountByWork"`    // worth counts by work instead of by request

	MaxAttempts  int    `json:"MaxAttempts"`  // attempts for one request; 0: one
	MaxHeld      int    `json:"MaxHeld"`      // requests held open at once; 0: no limit
	MaxComeBack  Micros `json:"MaxComeBack"`  // longest come-back time a client heeds; 0: they heed none
	CanCancel    bool   `json:"CanCancel"`    // attempts may be cancelled
	CanProbe     bool   `json:"CanProbe"`     // engines may be probed
	CanTell      bool   `json:"CanTell"`      // peers may be sent messages
	SecondCopies bool   `json:"SecondCopies"` // a request may have two attempts out

	ReportsByAnswer bool `json:"ReportsByAnswer"` // load reports come with every outcome
	ReportsByProbe  bool `json:"ReportsByProbe"`  // load reports come with probe results
	AskForList      bool `json:"AskForList"`      // the engine list must be asked for

	GrantsCount   bool     `json:"GrantsCount"`   // memory grants are heeded
	PriorityCount bool     `json:"PriorityCount"` // priorities are heeded
	MaxGrantShare float64  `json:"MaxGrantShare"` // most of an engine's memory that one query gets; 0: all
	Shortage      Shortage `json:"Shortage"`
	ProgressEvery Micros   `json:"ProgressEvery"` // time between progress notes; 0: none come

	ColdFrom     float64 `json:"ColdFrom"`     // a new engine's least share of its capacity
	ColdFor      Micros  `json:"ColdFor"`      // a new engine is warm after this
	FallMultiple float64 `json:"FallMultiple"` // a cold engine falls when sent this many times its capacity ...
	FallFor      Micros  `json:"FallFor"`      // ... for this long
	DrainGrace   Micros  `json:"DrainGrace"`   // sends to a draining engine stop within this
	AnswerSlack  Micros  `json:"AnswerSlack"`  // a final answer counts this long after the deadline
	AskWithin    Micros  `json:"AskWithin"`    // the list must be asked for at least this often
	TurnGap      Micros  `json:"TurnGap"`      // rest of a key after an attempt that may still run
	BudgetFree   float64 `json:"BudgetFree"`   // further attempts allowed however little the traffic
	BudgetShare  float64 `json:"BudgetShare"`  // further attempts allowed for each request taken
	BudgetSpan   Micros  `json:"BudgetSpan"`   // span over which the budget counts; 0: no budget
}

// Class describes one class of requests.
type Class struct {
	Name       string  `json:"Name"`
	Worth      float64 `json:"Worth"`      // of one request answered in time
	LateWorth  float64 `json:"LateWorth"`  // part of the worth paid after the aim
	Aim        Micros  `json:"Aim"`        // an answer within this earns full worth
	AimStretch float64 `json:"AimStretch"` // the aim grows by this times work ÷ threads
	Deadline   Micros  `json:"Deadline"`   // the client's patience
	Threads    int     `json:"Threads"`    // threads a query runs on; 0: one
	Loads      bool    `json:"Loads"`      // holds its table group on its engine while it runs
	Waits      bool    `json:"Waits"`      // stands still while a load holds its group
	Effect     Effect  `json:"Effect"`
	Group      Group   `json:"Group"`  // engines that drop repeats of a Keyed request
	Window     Micros  `json:"Window"` // how long they remember it
	InTurn     bool    `json:"InTurn"` // requests of one key run one at a time, in order
	Zones      []int   `json:"Zones"`  // if set, the only zones allowed
	Kinds      []int   `json:"Kinds"`  // if set, the only machine kinds allowed
}

// Kind describes one kind of machine.
type Kind struct {
	Cores    int     `json:"Cores"`
	MemoryMB float64 `json:"MemoryMB"`
}

// Tenant describes one tenant.
type Tenant struct {
	Name      string  `json:"Name"`
	Allowance float64 `json:"Allowance"` // requests a second inside its share, over all gateways
}

// Effect tells what a repeat of a request does.
type Effect int

// The effects of a repeat.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // repeats are dropped within a group, for a while
	Unsafe               // must not run twice
)

// Group tells which engines drop a keyed request's repeats.
type Group int

// The groups of engines.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Shortage tells what an engine does when grants pass its memory.
type Shortage int

// The ways out of a shortage.
const (
	ShortQueue Shortage = iota // queries wait in line
	ShortTrim                  // a query gets what is left
	ShortSwap                  // all are let in and all slow down
)

// Event is something that happened; Action is something to do about it.
type (
	Event  interface{ isEvent() }
	Action interface{ isAction() }
)

// Engines is news of the engine list. A whole list replaces the old one, a
// change adds to it; a failed call carries no rows.
type Engines struct {
	Whole, Failed bool
	Rows          []Engine
}

// Engine is one row of the list.
type Engine struct {
	ID               string
	Zone, Kind, Cell int
	State            EngineState
	Weight           float64
	Started          Micros // last start; 0: long ago
	Speaks           uint8  // protocols, a bit each; see Request.Protocol
}

// EngineState is what the list knows of an engine.
type EngineState int

// The states of an engine.
const (
	Healthy EngineState = iota
	Draining
	Gone
)

// Request is a client's request taken by this gateway.
type Request struct {
	ID       string
	Class    int
	Tenant   int
	Cost     Micros  // estimated work of all threads; 0: unknown
	MemoryMB float64 // estimated memory; 0: unknown
	Tables   int64   // group of tables it reads or writes
	Key      int64   // for classes in turn
	HasKey   bool
	Retry    bool   // a client's repeat, where clients mark them
	Protocol uint8  // bit of the protocol that an engine must speak; 0: any will do
	Only     string // the engine that holds its session's state, "" where there is none
	Due      Micros
}

// Outcome tells how an attempt ended. Over: the request has ended with it.
type Outcome struct {
	ID      string
	Attempt int
	Engine  string
	Code    Code
	Over    bool
	Took    Micros
	Load    *Load
	WorkUs  Micros  // work done, where engines tell; else 0
	NeedMB  float64 // memory needed, where engines tell; else 0
}

// Load is an engine's report; a negative value was not reported.
type Load struct{ Util, InFlight, Queue, Memory, Disk float64 }

// Code says how an attempt or a probe ended.
type Code int

// The codes. Full, Refused and Moot prove that the attempt never ran.
const (
	OK        Code = iota
	Failed         // the engine answered with an error; may have run
	Full           // turned away unseen
	TimedOut       // no reply in time; may have run
	Refused        // no connection; never ran
	Reset          // the connection broke; may have run
	Cancelled      // called off; may have run
	Moot           // never sent
)

// Progress is a note on an attempt that is out.
type Progress struct {
	ID      string
	Attempt int
	Engine  string
	Kind    NoteKind
	Value   float64
}

// NoteKind says what a Progress note means.
type NoteKind int

// The kinds of note: share done, megabytes missing, waiting for memory or a load.
const (
	ShareDone NoteKind = iota
	Spills
	WaitsMemory
	WaitsLoad
)

// The remaining events.
type (
	// Probed is the result of a Probe.
	Probed struct {
		Engine string
		Code   Code
		Took   Micros
		Load   *Load
	}
	// First tells that a streamed answer has begun: the client owns it now.
	First struct {
		ID      string
		Attempt int
	}
	// Left tells that the client is gone; no answer is owed any more.
	Left struct{ ID string }
	// Alarm is the timer set by Wake.
	Alarm struct{}
	// Heard is a message from a peer.
	Heard struct {
		From int
		Data []byte
	}
)

func (Engines) isEvent()  {}
func (Request) isEvent()  {}
func (Outcome) isEvent()  {}
func (Progress) isEvent() {}
func (Probed) isEvent()   {}
func (First) isEvent()    {}
func (Left) isEvent()     {}
func (Alarm) isEvent()    {}
func (Heard) isEvent()    {}

// The actions. Attempts of a request count from 0 in the order of their Send.
type (
	// Send starts an attempt; Timeout 0 lasts until the client gives up. One that has not begun by Before must not begin any
	// more: engines may have forgotten a keyed request by then (0: it may).
	Send struct {
		ID, Engine string
		Timeout    Micros
		Before     Micros
	}
	// Terms sets memory for further sends, and priority (0 to 3) at once.
	Terms struct {
		ID       string
		MemoryMB float64
		Priority int
	}
	// Cancel calls one attempt off.
	Cancel struct {
		ID      string
		Attempt int
	}
	// Refuse is a final answer: trying again does no harm, ComeBack from now.
	Refuse struct {
		ID       string
		ComeBack Micros
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID string }
	// Probe asks an engine for its state.
	Probe struct{ Engine string }
	// Wake asks for an Alarm.
	Wake struct{ After Micros }
	// Tell sends a message of up to 256 bytes to one peer.
	Tell struct {
		To   int
		Data []byte
	}
	// Watch subscribes to the engine list, Fetch asks for it once.
	Watch struct{}
	// Fetch asks for the whole list once.
	Fetch struct{}
	// Note is a line for the operators' log.
	Note struct{ Text string }
)

func (Send) isAction()   {}
func (Terms) isAction()  {}
func (Cancel) isAction() {}
func (Refuse) isAction() {}
func (Fail) isAction()   {}
func (Probe) isAction()  {}
func (Wake) isAction()   {}
func (Tell) isAction()   {}
func (Watch) isAction()  {}
func (Fetch) isAction()  {}
func (Note) isAction()   {}

// validate names the first field that cannot be used.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("policy: Classes: at least one is needed")
	}
	type check struct {
		field string
		bad   bool
	}
	checks := []check{
		{"Peers", s.Peers < 0}, {"Me", s.Me < 0}, {"Zone", s.Zone < 0},
		{"OverShareWorth", !(s.OverShareWorth >= 0)}, {"MaxAttempts", s.MaxAttempts < 0},
		{"MaxHeld", s.MaxHeld < 0}, {"MaxComeBack", s.MaxComeBack < 0},
		{"MaxGrantShare", !(s.MaxGrantShare >= 0)}, {"Shortage", s.Shortage < 0 || s.Shortage > ShortSwap},
		{"ProgressEvery", s.ProgressEvery < 0}, {"ColdFrom", !(s.ColdFrom >= 0)},
		{"ColdFor", s.ColdFor < 0}, {"FallMultiple", !(s.FallMultiple >= 0)}, {"FallFor", s.FallFor < 0},
		{"DrainGrace", s.DrainGrace < 0}, {"AnswerSlack", s.AnswerSlack < 0}, {"AskWithin", s.AskWithin < 0},
		{"TurnGap", s.TurnGap < 0}, {"BudgetFree", s.BudgetFree < 0}, {"BudgetShare", !(s.BudgetShare >= 0)},
		{"BudgetSpan", s.BudgetSpan < 0},
	}
	for i, c := range s.Classes {
		bad := func(field string, is bool) {
			checks = append(checks, check{fmt.Sprintf("Classes[%d].%s", i, field), is})
		}
		bad("Worth", !(c.Worth >= 0))
		bad("LateWorth", !(c.LateWorth >= 0))
		bad("Aim", c.Aim < 0)
		bad("AimStretch", !(c.AimStretch >= 0))
		bad("Deadline", c.Deadline <= 0)
		bad("Threads", c.Threads < 0)
		bad("Effect", c.Effect < Safe || c.Effect > Unsafe)
		bad("Group", c.Group < GroupAll || c.Group > GroupCell)
		bad("Window", c.Window < 0)
		for _, z := range c.Zones {
			bad("Zones", z < 0)
		}
		for _, k := range c.Kinds {
			bad("Kinds", k < 0 || k >= len(s.Kinds) && len(s.Kinds) > 0)
		}
	}
	for i, k := range s.Kinds {
		checks = append(checks, check{fmt.Sprintf("Kinds[%d]", i), k.Cores < 0 || !(k.MemoryMB >= 0)})
	}
	for i, t := range s.Tenants {
		checks = append(checks, check{fmt.Sprintf("Tenants[%d].Allowance", i), !(t.Allowance >= 0)})
	}
	for _, c := range checks {
		if c.bad {
			return fmt.Errorf("policy: %s: out of range", c.field)
		}
	}
	return nil
}
