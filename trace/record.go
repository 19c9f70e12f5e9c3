// Package trace records what a dispatcher's decision module was told and what it decided, and replays it: the same build
// decides the same again. The format is in docs/trace-format.md.
package trace

import (
	"fmt"

	"embershunt/policy"
	"embershunt/trace/tracev1"
)

func loadOut(l *policy.Load) *tracev1.Load {
	if l == nil {
		return nil
	}
	return &tracev1.Load{Util: l.Util, InFlight: l.InFlight, Queue: l.Queue, Memory: l.Memory, Disk: l.Disk}
}

func loadIn(l *tracev1.Load) *policy.Load {
	if l == nil {
		return nil
	}
	return &policy.Load{Util: l.GetUtil(), InFlight: l.GetInFlight(), Queue: l.GetQueue(), Memory: l.GetMemory(), Disk: l.GetDisk()}
}

// eventOut writes an event. Every kind that the module knows is here: another one is a mistake in this program.
func eventOut(ev policy.Event) *tracev1.Event {
	switch ev := ev.(type) {
	case policy.Engines:
		out := &tracev1.Engines{Whole: ev.Whole, Failed: ev.Failed}
		for _, r := range ev.Rows {
			out.Rows = append(out.Rows, &tracev1.Engine{Id: r.ID, Zone: int32(r.Zone), Kind: int32(r.Kind), Cell: int32(r.Cell),
				State: uint32(r.State), Weight: r.Weight, Started: r.Started, Speaks: uint32(r.Speaks)})
		}
		return &tracev1.Event{What: &tracev1.Event_Engines{Engines: out}}
	case policy.Request:
		return &tracev1.Event{What: &tracev1.Event_Request{Request: &tracev1.Request{Id: ev.ID, Class: uint32(ev.Class), Tenant: uint32(ev.Tenant),
			Cost: ev.Cost, MemoryMb: ev.MemoryMB, Tables: ev.Tables, Key: ev.Key, HasKey: ev.HasKey, Retry: ev.Retry,
			Protocol: uint32(ev.Protocol), Only: ev.Only, Due: ev.Due}}}
	case policy.Outcome:
		return &tracev1.Event{What: &tracev1.Event_Outcome{Outcome: &tracev1.Outcome{Id: ev.ID, Attempt: uint32(ev.Attempt), Engine: ev.Engine,
			Code: uint32(ev.Code), Over: ev.Over, Took: ev.Took, Load: loadOut(ev.Load), WorkUs: ev.WorkUs, NeedMb: ev.NeedMB}}}
	case policy.Progress:
		return &tracev1.Event{What: &tracev1.Event_Progress{Progress: &tracev1.Progress{Id: ev.ID, Attempt: uint32(ev.Attempt), Engine: ev.Engine,
			Kind: uint32(ev.Kind), Value: ev.Value}}}
	case policy.Probed:
		return &tracev1.Event{What: &tracev1.Event_Probed{Probed: &tracev1.Probed{Engine: ev.Engine, Code: uint32(ev.Code), Took: ev.Took,
			Load: loadOut(ev.Load)}}}
	case policy.First:
		return &tracev1.Event{What: &tracev1.Event_First{First: &tracev1.Ref{Id: ev.ID, Attempt: uint32(ev.Attempt)}}}
	case policy.Left:
		return &tracev1.Event{What: &tracev1.Event_Left{Left: &tracev1.Ref{Id: ev.ID}}}
	case policy.Alarm:
		return &tracev1.Event{What: &tracev1.Event_Alarm{Alarm: true}}
	case policy.Heard:
		return &tracev1.Event{What: &tracev1.Event_Heard{Heard: &tracev1.Heard{From: uint32(ev.From), Data: ev.Data}}}
	}
	panic(fmt.Sprintf("trace: unknown event %T", ev))
}

