package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Plan is what a run plays beside its clients.
type Plan struct {
	Options
	Length time.Duration // for which faults are played
	Crowd  bool          // idle clients fill the descriptors now and then
}

// RandomPlan draws the plan of a seed: its size is given, its habits and whether there is a crowd are drawn.
func RandomPlan(o Options, length time.Duration) Plan {
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	o.Habits = Habits{Think: time.Duration(100+rng.IntN(200)) * time.Millisecond, Cancel: 0.1 * rng.Float64(), Vanish: 0.1 * rng.Float64(),
		Burst: 0.1 * rng.Float64(), Slow: 0.2 * rng.Float64(), Rush: rng.Float64()}
	o.Sockets = 160 + rng.IntN(200)
	return Plan{Options: o, Length: length, Crowd: rng.IntN(3) == 0}
}

// player plays faults on a cluster; each of its parts draws from a source of its own.
type player struct {
	*Cluster
	plan Plan
	end  time.Time
	all  sync.WaitGroup
}

// Play runs a plan to its end and returns what was seen.
func Play(ctx context.Context, plan Plan) (*Record, error) {
	c, err := NewCluster(ctx, plan.Options)
	if err != nil {
		c.Close()
		return c.Record, err
	}
	p := &player{Cluster: c, plan: plan, end: time.Now().Add(plan.Length)}
	part := uint64(1)
	start := func(play func(context.Context, *rand.Rand)) {
		rng := rand.New(rand.NewPCG(plan.Seed, part<<32))
		part++
		p.all.Add(1)
		go func() { defer p.all.Done(); play(ctx, rng) }()
	}
	for _, d := range c.Dispatchers {
		start(func(ctx context.Context, rng *rand.Rand) { p.nameFaults(ctx, rng, d) })
		start(func(ctx context.Context, rng *rand.Rand) { p.processFaults(ctx, rng, d) })
	}
	for _, id := range c.Healthy() {
		start(func(ctx context.Context, rng *rand.Rand) { p.serverFaults(ctx, rng, id) })
	}
	start(p.changes)
	start(p.rude)
	if plan.Crowd {
		start(p.crowd)
	}
	p.all.Wait()
	p.rest(ctx, killAfter()) // the last requests get their answers
	return c.Record, c.Close()
}

// rest waits; false where the run is over.
func (p *player) rest(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return time.Now().Before(p.end)
	}
}

// between draws a time.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Float64()*float64(most-least))
}

// nameFaults has one dispatcher's name service misbehave now and then.
func (p *player) nameFaults(ctx context.Context, rng *rand.Rand, d *Dispatcher) {
	for p.rest(ctx, between(rng, 100*time.Millisecond, 2*time.Second)) {
		var f NameFaults
		hold := between(rng, 500*time.Millisecond, 4*time.Second)
		switch rng.IntN(8) {
		case 0:
			f.Down, hold = true, between(rng, 200*time.Millisecond, 3500*time.Millisecond)
		case 1:
			f.Latency = between(rng, 50*time.Millisecond, 2*time.Second)
		case 2:
			f.Loss, f.Spoilt = 0.15*rng.Float64(), 0.3*rng.Float64()
		case 3:
			f.SilentNow = true
		case 4:
			f.BadRow, f.Twice = true, rng.Float64()
		case 5:
			f.Earlier, f.Latency = 0.1, between(rng, 0, 300*time.Millisecond)
		case 6:
			f.OldRows, f.Twice = 0.15, 0.5
		default:
			f.Latency, f.Loss, f.Twice = between(rng, 0, 500*time.Millisecond), 0.1, 0.3
		}
		d.SetNameFaults(f)
		p.rest(ctx, hold)
		d.SetNameFaults(NameFaults{})
	}
}

// serverFaults has one server misbehave now and then.
func (p *player) serverFaults(ctx context.Context, rng *rand.Rand, id string) {
	s := p.Server(id)
	for p.rest(ctx, between(rng, time.Second, 8*time.Second)) {
		var f ServerFaults
		switch rng.IntN(8) {
		case 0:
			f.Hang = true
		case 1:
			f.Slower = 1 + 8*rng.Float64()
		case 2:
			f.Full, f.Failing = 0.3*rng.Float64(), 0.3*rng.Float64()
		case 3:
			f.LostAnswer = 0.2
		case 4:
			f.ResetUnder, f.ResetNew = 0.2*rng.Float64(), 0.5*rng.Float64()
		case 5:
			f.Garbled, f.Endless, f.Twice = 0.1, 0.1, 0.5
		case 6:
			f.LateRead = between(rng, 0, time.Second)
		default:
			f.CloseIdle = between(rng, 5*time.Millisecond, 300*time.Millisecond)
		}
		s.SetFaults(f)
		p.rest(ctx, between(rng, 500*time.Millisecond, 5*time.Second))
		s.SetFaults(ServerFaults{})
	}
}

