package policy

import "testing"

// tableLoadSettings returns testSettings with a class of loads, which lock their table group; the light class
// waits for the lock.
func tableLoadSettings() Settings {
	s := testSettings()
	s.Classes[0].WaitsForTables = true
	s.Classes = append(s.Classes, Class{Name: "load", PriorityWeight: 5, LateWeight: 0.6, LatencyObjective: 3 * sec, ObjectiveStretch: 3, Deadline: 25 * sec,
		Threads: 2, Effect: IdempotentByKey, DedupWindow: 15 * sec, LocksTables: true})
	return s
}

// Loads of one group that were spread over all endpoints locked the group on one endpoint after the other.
// Lookups of the group were blocked until their deadlines, on endpoints with a tenth of their cores in use.
func TestLoadsLeaveEndpointsToWaitingQueries(t *testing.T) {
	const tables = 7
	b := newHarness(t, tableLoadSettings(), 6)
	maxLocked, blocked, lookups := 0, 0, 0
	type openLoad struct {
		s      Send
		endsAt Micros
	}
	var loads []openLoad
	for i := range 2000 {
		b.now += 5000
		for len(loads) > 0 && loads[0].endsAt <= b.now {
			s := loads[0].s
			loads = loads[1:]
			for _, next := range actionsOf[Send](b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 500000})) {
				loads = append(loads, openLoad{next, b.now + sec/2})
			}
		}
		q := b.request(0)
		if q.TableGroup = tables; i%20 == 0 {
			q = b.request(2)
			q.TableGroup = tables
		}
		for _, s := range actionsOf[Send](b.step(q)) {
			if i%20 == 0 {
				loads = append(loads, openLoad{s, b.now + sec/2})
				continue
			}
			lookups++
			for _, l := range loads {
				if l.s.Endpoint == s.Endpoint {
					blocked++
				}
			}
			b.now += 1000
			b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
		}
		loadsOn := map[string]int{}
		for _, l := range loads {
			if loadsOn[l.s.Endpoint]++; loadsOn[l.s.Endpoint] > 1 {
				t.Fatalf("two loads of one group on %s", l.s.Endpoint)
			}
		}
		maxLocked = max(maxLocked, len(loadsOn))
	}
	if maxLocked == 0 || maxLocked > 3 {
		t.Errorf("loads locked their group on %d of 6 endpoints at once", maxLocked)
	}
	if lookups == 0 || blocked*50 > lookups {
		t.Errorf("%d of %d lookups were sent to an endpoint with a locked group", blocked, lookups)
	}
}

// Gateways agree without gossip on the endpoints for the loads of a group, and not all groups have the same
// endpoints.
func TestAffinitySubsetsAreTheSameEverywhere(t *testing.T) {
	a, b := newHarness(t, tableLoadSettings(), 6), newHarness(t, tableLoadSettings(), 6)
	differ := false
	for tables := range int64(20) {
		for i, e := range a.g.endpoints.list {
			if a.g.inAffinitySubset(tables, e) != b.g.inAffinitySubset(tables, b.g.endpoints.list[i]) {
				t.Errorf("group %d, %s: two gateways disagree", tables, e.ID)
			}
			differ = differ || a.g.inAffinitySubset(tables, e) != a.g.inAffinitySubset(0, e)
		}
	}
	if !differ {
		t.Error("all groups have the same endpoints")
	}
}

// The only endpoint runs the loads of every group.
func TestLoadGoesToTheOnlyEndpoint(t *testing.T) {
	b := newHarness(t, tableLoadSettings(), 1)
	if len(actionsOf[Send](b.step(b.request(2)))) != 1 {
		t.Error("load not sent to the only endpoint")
	}
}

// A load locks its group on its endpoint: queries that wait for the lock go to other endpoints.
func TestWaitingClassesAvoidTableLocks(t *testing.T) {
	s := testSettings()
	s.Classes[0].WaitsForTables, s.Classes[1].LocksTables, s.Classes[1].Threads = true, true, 1
	b := newHarness(t, s, 4)
	load := b.request(1)
	load.TableGroup = 9
	at := actionsOf[Send](b.step(load))[0].Endpoint
	there := 0
	for range 12 {
		b.now += 1000
		q := b.request(0)
		q.TableGroup = 9
		for _, s := range actionsOf[Send](b.step(q)) {
			if s.Endpoint == at {
				there++
			}
			b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
		}
	}
	if there > 3 {
		t.Fatalf("%d of 12 queries sent to the endpoint of the load", there)
	}
}
