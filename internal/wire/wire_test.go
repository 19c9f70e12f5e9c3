package wire

import (
	"bytes"
	"errors"
	"io"
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
	if b.Now != 8412250 || len(b.Items) != 12 {
		t.Fatalf("now %d, %d items", b.Now, len(b.Items))
	}
	s := b.Items[0].Start
	if s == nil || b.Items[0].Seed != 1<<64-1 || s.Classes[0].Effect != policy.IdempotentByKey || s.Classes[0].DedupScope != policy.DedupPlacementGroup ||
		s.Classes[0].Threads != 4 || !s.Classes[0].LocksTables || s.MaxRetryAfter != 77 || s.RetryBudgetFloor != 3 ||
		s.Shortage != policy.ShortageSwaps || s.Kinds[1] != (policy.Kind{Cores: 16, MemoryMB: 2}) {
		t.Fatalf("settings %+v", s)
	}
	whole := b.Items[1].Event.(policy.EndpointUpdate)
	if !whole.Complete || len(whole.Endpoints) != 2 || whole.Endpoints[1].State != policy.Draining || whole.Endpoints[1].Started != 6100000 ||
		whole.Endpoints[0].PlacementGroup != 4 {
		t.Fatalf("list %+v", whole)
	}
	if diff := b.Items[2].Event.(policy.EndpointUpdate); diff.Complete || len(diff.Endpoints) != 0 {
		t.Fatalf("a reused list number must hold the later rows: %+v", diff)
	}
	if failed := b.Items[3].Event.(policy.EndpointUpdate); !failed.Failed || failed.Complete {
		t.Fatalf("failed call %+v", failed)
	}
	want := policy.Request{ID: "9683a19b5d3a91c4", Cost: 12000, TableGroup: 11, MemoryMB: 384.5, ClientRetry: true, Deadline: 8652250,
		OrderKey: 4569004829183723, HasOrderKey: true}
	if b.Items[4].Event != want {
		t.Fatalf("request %+v", b.Items[4].Event)
	}
	o := b.Items[5].Event.(policy.AttemptResult)
	if o.Code != policy.OK || !o.Final || o.WorkMicros != 17000 || o.NeededMB != 96*4 ||
		*o.Load != (policy.Load{Util: 0.62, InFlight: -1, Queue: 3, Memory: -1, Disk: 1.25}) {
		t.Fatalf("outcome %+v %+v", o, o.Load)
	}
	if p := b.Items[6].Event.(policy.Progress); p.Kind != policy.WaitingForTables {
		t.Fatalf("progress %+v", p)
	}
	if p := b.Items[7].Event.(policy.HealthCheckResult); p.Code != policy.TimedOut || p.Load != nil {
		t.Fatalf("probe %+v", p)
	}
	if h := b.Items[8].Event.(policy.GossipReceived); string(h.Data) != "hi 7" || h.From != 1 {
		t.Fatalf("peer %+v", h)
	}
	if !b.Items[11].Stop {
		t.Fatal("no stop at the end")
	}
	if _, err := r.Next(); err != io.EOF {
		t.Fatalf("at the end: %v", err)
	}
}

func TestWritesAWholeReply(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for _, a := range []policy.Action{policy.Send{ID: "q", Endpoint: "node.a", Timeout: 80000}, policy.Send{ID: "q", Endpoint: "node.a"},
		policy.Resources{ID: "q", MemoryMB: 640.5, Priority: 2}, policy.Cancel{ID: "q", Attempt: 1}, policy.Shed{ID: "q", RetryAfter: 5},
		policy.Fail{ID: "q"}, policy.HealthCheck{Endpoint: "node.a"}, policy.SetTimer{After: 7}, policy.SendGossip{To: 3, Data: []byte("hi 7")},
		policy.WatchEndpoints{}, policy.FetchEndpoints{}, policy.LogLine{Text: "a \"b\""}} {
		w.Put("dispatcher-3", a)
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