// processFaults kills, ends and restarts one dispatcher, and sends it signals.
func (p *player) processFaults(ctx context.Context, rng *rand.Rand, d *Dispatcher) {
	for p.rest(ctx, between(rng, 500*time.Millisecond, 9*time.Second)) {
		switch rng.IntN(4) {
		case 0:
			d.Kill()
			p.rest(ctx, between(rng, 50*time.Millisecond, time.Second))
			p.Restart(ctx, d)
		case 1:
			d.Move(p.list())
			if rng.IntN(2) == 0 {
				p.rest(ctx, between(rng, 0, 100*time.Millisecond))
				d.Move(p.list())
			}
		default:
			p.replace(ctx, rng, d)
		}
	}
}

// replace plays a planned restart, with more signals than one.
func (p *player) replace(ctx context.Context, rng *rand.Rand, d *Dispatcher) {
	signals := []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}
	var further []os.Signal
	for range rng.IntN(4) {
		further = append(further, signals[rng.IntN(len(signals))])
	}
	if rng.IntN(3) == 0 {
		d.Signal(syscall.SIGHUP)
	}
	d.Terminate(further, between(rng, 0, 600*time.Millisecond))
	p.rest(ctx, between(rng, 0, 300*time.Millisecond))
	p.Restart(ctx, d)
}

// healthyLeast is how many servers the list keeps ready.
const healthyLeast = 4

// changes drains, removes, crashes and joins servers.
func (p *player) changes(ctx context.Context, rng *rand.Rand) {
	for p.rest(ctx, between(rng, 200*time.Millisecond, 1500*time.Millisecond)) {
		ids := p.Healthy()
		if rng.IntN(3) == 0 || len(ids) <= healthyLeast {
			p.Join()
			continue
		}
		id := ids[rng.IntN(len(ids))]
		if rng.IntN(4) == 0 { // without a drain
			p.Remove(id)
		} else {
			p.Drain(id)
		}
		crash := between(rng, 1500*time.Millisecond, 6*time.Second)
		p.all.Add(1)
		go func() {
			defer p.all.Done()
			p.rest(ctx, crash)
			p.Remove(id)
			p.Server(id).Crash()
		}()
	}
}

// rude is clients that send what cannot be read, half a request, or nothing.
func (p *player) rude(ctx context.Context, rng *rand.Rand) {
	words := [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), {0, 0, 0, 8, 4, 210, 22, 47}, {0xff, 0xff, 0xff, 0xff}, query("SELECT 1"),
		query("/* route=none,trace=1 */ SELECT 1"), {'Q', 0, 0}, {'Q', 0x7f, 0xff, 0xff, 0xff}, nil}
	for p.rest(ctx, between(rng, 0, 200*time.Millisecond)) {
		d := p.Dispatchers[rng.IntN(len(p.Dispatchers))]
		if !d.connectable() {
			continue
		}
		word := words[rng.IntN(len(words))]
		s, err := open(ctx, d.listen)
		if err != nil {
			continue
		}
		s.Write(word)
		time.AfterFunc(between(rng, 0, 500*time.Millisecond), s.drop)
	}
}

// crowd opens idle connections until the descriptors of some dispatchers are in use, and closes them again.
func (p *player) crowd(ctx context.Context, rng *rand.Rand) {
	for p.rest(ctx, between(rng, time.Second, 3*time.Second)) {
		d := p.Dispatchers[rng.IntN(len(p.Dispatchers))]
		var idle []net.Conn
		for range p.plan.Sockets {
			if conn, err := net.DialTimeout("tcp", d.listen, 100*time.Millisecond); err == nil {
				idle = append(idle, conn)
			}
		}
		p.rest(ctx, between(rng, time.Second, 3*time.Second))
		for _, conn := range idle {
			conn.Close()
		}
	}
}
