package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
)

// inflation is many gateways that share engines; answers come after a fixed time.
type crowd struct {
	t      *testing.T
	gs     []*Gateway
	now    Micros
	ids    int
	due    map[Micros][]func()
	sent   map[string]float64 // work sent to each engine, by its estimate
	sends  map[string][]Micros
	open   map[string]float64 // threads out on each engine
	most   map[string]float64
	probes int
	tells  map[int]int // messages by receiver
	taken  int
	acts   []Action
}

func newCrowd(t *testing.T, gateways, engines int, edit func(*Settings), row func(int, *Endpoint)) *crowd {
	t.Helper()
	c := &crowd{t: t, now: 100 * sec, due: map[Micros][]func(){}, sent: map[string]float64{},
		sends: map[string][]Micros{}, open: map[string]float64{}, most: map[string]float64{}, tells: map[int]int{}}
	var rows []Endpoint
	for i := range engines {
		e := Endpoint{ID: fmt.Sprintf("e%02d", i), PlacementGroup: i / 2}
		if row != nil {
			row(i, &e)
		}
		rows = append(rows, e)
	}
	for i := range gateways {
		s := testSettings()
		s.Peers, s.PeerIndex, s.CanGossip, s.CanHealthCheck = gateways, i, true, true
		if edit != nil {
			edit(&s)
		}
		g, err := New(uint64(i), s)
		if err != nil {
			t.Fatal(err)
		}
		c.gs = append(c.gs, g)
	}
	for i := range c.gs {
		c.play(i, EndpointUpdate{Complete: true, Endpoints: rows})
	}
	return c
}

// play steps one gateway and carries out what it asks.
func (c *crowd) play(i int, evs ...Event) {
	acts := c.gs[i].Step(c.now, evs)
	c.acts = append(c.acts, acts...)
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			c.sends[a.Endpoint] = append(c.sends[a.Endpoint], c.now)
			q := c.gs[i].ledger.requests[a.ID]
			c.sent[a.Endpoint] += q.work
			c.open[a.Endpoint] += q.class.threads
			c.most[a.Endpoint] = max(c.most[a.Endpoint], c.open[a.Endpoint])
			n := len(q.attempts) - 1
			c.after(sec/2, func() {
				c.open[a.Endpoint] -= q.class.threads
				c.play(i, AttemptResult{ID: a.ID, Attempt: n, Endpoint: a.Endpoint, Final: true, Latency: sec / 2, Load: c.load(a.Endpoint)})
			})
		case HealthCheck:
			c.probes++
			c.after(2000, func() { c.play(i, HealthCheckResult{Endpoint: a.Endpoint, Latency: 2000, Load: c.load(a.Endpoint)}) })
		case SendGossip:
			c.tells[a.To]++
			if a.To < 0 || a.To >= len(c.gs) || a.To == i || len(a.Data) > 256 {
				c.t.Fatalf("gateway %d told %d with %d bytes", i, a.To, len(a.Data))
			}
			c.after(5000, func() { c.play(a.To, GossipReceived{From: i, Data: a.Data}) })
		}
	}
}

func (c *crowd) load(engine string) *Load {
	return &Load{Util: min(1, c.open[engine]/8), InFlight: c.open[engine], Queue: -1, Memory: -1, Disk: -1}
}

func (c *crowd) after(d Micros, f func()) {
	at := (c.now + d + 9999) / 10000 * 10000
	c.due[at] = append(c.due[at], f)
}

// run plays on for so long; every gateway takes a light query each gap, at times of its own.
func (c *crowd) run(d, gap Micros) {
	for end := c.now + d; c.now < end; {
		c.now += 10000
		for _, f := range c.due[c.now] {
			f()
		}
		delete(c.due, c.now)
		for i := range c.gs {
			if (c.now/10000+Micros(i*7))%(gap/10000) == 0 {
				c.ids++
				c.taken++
				c.play(i, Request{ID: fmt.Sprint(c.ids), Cost: 100000, MemoryMB: 100, Deadline: c.now + 4*sec})
			} else {
				c.play(i)
			}
		}
	}
}

