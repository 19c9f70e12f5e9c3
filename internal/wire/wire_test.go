package wire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"embershunt/policy"
)

const envText = `{"az":1,"me":2,"peersTotal":3,"tickUs":5000,"newKey":{"x":[1]},` +
	`"classes":[{"name":"a","credit":2,"promiseUs":100,"deadlineUs":400,"effect":"dedup","group":"cell","windowUs":9}],` +
	`"familyInfo":{"dop":[4],"kindCores":[8,16],"ramOfKindMb":[1.5,2],"onShortage":"swap","writesTables":[true],` +
	`"waitsForLoads":[false]},"limits":{"retryAfter":true,"maxRetryAfterUs":77,"sendCap":3},` +
	`"rules":{"budgetFree":3.0,"budgetShare":0.5,"budgetSpanUs":5}}`

const batchText = `{"clock":{"momentUs":8412250}}
{"enlist":{"dispatcherId":"dispatcher-3","rngSeed":18446744073709551615,"env":` + envText + `}}
{"register":{"list":0,"rowsIn":[{"node":"node.a","az":0,"type":1,"cohort":4,"condition":"healthy","share":1,"onlineSinceUs":null},{"node":"node.b","condition":"cordoned","onlineSinceUs":6100000,"later":1}]}}
{"view":{"dispatcherId":"dispatcher-3","mode":"disk","rev":41,"list":0}}
{"register":{"list":0,"rowsIn":[]}}
{"view":{"dispatcherId":"dispatcher-3","mode":"diff","rev":42,"list":0}}
{"view":{"dispatcherId":"dispatcher-3","mode":"error","rev":42,"list":0}}
{"accept":{"dispatcherId":"dispatcher-3","tid":"9683a19b5d3a91c4","costUs":12000,"sourceSet":11,"ramMb":384.5,"attrs":3,"userGroup":null,"type":0,"dueUs":8652250,"orderKey":4569004829183723}}
{"closedAttempt":{"dispatcherId":"dispatcher-3","tid":"9683a19b5d3a91c4","rc":100,"usedUp":69728,"attempt":0,"node":"node.a","last":true,"timeTakenUs":18500,"load":{"busy":0.62,"q":3,"x1":1.25,"odd":7}}}
{"progress":{"dispatcherId":"dispatcher-3","tid":"9683a19b5d3a91c4","x":2,"node":"node.a","attempt":0,"kind":3}}
{"checked":{"dispatcherId":"dispatcher-3","node":"node.a","rc":303,"timeTakenUs":5,"load":null}}
{"neighbourSays":{"dispatcherId":"dispatcher-3","originPeer":1,"contents":"aGkgNw=="}}
{"clientGone":{"dispatcherId":"dispatcher-3","tid":"9683a19b5d3a91c4"}}
{"somethingNew":{"dispatcherId":"dispatcher-3"}}
{"reminder":{"dispatcherId":"dispatcher-3","handle":77}}
{"crashNow":{"dispatcherId":"dispatcher-3"}}
{"eofBatch":{}}
`

func TestReadsAWholeBatch(t *testing.T) {
	r := NewReader(strings.NewReader(batchText))
	b, err := r.Next()
	if err != nil {
		t.Fatal(err)
	}
	if b.Now != 8412250 || len(b.Events) != 12 {
		t.Fatalf("now %d, %d events", b.Now, len(b.Events))
	}
	if b.Events[0].Seed != 1<<64-1 {
		t.Errorf("seed %d", b.Events[0].Seed)
	}
	checkBatchSettings(t, b.Events[0].Start)
	if b.Events[0].Event != nil || !b.Events[11].Stop {
		t.Errorf("first event %+v, wanted a start without a policy event; last event %+v, wanted a stop", b.Events[0], b.Events[11])
	}
	for i, want := range batchEvents() {
		if got := b.Events[i+1].Event; !reflect.DeepEqual(got, want) {
			t.Errorf("policy event %d is %#v, wanted %#v", i+1, got, want)
		}
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Fatalf("at the end: %v", err)
	}
}

func checkBatchSettings(t *testing.T, s *policy.Settings) {
	t.Helper()
	if s == nil {
		t.Fatal("no settings")
	}
	class := policy.Class{Name: "a", PriorityWeight: 2, LatencyObjective: 100, Deadline: 400, Threads: 4, LocksTables: true,
		Effect: policy.IdempotentByKey, DedupScope: policy.DedupPlacementGroup, DedupWindow: 9}
	if len(s.Classes) != 1 || !reflect.DeepEqual(s.Classes[0], class) {
		t.Errorf("classes %+v, wanted %+v", s.Classes, class)
	}
	if s.Zone != 1 || s.PeerIndex != 2 || s.Peers != 3 || s.MaxAttempts != 3 || s.MaxRetryAfter != 77 ||
		s.Shortage != policy.ShortageSwaps {
		t.Errorf("settings %+v", s)
	}
	if s.RetryBudgetFloor != 3 || s.RetryBudgetRatio != 0.5 || s.RetryBudgetWindow != 5 {
		t.Errorf("retry budget %v, %v, %v", s.RetryBudgetFloor, s.RetryBudgetRatio, s.RetryBudgetWindow)
	}
	if len(s.Kinds) != 2 || s.Kinds[1] != (policy.Kind{Cores: 16, MemoryMB: 2}) {
		t.Errorf("kinds %+v", s.Kinds)
	}
}

