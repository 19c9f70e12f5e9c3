package trace

import (
	"fmt"

	"embershunt/policy"
	"embershunt/trace/tracev1"
)

func encodeLoad(l *policy.Load) *tracev1.Load {
	if l == nil {
		return nil
	}
	return &tracev1.Load{Util: l.Utilization, InFlight: l.InFlight, Queue: l.Queue, Memory: l.Memory, Disk: l.Disk}
}

func decodeLoad(l *tracev1.Load) *policy.Load {
	if l == nil {
		return nil
	}
	return &policy.Load{Utilization: l.GetUtil(), InFlight: l.GetInFlight(), Queue: l.GetQueue(), Memory: l.GetMemory(), Disk: l.GetDisk()}
}

// encodeEvent encodes an event. It panics on a type that the format lacks.
func encodeEvent(ev policy.Event) *tracev1.Event {
	switch ev := ev.(type) {
	case policy.EndpointUpdate:
		return &tracev1.Event{What: &tracev1.Event_Engines{Engines: encodeEndpoints(ev)}}
	case policy.Request:
		return &tracev1.Event{What: &tracev1.Event_Request{Request: &tracev1.Request{Id: ev.ID, Class: uint32(ev.Class),
			Tenant: uint32(ev.Tenant), Cost: ev.Cost, MemoryMb: ev.MemoryMB, Tables: ev.TableGroup, Key: ev.OrderKey,
			HasKey: ev.HasOrderKey, Retry: ev.ClientRetry, Protocol: uint32(ev.Protocol), Only: ev.StickyTo, Due: ev.Deadline}}}
	case policy.AttemptResult:
		return &tracev1.Event{What: &tracev1.Event_Outcome{Outcome: &tracev1.Outcome{Id: ev.ID, Attempt: uint32(ev.Attempt),
			Engine: ev.Endpoint, Code: uint32(ev.Code), Over: ev.Final, Took: ev.Latency, Load: encodeLoad(ev.Load),
			WorkUs: ev.WorkMicros, NeedMb: ev.NeededMB}}}
	case policy.Progress:
		return &tracev1.Event{What: &tracev1.Event_Progress{Progress: &tracev1.Progress{Id: ev.ID, Attempt: uint32(ev.Attempt),
			Engine: ev.Endpoint, Kind: uint32(ev.Kind), Value: ev.Value}}}
	case policy.HealthCheckResult:
		return &tracev1.Event{What: &tracev1.Event_Probed{Probed: &tracev1.Probed{Engine: ev.Endpoint, Code: uint32(ev.Code),
			Took: ev.Latency, Load: encodeLoad(ev.Load)}}}
	case policy.StreamStarted:
		return &tracev1.Event{What: &tracev1.Event_First{First: &tracev1.Ref{Id: ev.ID, Attempt: uint32(ev.Attempt)}}}
	case policy.ClientDisconnected:
		return &tracev1.Event{What: &tracev1.Event_Left{Left: &tracev1.Ref{Id: ev.ID}}}
	case policy.TimerFired:
		return &tracev1.Event{What: &tracev1.Event_Alarm{Alarm: true}}
	case policy.GossipReceived:
		return &tracev1.Event{What: &tracev1.Event_Heard{Heard: &tracev1.Heard{From: uint32(ev.From), Data: ev.Data}}}
	}
	panic(fmt.Sprintf("trace: unknown event %T", ev))
}

