package soak

import (
	"encoding/json"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
)

// Class is a request class of a run.
type Class struct {
	Name        string
	Effect      policy.Effect
	Deadline    time.Duration
	DedupWindow time.Duration // for how long nodes deduplicate requests with the same key; 0 where the class has no keys
	MeanWork    time.Duration // mean time that a node takes for a request
}

// classes are the request classes of every run. Their deadlines are short, so that many planned restarts fit into a run.
var classes = []*Class{
	{Name: "lookup", Effect: policy.Idempotent, Deadline: 1500 * time.Millisecond, MeanWork: 20 * time.Millisecond},
	{Name: "load", Effect: policy.IdempotentByKey, Deadline: 2500 * time.Millisecond, DedupWindow: 1200 * time.Millisecond, MeanWork: 60 * time.Millisecond},
	{Name: "booking", Effect: policy.NonIdempotent, Deadline: 2000 * time.Millisecond, MeanWork: 30 * time.Millisecond},
	{Name: "report", Effect: policy.Idempotent, Deadline: 2500 * time.Millisecond, MeanWork: 250 * time.Millisecond},
}

// Limits that marshal writes into the settings of every run. The settings have no secondCopies, so hedging is not allowed.
const (
	drainGrace     = time.Second
	budgetBase     = 5
	budgetRatio    = 0.2
	budgetWindow   = 5 * time.Second
	maxAttempts    = 3
	connectTimeout = 250 * time.Millisecond
	idleTimeout    = 4 * time.Second
)

// killAfter returns the earliest time of SIGKILL after SIGTERM: the longest deadline of a class plus 0.7 s.
func killAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return longest + 700*time.Millisecond
}

// effectNames are the names of effects in the platform's configuration.
var effectNames = map[policy.Effect]string{policy.Idempotent: "retryable", policy.IdempotentByKey: "dedup", policy.NonIdempotent: "fragile"}

// nodeNames are the zones and kinds of every run.
var nodeNames = nodelist.Names{Zones: []string{"west"}, Kinds: []string{"std"}}

// configuration holds what differs between the configuration files of two dispatchers or incarnations.
type configuration struct {
	name, listen, resolver string // resolver is the name service's address
	descriptors            int
	nodes                  []nodelist.Node
}

// marshal returns the content of a configuration file in the platform's format.
func (c configuration) marshal() ([]byte, error) {
	type object = map[string]any
	var targets []object
	states := map[policy.EndpointState]string{policy.Healthy: "active", policy.Draining: "leaving"}
	for _, n := range c.nodes {
		targets = append(targets, object{"uid": n.ID, "endpoint": n.PlatformAddress, "az": "west", "model": "std", "pod_group": 0,
			"state": states[n.State], "capacity_hint": n.Weight, "boot_ms": 0})
	}
	var list []object
	waits, writes, threads := []bool{}, []bool{}, []int{}
	for _, class := range classes {
		list = append(list, object{"name": class.Name, "credit": 1, "promiseUs": class.Deadline.Microseconds() / 2,
			"deadlineUs": class.Deadline.Microseconds(), "effect": effectNames[class.Effect], "group": "all", "windowUs": class.DedupWindow.Microseconds()})
		waits, writes, threads = append(waits, false), append(writes, false), append(threads, 1)
	}
	settings := object{"az": 0, "me": 0, "peersTotal": 1, "zones": nodeNames.Zones, "models": nodeNames.Kinds, "classes": list,
		"familyInfo": object{"dop": threads, "kindCores": []int{64}, "ramOfKindMb": []int{131072}, "waitsForLoads": waits, "writesTables": writes},
		"feedback":   object{"how": "piggyback", "fields": []string{"busy", "rif"}},
		"limits": object{"connectTimeoutUs": connectTimeout.Microseconds(), "connIdleUs": idleTimeout.Microseconds(), "streamsPerConn": 100,
			"sendCap": maxAttempts, "mostHeld": 20000, "retryAfter": true, "maxRetryAfterUs": 2000000},
		"rules": object{"stopSendingWithinUs": drainGrace.Microseconds(), "budgetFree": budgetBase, "budgetShare": budgetRatio,
			"budgetSpanUs": budgetWindow.Microseconds()}}
	return json.Marshal(object{"name": c.name, "listen": c.listen, "seed": "5eed", "resolver": c.resolver,
		"limits":   object{"cores": 0.5, "memory_mb": 96, "sockets": c.descriptors},
		"known":    object{"pos": 1, "entries": []any{object{"pos": 1, "hosts": object{"all": true, "targets": targets}}}},
		"settings": settings})
}