// batchEvents returns the events in batchText between the start and the end of the instance.
func batchEvents() []policy.Event {
	const id = "9683a19b5d3a91c4"
	return []policy.Event{
		policy.EndpointUpdate{Complete: true, Endpoints: []policy.Endpoint{
			{ID: "node.a", Kind: 1, PlacementGroup: 4, State: policy.Healthy, Weight: 1},
			{ID: "node.b", State: policy.Draining, Started: 6100000}}},
		policy.EndpointUpdate{Endpoints: []policy.Endpoint{}}, // a list replaces the earlier one of the same number
		policy.EndpointUpdate{Failed: true},
		policy.Request{ID: id, Cost: 12000, TableGroup: 11, MemoryMB: 384.5, ClientRetry: true, Deadline: 8652250,
			OrderKey: 4569004829183723, HasOrderKey: true},
		policy.AttemptResult{ID: id, Endpoint: "node.a", Code: policy.OK, Final: true, Latency: 18500, WorkMicros: 17000, NeededMB: 96 * 4,
			Load: &policy.Load{Utilization: 0.62, InFlight: -1, Queue: 3, Memory: -1, Disk: 1.25}},
		policy.Progress{ID: id, Endpoint: "node.a", Kind: policy.WaitingForTables, Value: 2},
		policy.HealthCheckResult{Endpoint: "node.a", Code: policy.TimedOut, Latency: 5},
		policy.GossipReceived{From: 1, Data: []byte("hi 7")},
		policy.ClientDisconnected{ID: id},
		policy.TimerFired{},
	}
}

func TestWritesAWholeReply(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for _, a := range []policy.Action{policy.Send{ID: "q", Endpoint: "node.a", Timeout: 80000},
		policy.Send{ID: "q", Endpoint: "node.a"}, policy.Resources{ID: "q", MemoryMB: 640.5, Priority: 2},
		policy.Cancel{ID: "q", Attempt: 1}, policy.Shed{ID: "q", RetryAfter: 5}, policy.Fail{ID: "q"},
		policy.HealthCheck{Endpoint: "node.a"}, policy.SetTimer{After: 7}, policy.SendGossip{To: 3, Data: []byte("hi 7")},
		policy.WatchEndpoints{}, policy.FetchEndpoints{}, policy.LogLine{Text: "a \"b\""}} {
		w.WriteAction("dispatcher-3", a)
	}
	w.Fault("dispatcher-3", "boom")
	if err := w.End(); err != nil {
		t.Fatal(err)
	}
	want := `{"submitTo":{"dispatcherId":"dispatcher-3","tid":"q","allowForUs":80000,"node":"node.a"}}
{"submitTo":{"dispatcherId":"dispatcher-3","tid":"q","node":"node.a"}}
{"assignTerms":{"dispatcherId":"dispatcher-3","tid":"q","workspaceMb":640.5,"prio":2}}
{"cancel":{"dispatcherId":"dispatcher-3","tid":"q","attempt":1}}
{"sayNo":{"dispatcherId":"dispatcher-3","tid":"q","notBeforeForUs":5}}
{"dropRequest":{"dispatcherId":"dispatcher-3","tid":"q"}}
{"healthCheck":{"dispatcherId":"dispatcher-3","node":"node.a"}}
{"setAlarm":{"dispatcherId":"dispatcher-3","delayUs":7,"handle":1}}
{"writePeer":{"dispatcherId":"dispatcher-3","dest":3,"contents":"aGkgNw=="}}
{"tail":{"dispatcherId":"dispatcher-3","want":true}}
{"listAll":{"dispatcherId":"dispatcher-3"}}
{"record":{"dispatcherId":"dispatcher-3","message":"a \"b\""}}
{"bailOut":{"dispatcherId":"dispatcher-3","message":"boom"}}
{"yield":{}}
`
	if out.String() != want {
		t.Fatalf("got\n%s\nwant\n%s", out.String(), want)
	}
}

func TestMalformedFramesNameLineAndField(t *testing.T) {
	for text, want := range map[string]string{
		"{\"clock\":{\"momentUs\":1}}\n{\"accept\":{\"dispatcherId\":\"d\",\"type\":\"x\"}}\n": "line 2: accept.type",
		"{\"clock\":{}}\n":    "line 1: clock.momentUs",
		"{\"clock\":\n":       "line 1: frame",
		"{\"eofBatch\":{}}\n": "line 1: eofBatch",
		"{\"clock\":{\"momentUs\":1}}\n{\"accept\":{}}\n":          "line 2: accept: dispatcherId",
		"{\"clock\":{\"momentUs\":1}}\n":                           "line 1: eofBatch",
		"{\"clock\":{\"momentUs\":1},\"yield\":{}}\n":              "line 1: frame",
		"{\"clock\":{\"momentUs\":1}}\n{\"view\":{\"list\":\"\"}}": "line 2: view.list",
	} {
		_, err := NewReader(strings.NewReader(text)).Next()
		var fe *FrameError
		if !errors.As(err, &fe) || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte(batchText))
	f.Add([]byte("{\"clock\":{\"momentUs\":1}}\n{\"eofBatch\":{}}\n"))
	f.Add([]byte("{\"clock\":{\"momentUs\":1}}\n{\"accept\":null}\n"))
	f.Add([]byte("null\n[]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data))
		for range 1000 {
			b, err := r.Next()
			if (b == nil) == (err == nil) {
				t.Fatalf("batch %v with error %v", b, err)
			}
			if err != nil {
				return
			}
		}
	})
}