// eventIn reads an event; nil for one of a newer format.
func eventIn(ev *tracev1.Event) policy.Event {
	switch w := ev.GetWhat().(type) {
	case *tracev1.Event_Engines:
		out := policy.Engines{Whole: w.Engines.GetWhole(), Failed: w.Engines.GetFailed()}
		for _, r := range w.Engines.GetRows() {
			out.Rows = append(out.Rows, policy.Engine{ID: r.GetId(), Zone: int(r.GetZone()), Kind: int(r.GetKind()), Cell: int(r.GetCell()),
				State: policy.EngineState(r.GetState()), Weight: r.GetWeight(), Started: r.GetStarted(), Speaks: uint8(r.GetSpeaks())})
		}
		return out
	case *tracev1.Event_Request:
		q := w.Request
		return policy.Request{ID: q.GetId(), Class: int(q.GetClass()), Tenant: int(q.GetTenant()), Cost: q.GetCost(), MemoryMB: q.GetMemoryMb(),
			Tables: q.GetTables(), Key: q.GetKey(), HasKey: q.GetHasKey(), Retry: q.GetRetry(), Protocol: uint8(q.GetProtocol()),
			Only: q.GetOnly(), Due: q.GetDue()}
	case *tracev1.Event_Outcome:
		o := w.Outcome
		return policy.Outcome{ID: o.GetId(), Attempt: int(o.GetAttempt()), Engine: o.GetEngine(), Code: policy.Code(o.GetCode()), Over: o.GetOver(),
			Took: o.GetTook(), Load: loadIn(o.GetLoad()), WorkUs: o.GetWorkUs(), NeedMB: o.GetNeedMb()}
	case *tracev1.Event_Progress:
		p := w.Progress
		return policy.Progress{ID: p.GetId(), Attempt: int(p.GetAttempt()), Engine: p.GetEngine(), Kind: policy.NoteKind(p.GetKind()), Value: p.GetValue()}
	case *tracev1.Event_Probed:
		p := w.Probed
		return policy.Probed{Engine: p.GetEngine(), Code: policy.Code(p.GetCode()), Took: p.GetTook(), Load: loadIn(p.GetLoad())}
	case *tracev1.Event_First:
		return policy.First{ID: w.First.GetId(), Attempt: int(w.First.GetAttempt())}
	case *tracev1.Event_Left:
		return policy.Left{ID: w.Left.GetId()}
	case *tracev1.Event_Alarm:
		return policy.Alarm{}
	case *tracev1.Event_Heard:
		return policy.Heard{From: int(w.Heard.GetFrom()), Data: w.Heard.GetData()}
	}
	return nil
}

func actionOut(a policy.Action) *tracev1.Action {
	switch a := a.(type) {
	case policy.Send:
		return &tracev1.Action{What: &tracev1.Action_Send{Send: &tracev1.Send{Id: a.ID, Engine: a.Engine, Timeout: a.Timeout}}}
	case policy.Terms:
		return &tracev1.Action{What: &tracev1.Action_Terms{Terms: &tracev1.Terms{Id: a.ID, MemoryMb: a.MemoryMB, Priority: int32(a.Priority)}}}
	case policy.Cancel:
		return &tracev1.Action{What: &tracev1.Action_Cancel{Cancel: &tracev1.Ref{Id: a.ID, Attempt: uint32(a.Attempt)}}}
	case policy.Refuse:
		return &tracev1.Action{What: &tracev1.Action_Refuse{Refuse: &tracev1.Refuse{Id: a.ID, ComeBack: a.ComeBack}}}
	case policy.Fail:
		return &tracev1.Action{What: &tracev1.Action_Fail{Fail: a.ID}}
	case policy.Probe:
		return &tracev1.Action{What: &tracev1.Action_Probe{Probe: a.Engine}}
	case policy.Wake:
		return &tracev1.Action{What: &tracev1.Action_Wake{Wake: a.After}}
	case policy.Tell:
		return &tracev1.Action{What: &tracev1.Action_Tell{Tell: &tracev1.Tell{To: uint32(a.To), Data: a.Data}}}
	case policy.Watch:
		return &tracev1.Action{What: &tracev1.Action_Watch{Watch: true}}
	case policy.Fetch:
		return &tracev1.Action{What: &tracev1.Action_Fetch{Fetch: true}}
	case policy.Note:
		return &tracev1.Action{What: &tracev1.Action_Note{Note: a.Text}}
	}
	panic(fmt.Sprintf("trace: unknown action %T", a))
}