// Probes and messages go with own traffic, whatever the fleet; messages are spread,
// and news of an engine reaches most gateways within three seconds.
func TestAsksAndTellsGoWithTraffic(t *testing.T) {
	c := newCrowd(t, 60, 20, nil, nil)
	c.run(8*sec, sec/2)
	var tells, most int
	for _, n := range c.tells {
		tells, most = tells+n, max(most, n)
	}
	if c.probes > c.taken || tells > c.taken || tells < c.taken/4 {
		t.Errorf("%d requests, %d probes, %d messages", c.taken, c.probes, tells)
	}
	if most*60 > tells*3 {
		t.Errorf("one gateway was told %d of %d messages", most, tells)
	}
	known := 0
	for _, g := range c.gs {
		for _, e := range g.endpoints.list {
			if g.secondsSince(max(e.loadAt, e.lastResponse)) < 3 {
				known++
			}
		}
	}
	if known*4 < 60*20*3 {
		t.Errorf("%d of %d engines known within three seconds", known, 60*20)
	}
	taken, probes := c.taken, c.probes
	c.run(5*sec, 3600*sec)
	if idle := len(c.acts); c.probes-probes > taken || idle == 0 {
		t.Errorf("idle gateways probed %d times", c.probes-probes)
	}
}

// However many gateways there are, what they send a cold engine stays within the
// rule in sum, and the engine is used.
func TestColdBudgetHoldsInSumAndIsUsed(t *testing.T) {
	for _, n := range []int{2, 20, 100} {
		c := newCrowd(t, n, 4, nil, func(i int, e *Endpoint) {
			if i == 0 {
				e.Started = 100 * sec
			}
		})
		s := c.gs[0].settings
		gap := sec * Micros(n) / 100
		last, all := 0.0, 0.0
		for range 4 { // windows of the rule's length; what it bears then rises evenly
			share := s.SlowStartFloor + (1-s.SlowStartFloor)*float64(c.now-100*sec)/float64(s.SlowStartDuration)
			limit := s.OverloadMultiple * share * 8 * float64(s.OverloadDuration) / microsPerSecond
			c.run(s.OverloadDuration, gap)
			if used := c.sent["e00"] - last; used > limit {
				t.Errorf("%d gateways sent a cold engine %.2f s of work in a window of %.2f", n, used, limit)
			}
			last, all = c.sent["e00"], all+limit
		}
		if last < all/10 {
			t.Errorf("%d gateways sent a cold engine only %.2f s of work of %.2f", n, last, all)
		}
	}
}

// The same in requests over every window, beyond chance (N + 2 x root of N + 2 of N that the settings allow), where traffic is uneven and
// every gateway is replaced, a tenth at a time, by one that knows nothing but the list.
func TestColdBudgetHoldsForJoiners(t *testing.T) {
	for _, n := range []int{3, 30, 300} {
		rows := []Endpoint{}
		c := newCrowd(t, n, 4, func(s *Settings) { s.CanHealthCheck = false }, func(i int, e *Endpoint) {
			if i == 0 {
				e.Started = 100 * sec
			}
			rows = append(rows, *e)
		})
		s := c.gs[0].settings
		rng := rand.New(rand.NewPCG(1, uint64(n)))
		for tick := 0; c.now < 100*sec+s.SlowStartDuration; tick++ {
			c.now += 10000
			for _, f := range c.due[c.now] {
				f()
			}
			delete(c.due, c.now)
			for range 6 { // more than the others can do
				i := rng.IntN(n)
				if rng.IntN(2) == 0 { // some see several times the mean
					i = rng.IntN((n + 4) / 5)
				}
				c.ids++
				c.play(i, Request{ID: fmt.Sprint(c.ids), Cost: 100000, MemoryMB: 100, Deadline: c.now + 4*sec})
			}
			for i := range c.gs {
				if tick%20 == 0 && i%10 == tick/20-5 {
					peer := s
					peer.PeerIndex = i
					g, err := New(uint64(1000+tick+i), peer)
					if err != nil {
						t.Fatal(err)
					}
					c.gs[i] = g
					c.play(i, EndpointUpdate{Complete: true, Endpoints: rows})
				}
				c.play(i)
			}
		}
		sends, worst := c.sends["e00"], 0.0
		for i, from := range sends {
			share := s.SlowStartFloor + (1-s.SlowStartFloor)*float64(from-100*sec)/float64(s.SlowStartDuration)
			budget := s.OverloadMultiple * share * 8 * float64(s.OverloadDuration) / microsPerSecond / 0.1
			count := 0.0
			for _, at := range sends[i:] {
				if at < from+s.OverloadDuration {
					count++
				}
			}
			worst = max(worst, count/(budget+2*math.Sqrt(budget)+2))
		}
		t.Logf("%d gateways: %d sent to the cold engine, at most %.2f of what it bears in a window", n, len(sends), worst)
		if worst > 1 || len(sends) == 0 {
			t.Errorf("%d gateways sent the cold engine %.2f times what it bears in a window", n, worst)
		}
	}
}

