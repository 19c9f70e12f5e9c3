package policy

import (
	"fmt"
	"reflect"
	"testing"
)

const sec = Micros(1e6)

// testSettings is a plain site of two classes, all capabilities allowed.
func testSettings() Settings {
	return Settings{Peers: 2, OverQuotaWeight: 0.1, MaxAttempts: 3, MaxRetryAfter: 2 * sec, CanCancel: true,
		AllowHedging: true, ReportsByAnswer: true, HonorsGrants: true, HonorsPriority: true, MaxGrantShare: 0.5,
		SlowStartFloor: 0.3, SlowStartDuration: 10 * sec, OverloadMultiple: 2, OverloadDuration: 2 * sec, DrainGrace: sec, AnswerSlack: 20000,
		Kinds: []Kind{{Cores: 8, MemoryMB: 16000}},
		Classes: []Class{
			{Name: "light", PriorityWeight: 1, LatencyObjective: sec, ObjectiveStretch: 2, Deadline: 4 * sec, Threads: 1},
			{Name: "heavy", PriorityWeight: 10, LateWeight: 0.4, LatencyObjective: 3 * sec, ObjectiveStretch: 2, Deadline: 15 * sec, Threads: 4},
		}}
}

// bench drives a gateway through its public interface.
type bench struct {
	t   *testing.T
	g   *Gateway
	now Micros
	ids int
}

func newBench(t *testing.T, s Settings, engines int) *bench {
	t.Helper()
	g, err := New(7, s)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, g: g, now: 100 * sec}
	var rows []Endpoint
	for i := range engines {
		rows = append(rows, Endpoint{ID: fmt.Sprintf("e%d", i), PlacementGroup: i / 2})
	}
	b.step(EndpointUpdate{Complete: true, Endpoints: rows})
	return b
}

func (b *bench) step(events ...Event) []Action { return b.g.Step(b.now, events) }

func (b *bench) request(class int) Request {
	b.ids++
	c := b.g.settings.Classes[class]
	return Request{ID: fmt.Sprintf("q%d", b.ids), Class: class, Cost: 100000 * Micros(1+class*29), MemoryMB: 100,
		Deadline: b.now + c.Deadline}
}

// until steps on, a tick at a time, and returns every action on the way.
func (b *bench) until(end Micros) (all []Action) {
	for b.now < end {
		b.now += 10000
		all = append(all, b.step()...)
	}
	return all
}

func only[T Action](acts []Action) (out []T) {
	for _, a := range acts {
		if t, ok := a.(T); ok {
			out = append(out, t)
		}
	}
	return out
}

func TestServesAndAnswersOnce(t *testing.T) {
	b := newBench(t, testSettings(), 4)
	q := b.request(0)
	acts := b.step(q)
	sends := only[Send](acts)
	if len(sends) != 1 || sends[0].ID != q.ID {
		t.Fatalf("want one send of %s, got %v", q.ID, acts)
	}
	b.now += 100000
	b.step(AttemptResult{ID: q.ID, Endpoint: sends[0].Endpoint, Code: OK, Final: true, Latency: 100000})
	rest := b.until(b.now + 5*sec)
	if n := len(only[Send](rest)) + len(only[Fail](rest)) + len(only[Shed](rest)); n != 0 {
		t.Fatalf("%d actions after the final answer", n)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func(between func(*bench)) (all []Action) {
		b := newBench(t, testSettings(), 5)
		for i := range 200 {
			b.now += 7000
			acts := b.step(b.request(i % 2))
			all = append(all, acts...)
			for _, s := range only[Send](acts) {
				if i%3 > 0 {
					all = append(all, b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: i%3 == 1,
						Code: Code(i % 3 * 2 % 3), Latency: 5000})...)
				}
			}
			if between != nil {
				between(newBench(t, testSettings(), 3))
			}
		}
		return all
	}
	alone := run(nil)
	mixed := run(func(o *bench) { o.step(o.request(1)) })
	if !reflect.DeepEqual(alone, mixed) {
		t.Fatal("a gateway acts otherwise beside others")
	}
}

// Nodes that are replaced by new ones, each with a new id, leave nothing behind but what is still out there.
func TestEnginesThatHaveGoneAreForgotten(t *testing.T) {
	b := newBench(t, testSettings(), 3)
	var out Send
	for i := range 100 {
		b.now += sec
		b.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: fmt.Sprintf("new%d", i)}}})
		for _, s := range only[Send](b.step(b.request(0))) {
			if i == 50 {
				out = s
				continue
			}
			b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
		}
	}
	if out.Endpoint == "" || len(b.g.endpoints.byID) != 2 || len(b.g.endpoints.byWireID) != 2 || b.g.endpoints.byID[out.Endpoint] == nil {
		t.Errorf("%d engines on the books, want the one in the list and %q", len(b.g.endpoints.byID), out.Endpoint)
	}
	b.step(AttemptResult{ID: out.ID, Endpoint: out.Endpoint, Final: true, Latency: 100000})
	if b.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: "last"}}}); len(b.g.endpoints.byID) != 1 {
		t.Errorf("%d engines on the books at last", len(b.g.endpoints.byID))
	}
}

// The requests that a budget counts are forgotten when its span is over, also on a day on which nothing is tried again: eight
// bytes for each request ever taken were kept.
func TestTakenRequestsAreForgotten(t *testing.T) {
	for _, span := range []Micros{0, 5 * sec} {
		s := testSettings()
		s.RetryBudgetWindow, s.RetryBudgetFloor, s.RetryBudgetRatio = span, 5, 0.2
		b := newBench(t, s, 2)
		for range 5000 {
			b.now += 10000
			for _, s := range only[Send](b.step(b.request(0))) {
				b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
			}
		}
		if most := int(span/10000) + 200; len(b.g.retryBudget.receivedAt) > most {
			t.Errorf("span %d: %d of 5000 requests on the books, at most %d in the span", span, len(b.g.retryBudget.receivedAt), most)
		}
	}
}
