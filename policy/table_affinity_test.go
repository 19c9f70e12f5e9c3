package policy

import "testing"

// loadSettings is testSettings with a class that loads table groups, which the light class waits for.
func loadSettings() Settings {
	s := testSettings()
	s.Classes[0].WaitsForTables = true
	s.Classes = append(s.Classes, Class{Name: "load", PriorityWeight: 5, LateWeight: 0.6, LatencyObjective: 3 * sec, ObjectiveStretch: 3, Deadline: 25 * sec,
		Threads: 2, Effect: IdempotentByKey, DedupWindow: 15 * sec, LocksTables: true})
	return s
}

// Loads of one group that were spread over all endpoints locked it everywhere, one after the other: lookups of that group
// were blocked to their deadlines, on endpoints with a tenth of their cores in use.
func TestLoadsLeaveEndpointsToWaitingQueries(t *testing.T) {
	const tables = 7
	b := newHarness(t, loadSettings(), 6)
	maxLocked, blocked, lookups := 0, 0, 0
	type out struct {
		s    Send
		till Micros
	}
	var loads []out
	for i := range 2000 {
		b.now += 5000
		for len(loads) > 0 && loads[0].till <= b.now {
			s := loads[0].s
			loads = loads[1:]
			for _, next := range actionsOf[Send](b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 500000})) {
				loads = append(loads, out{next, b.now + sec/2})
			}
		}
		q := b.request(0)
		if q.TableGroup = tables; i%20 == 0 {
			q = b.request(2)
			q.TableGroup = tables
		}
		for _, s := range actionsOf[Send](b.step(q)) {
			if i%20 == 0 {
				loads = append(loads, out{s, b.now + sec/2})
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
		held := map[string]int{}
		for _, l := range loads {
			if held[l.s.Endpoint]++; held[l.s.Endpoint] > 1 {
				t.Fatalf("two loads of one group on %s", l.s.Endpoint)
			}
		}
		maxLocked = max(maxLocked, len(held))
	}
	if maxLocked == 0 || maxLocked > 3 {
		t.Errorf("loads locked their group on %d of 6 endpoints at once", maxLocked)
	}
	if lookups == 0 || blocked*50 > lookups {
		t.Errorf("%d of %d lookups met a lock", blocked, lookups)
	}
}

// Gateways agree on the endpoints for loads of a group without gossip, and groups do not all have the same.
func TestAffinitySubsetsAreTheSameEverywhere(t *testing.T) {
	a, b := newHarness(t, loadSettings(), 6), newHarness(t, loadSettings(), 6)
	differ := false
	for tables := range int64(20) {
		for i, e := range a.g.endpoints.list {
			if a.g.inAffinitySubset(tables, e) != b.g.inAffinitySubset(tables, b.g.endpoints.list[i]) {
				t.Errorf("group %d, %s: two gateways do not agree", tables, e.ID)
			}
			differ = differ || a.g.inAffinitySubset(tables, e) != a.g.inAffinitySubset(0, e)
		}
	}
	if !differ {
		t.Error("all groups have the same endpoints")
	}
}

// With one endpoint left there is no choice.
func TestLoadGoesToTheOnlyEndpoint(t *testing.T) {
	b := newHarness(t, loadSettings(), 1)
	if len(actionsOf[Send](b.step(b.request(2)))) != 1 {
		t.Error("not sent")
	}
}

// A load locks its group on its endpoint: queries that wait for it go elsewhere.
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
		t.Fatalf("%d of 12 sent behind the load", there)
	}
}