// Gateways that hear of the same room do not fill it many times over.
func TestCommonNewsIsNotClaimedByAll(t *testing.T) {
	c := newCrowd(t, 80, 10, func(s *Settings) { s.CanHealthCheck = false }, nil)
	c.run(10*sec, 2*sec/3) // 120 a second, 60 threads out on 80 cores
	for e := range c.most {
		c.most[e] = 0
	}
	for i := 1; i < 10; i++ { // all but one engine drain: everybody knows the one
		for k := range c.gs {
			c.play(k, EndpointUpdate{Endpoints: []Endpoint{{ID: fmt.Sprintf("e%02d", i), PlacementGroup: i / 2, State: Draining}}})
		}
	}
	c.run(4*sec, 2*sec/3)
	if c.most["e00"] > 40 {
		t.Fatalf("%v threads on the one engine of 8 cores", c.most["e00"])
	}
	if c.most["e00"] < 6 {
		t.Fatalf("only %v threads on the one engine of 8 cores", c.most["e00"])
	}
}

// One broken connection is an answer lost, not a restart; two at once, or one that
// cannot be made, may be a restart.
func TestOneLostAnswerIsNoRestart(t *testing.T) {
	b := newBench(t, testSettings(), 1)
	lose := func(code Code, n int) Micros {
		var sends []Send
		for range n {
			sends = append(sends, only[Send](b.step(b.request(0)))...)
		}
		for _, s := range sends {
			b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Code: code, Final: true, Latency: 1000})
		}
		return b.g.endpoints.list[0].slowStartSince
	}
	if lose(ConnectionReset, 1) != 0 {
		t.Error("cold after one broken connection")
	}
	b.now += sec
	if lose(ConnectionReset, 2) == 0 {
		t.Error("not cold after two broken connections at once")
	}
}

// A hung engine owes notes on what it holds.
func TestOwedNotesAreSilence(t *testing.T) {
	s := testSettings()
	s.ProgressInterval = sec / 2
	b := newBench(t, s, 2)
	for _, e := range b.g.endpoints.list {
		e.lastResponse = b.now - 10*sec
	}
	q := b.request(1)
	q.Cost = 20 * sec // nothing is overdue yet
	at := only[Send](b.step(q))[0].Endpoint
	for range 8 {
		b.now += sec / 2
		b.step(Progress{ID: q.ID, Endpoint: at, Kind: FractionDone, Value: 0.1})
	}
	if b.g.endpoints.byID[at].ejected {
		t.Fatal("suspect while notes come")
	}
	b.until(b.now + 2*sec)
	if !b.g.endpoints.byID[at].ejected {
		t.Fatal("trusted though no note came for two seconds")
	}
}

// Clients that leave less time than the cheapest level takes get a level that is in time.
func TestLittleTimeLeftTakesAFasterLevel(t *testing.T) {
	b := newBench(t, testSettings(), 2)
	c := &b.g.classes[0]
	c.meanWork.value, c.queueWait, c.price = 0.1, [priorityLevels]float64{0, 0, 3, 3}, [priorityLevels]float64{0.9, 0.9, 0, 0}
	for _, tt := range []struct {
		left Micros
		want int
	}{{4 * sec, 2}, {sec, 1}} {
		q := &request{class: c, work: 0.1, weight: 1, Request: Request{Deadline: b.now + tt.left}}
		if level, _ := b.g.leastCostLevel(q); level > tt.want || tt.want == 2 && level != 2 {
			t.Errorf("level %d with %d left", level, tt.left)
		}
	}
}

// Hundreds of gateways interleaved: same events, same actions.
func TestManyGatewaysActAlike(t *testing.T) {
	play := func() []Action {
		c := newCrowd(t, 200, 12, nil, nil)
		c.run(sec, sec/2)
		return c.acts
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Fatal("two runs differ")
	}
}