// decodeEvent decodes an event; nil for a type that was added to the format later.
func decodeEvent(ev *tracev1.Event) policy.Event {
	switch w := ev.GetWhat().(type) {
	case *tracev1.Event_Engines:
		return decodeEndpoints(w.Engines)
	case *tracev1.Event_Request:
		q := w.Request
		return policy.Request{ID: q.GetId(), Class: int(q.GetClass()), Tenant: int(q.GetTenant()), Cost: q.GetCost(),
			MemoryMB: q.GetMemoryMb(), TableGroup: q.GetTables(), OrderKey: q.GetKey(), HasOrderKey: q.GetHasKey(),
			ClientRetry: q.GetRetry(), Protocol: uint8(q.GetProtocol()), StickyTo: q.GetOnly(), Deadline: q.GetDue()}
	case *tracev1.Event_Outcome:
		o := w.Outcome
		return policy.AttemptResult{ID: o.GetId(), Attempt: int(o.GetAttempt()), Endpoint: o.GetEngine(),
			Code: policy.Code(o.GetCode()), Final: o.GetOver(), Latency: o.GetTook(), Load: decodeLoad(o.GetLoad()),
			WorkMicros: o.GetWorkUs(), NeededMB: o.GetNeedMb()}
	case *tracev1.Event_Progress:
		p := w.Progress
		return policy.Progress{ID: p.GetId(), Attempt: int(p.GetAttempt()), Endpoint: p.GetEngine(),
			Kind: policy.ProgressKind(p.GetKind()), Value: p.GetValue()}
	case *tracev1.Event_Probed:
		p := w.Probed
		return policy.HealthCheckResult{Endpoint: p.GetEngine(), Code: policy.Code(p.GetCode()), Latency: p.GetTook(),
			Load: decodeLoad(p.GetLoad())}
	case *tracev1.Event_First:
		return policy.StreamStarted{ID: w.First.GetId(), Attempt: int(w.First.GetAttempt())}
	case *tracev1.Event_Left:
		return policy.ClientDisconnected{ID: w.Left.GetId()}
	case *tracev1.Event_Alarm:
		return policy.TimerFired{}
	case *tracev1.Event_Heard:
		return policy.GossipReceived{From: int(w.Heard.GetFrom()), Data: w.Heard.GetData()}
	}
	return nil
}

func encodeEndpoints(u policy.EndpointUpdate) *tracev1.Engines {
	out := &tracev1.Engines{Whole: u.Complete, Failed: u.Failed}
	for _, e := range u.Endpoints {
		out.Rows = append(out.Rows, &tracev1.Engine{Id: e.ID, Zone: int32(e.Zone), Kind: int32(e.Kind), Cell: int32(e.PlacementGroup),
			State: uint32(e.State), Weight: e.Weight, Started: e.Started, Speaks: uint32(e.Protocols)})
	}
	return out
}

func decodeEndpoints(list *tracev1.Engines) policy.EndpointUpdate {
	out := policy.EndpointUpdate{Complete: list.GetWhole(), Failed: list.GetFailed()}
	for _, e := range list.GetRows() {
		out.Endpoints = append(out.Endpoints, policy.Endpoint{ID: e.GetId(), Zone: int(e.GetZone()), Kind: int(e.GetKind()),
			PlacementGroup: int(e.GetCell()), State: policy.EndpointState(e.GetState()), Weight: e.GetWeight(),
			Started: e.GetStarted(), Protocols: uint8(e.GetSpeaks())})
	}
	return out
}

// encodeAction encodes an action. It panics on a type that the format lacks.
func encodeAction(a policy.Action) *tracev1.Action {
	switch a := a.(type) {
	case policy.Send:
		return &tracev1.Action{What: &tracev1.Action_Send{Send: &tracev1.Send{Id: a.ID, Engine: a.Endpoint, Timeout: a.Timeout}}}
	case policy.Resources:
		return &tracev1.Action{What: &tracev1.Action_Terms{Terms: &tracev1.Terms{Id: a.ID, MemoryMb: a.MemoryMB,
			Priority: int32(a.Priority)}}}
	case policy.Cancel:
		return &tracev1.Action{What: &tracev1.Action_Cancel{Cancel: &tracev1.Ref{Id: a.ID, Attempt: uint32(a.Attempt)}}}
	case policy.Shed:
		return &tracev1.Action{What: &tracev1.Action_Refuse{Refuse: &tracev1.Refuse{Id: a.ID, ComeBack: a.RetryAfter}}}
	case policy.Fail:
		return &tracev1.Action{What: &tracev1.Action_Fail{Fail: a.ID}}
	case policy.HealthCheck:
		return &tracev1.Action{What: &tracev1.Action_Probe{Probe: a.Endpoint}}
	case policy.SetTimer:
		return &tracev1.Action{What: &tracev1.Action_Wake{Wake: a.After}}
	case policy.SendGossip:
		return &tracev1.Action{What: &tracev1.Action_Tell{Tell: &tracev1.Tell{To: uint32(a.To), Data: a.Data}}}
	case policy.WatchEndpoints:
		return &tracev1.Action{What: &tracev1.Action_Watch{Watch: true}}
	case policy.FetchEndpoints:
		return &tracev1.Action{What: &tracev1.Action_Fetch{Fetch: true}}
	case policy.LogLine:
		return &tracev1.Action{What: &tracev1.Action_Note{Note: a.Text}}
	}
	panic(fmt.Sprintf("trace: unknown action %T", a))
}