func TestMessagesCarryWhatIsKnown(t *testing.T) {
	rows := []gossipRow{{wireID: 7, age: sec / 4, utilization: 0.5, inFlight: 12, memory: -1, inflation: 0.5, threads: 3, grantedShare: 0.2, lockedGroup: 9},
		{wireID: 9, age: 0, utilization: -1, inFlight: -1, memory: -1, fault: true}}
	data := encodeGossip([]float64{1.5, 2}, rows)
	rates, got, ok := decodeGossip(data, 2)
	if !ok || len(got) != 2 || rates[0] != 1.5 || got[0].inFlight != 12 || got[0].lockedGroup != 9 || !got[1].fault ||
		got[1].utilization >= 0 || got[0].age != sec/4 {
		t.Fatalf("%v %v %v", rates, got, ok)
	}
	for n := range len(data) { // cut anywhere: skipped, or whole rows only
		if _, rows, ok := decodeGossip(data[:n], 2); ok && len(rows) > 1 {
			t.Fatalf("%d bytes of %d read as %v", n, len(data), rows)
		}
	}
	if _, _, ok := decodeGossip(data, 3); ok {
		t.Fatal("read with another number of tenants")
	}
}

func FuzzHeard(f *testing.F) {
	f.Add([]byte{}, 1)
	f.Add(encodeGossip([]float64{1}, []gossipRow{{wireID: 1, utilization: 2.5, inFlight: 254, memory: 2, inflation: 3, threads: 60, lockedGroup: 255}}), 1)
	f.Fuzz(func(t *testing.T, data []byte, from int) {
		s := testSettings()
		s.CanGossip, s.Peers = true, 5
		b := newBench(t, s, 3)
		b.step(GossipReceived{From: from, Data: data}, b.request(0))
		b.until(b.now + sec/5)
	})
}

func FuzzStep(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
	f.Add([]byte{1, 1, 1, 2, 0, 2, 8, 2, 16, 3, 3, 4, 5, 9, 17, 25})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := testSettings()
		s.CanGossip, s.CanHealthCheck, s.ProgressInterval = true, true, sec
		s.Classes[1].Ordered, s.OrderingGap = true, sec
		b := newBench(t, s, 3)
		for i, x := range data[:min(len(data), 200)] {
			b.now += Micros(x) * 5000
			id, e := fmt.Sprintf("q%d", i%5+1), fmt.Sprintf("e%d", x%4)
			switch x % 8 {
			case 0, 1:
				q := b.request(int(x/8) % 2)
				q.OrderKey, q.HasOrderKey = 1, x%8 == 1
				b.step(q)
			case 2:
				b.step(AttemptResult{ID: id, Attempt: int(x/8) % 3, Endpoint: e, Code: Code(x/8) % 8, Final: x > 128})
			case 3:
				b.step(ClientDisconnected{ID: id})
			case 4:
				b.step(Progress{ID: id, Attempt: int(x/8) % 2, Kind: ProgressKind(x / 8 % 4), Value: float64(x) / 100})
			case 5:
				b.step(HealthCheckResult{Endpoint: e, Code: Code(x / 8 % 2), Load: &Load{Util: float64(x) / 100, InFlight: -1, Memory: -1}})
			case 6:
				b.step(EndpointUpdate{Complete: x > 128, Endpoints: []Endpoint{{ID: e, Started: b.now, State: EndpointState(x / 8 % 3)}}})
			default:
				b.step(StreamStarted{ID: id}, GossipReceived{From: 1, Data: data[:i]})
			}
		}
	})
}

// The cost of a request against the number of engines and of gateways.
func BenchmarkStep(b *testing.B) {
	for _, size := range [][2]int{{3, 8}, {100, 8}, {300, 8}, {3, 40}, {300, 40}} {
		b.Run(fmt.Sprintf("gateways=%d/engines=%d", size[0], size[1]), func(b *testing.B) {
			s := testSettings()
			s.Peers, s.CanGossip = size[0], true
			g, err := New(1, s)
			if err != nil {
				b.Fatal(err)
			}
			var rows []Endpoint
			var news []gossipRow
			for i := range size[1] {
				rows = append(rows, Endpoint{ID: fmt.Sprintf("e%02d", i)})
				news = append(news, gossipRow{wireID: wireID(rows[i].ID), utilization: 0.5, inFlight: 4, memory: -1, threads: 1})
			}
			now := 100 * sec
			g.Step(now, []Event{EndpointUpdate{Complete: true, Endpoints: rows}})
			data := encodeGossip([]float64{1}, news)
			for i := 0; b.Loop(); i++ {
				now += 20000
				id := fmt.Sprint(i)
				for _, a := range g.Step(now, []Event{Request{ID: id, Cost: 100000, Deadline: now + 4*sec}, GossipReceived{From: 1 + i%(size[0]-1), Data: data}}) {
					if s, ok := a.(Send); ok {
						g.Step(now, []Event{AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 50000}})
					}
				}
			}
		})
	}
}
