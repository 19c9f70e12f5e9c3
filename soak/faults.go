package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"embershunt/internal/clock"
)

// Plan describes a deployment and the faults injected into it.
type Plan struct {
	Options
	Length    time.Duration // for how long faults are injected
	IdleCrowd bool          // idle connections exhaust a dispatcher's descriptors now and then
}

// smallFleetServers is the number of servers in plans that leave a retry hardly another server to go to.
const smallFleetServers = 2

// RandomPlan draws a plan from the seed in o. The client behavior, the number of descriptors and whether there is an idle crowd are drawn.
// The rest of o stays, except that one plan of three has smallFleetServers servers instead, with faults throughout.
func RandomPlan(o Options, length time.Duration) Plan {
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	o.Behavior = ClientBehavior{ThinkTime: time.Duration(100+rng.IntN(200)) * time.Millisecond, CancelShare: 0.1 * rng.Float64(), DisconnectShare: 0.1 * rng.Float64(),
		BurstShare: 0.1 * rng.Float64(), SlowWriteShare: 0.2 * rng.Float64(), ImmediateRetryShare: rng.Float64()}
	o.Descriptors = 160 + rng.IntN(200)
	idleCrowd := rng.IntN(3) == 0
	if rng.IntN(3) == 0 {
		o.Servers, o.BaseFaults = smallFleetServers, ServerFaults{LostPages: 0.2, LateCopy: 0.2, Fail: 0.05}
	}
	return Plan{Options: o, Length: length, IdleCrowd: idleCrowd}
}

// faultRunner injects faults into a cluster. Each goroutine that injects faults draws from a random source of its own, so that its
// draws do not depend on the scheduling of the others.
type faultRunner struct {
	*Cluster
	plan       Plan
	end        time.Time // when the injection of faults ends
	injectors  sync.WaitGroup
	restartErr chan error // the first error of a restart
}

// Run runs a plan to its end, and returns its record even where the error is not nil.
func Run(ctx context.Context, plan Plan) (*Record, error) {
	c, err := NewCluster(ctx, plan.Options)
	if err != nil {
		return c.Record, errors.Join(err, c.Close())
	}
	p := &faultRunner{Cluster: c, plan: plan, end: time.Now().Add(plan.Length), restartErr: make(chan error, 1)}
	source := uint64(1)
	start := func(inject func(context.Context, *rand.Rand)) {
		rng := rand.New(rand.NewPCG(plan.Seed, source<<32))
		source++
		p.injectors.Add(1)
		go func() { defer p.injectors.Done(); inject(ctx, rng) }()
	}
	for _, d := range c.Dispatchers {
		start(func(ctx context.Context, rng *rand.Rand) { p.nameFaults(ctx, rng, d) })
		start(func(ctx context.Context, rng *rand.Rand) { p.processFaults(ctx, rng, d) })
	}
	for _, id := range c.HealthyServers() {
		start(func(ctx context.Context, rng *rand.Rand) { p.serverFaults(ctx, rng, id) })
	}
	start(p.serverChanges)
	start(p.malformedClients)
	if plan.IdleCrowd {
		start(p.idleCrowd)
	}
	p.injectors.Wait()
	p.sleep(ctx, killAfter()) // until the last requests have been answered
	err = c.Close()
	select {
	case restartErr := <-p.restartErr:
		err = errors.Join(restartErr, err)
	default:
	}
	return c.Record, err
}

// sleep waits for a duration. It returns false where ctx has ended or the injection of faults is over by then.
func (p *faultRunner) sleep(ctx context.Context, d time.Duration) bool {
	return clock.Sleep(ctx, d) && time.Now().Before(p.end)
}

// uniform draws a duration between minimum and maximum, uniformly distributed.
func uniform(rng *rand.Rand, minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(rng.Float64()*float64(maximum-minimum))
}

// nameFaults injects faults into one dispatcher's name service now and then.
func (p *faultRunner) nameFaults(ctx context.Context, rng *rand.Rand, d *Dispatcher) {
	for p.sleep(ctx, uniform(rng, 100*time.Millisecond, 2*time.Second)) {
		var f NameServiceFaults
		hold := uniform(rng, 500*time.Millisecond, 4*time.Second)
		switch rng.IntN(8) {
		case 0:
			f.Down, hold = true, uniform(rng, 200*time.Millisecond, 3500*time.Millisecond)
		case 1:
			f.Latency = uniform(rng, 50*time.Millisecond, 2*time.Second)
		case 2:
			f.Loss, f.Corrupt = 0.15*rng.Float64(), 0.3*rng.Float64()
		case 3:
			f.MuteClients = true
		case 4:
			f.UnknownZoneRow, f.Duplicate = true, rng.Float64()
		case 5:
			f.PreviousIncarnation, f.Latency = 0.1, uniform(rng, 0, 300*time.Millisecond)
		case 6:
			f.StaleRows, f.Duplicate = 0.15, 0.5
		default:
			f.Latency, f.Loss, f.Duplicate = uniform(rng, 0, 500*time.Millisecond), 0.1, 0.3
		}
		d.SetNameServiceFaults(f)
		p.sleep(ctx, hold)
		d.SetNameServiceFaults(NameServiceFaults{})
	}
}

// serverFaults injects faults into one server now and then.
func (p *faultRunner) serverFaults(ctx context.Context, rng *rand.Rand, id string) {
	s := p.Server(id)
	for p.sleep(ctx, uniform(rng, time.Second, 8*time.Second)) {
		f := p.plan.BaseFaults
		switch rng.IntN(9) {
		case 0:
			f.Hang = true
		case 1:
			f.Slowdown = 1 + 8*rng.Float64()
		case 2:
			f.Full, f.Fail = 0.3*rng.Float64(), 0.3*rng.Float64()
		case 3:
			f.LostAnswer = 0.2
		case 4:
			f.ResetDuring, f.ResetNew = 0.2*rng.Float64(), 0.5*rng.Float64()
		case 5:
			f.Malformed, f.Incomplete, f.Duplicate = 0.1, 0.1, 0.5
		case 6:
			f.LostPages, f.LateCopy, f.Fail = 0.4*rng.Float64(), 0.4*rng.Float64(), 0.2*rng.Float64()
		case 7:
			f.ReadDelay = uniform(rng, 0, time.Second)
		default:
			f.IdleTimeout = uniform(rng, 5*time.Millisecond, 300*time.Millisecond)
		}
		s.SetFaults(f)
		p.sleep(ctx, uniform(rng, 500*time.Millisecond, 5*time.Second))
		s.SetFaults(p.plan.BaseFaults)
	}
}

// processFaults kills and restarts one dispatcher, restarts it as planned, or moves its name service, now and then.
func (p *faultRunner) processFaults(ctx context.Context, rng *rand.Rand, d *Dispatcher) {
	for p.sleep(ctx, uniform(rng, 500*time.Millisecond, 9*time.Second)) {
		switch rng.IntN(4) {
		case 0:
			d.Kill()
			p.sleep(ctx, uniform(rng, 50*time.Millisecond, time.Second))
			p.restart(ctx, d)
		case 1:
			p.moveNameService(d)
			if rng.IntN(2) == 0 {
				p.sleep(ctx, uniform(rng, 0, 100*time.Millisecond))
				p.moveNameService(d)
			}
		default:
			p.plannedRestart(ctx, rng, d)
		}
	}
}

// restart starts a dispatcher's next process. The first error of a restart becomes part of the error that Run returns.
func (p *faultRunner) restart(ctx context.Context, d *Dispatcher) {
	if err := p.Restart(ctx, d); err != nil {
		select {
		case p.restartErr <- err:
		default:
		}
	}
}

// moveNameService moves a dispatcher's name service. A failure is only logged: the run goes on without this fault.
func (p *faultRunner) moveNameService(d *Dispatcher) {
	if err := d.MoveNameService(p.endpointList()); err != nil {
		d.logf("name service not moved: %v", err)
	}
}

// plannedRestart terminates and restarts a dispatcher. It may send SIGHUP before SIGTERM, and up to three more signals after it.
func (p *faultRunner) plannedRestart(ctx context.Context, rng *rand.Rand, d *Dispatcher) {
	signals := []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}
	var further []os.Signal
	for range rng.IntN(4) {
		further = append(further, signals[rng.IntN(len(signals))])
	}
	if rng.IntN(3) == 0 {
		d.Signal(syscall.SIGHUP)
	}
	d.Terminate(further, uniform(rng, 0, 600*time.Millisecond))
	p.sleep(ctx, uniform(rng, 0, 300*time.Millisecond))
	p.restart(ctx, d)
}

// minHealthyServers is how many servers the endpoint list keeps healthy at least. A plan with no more servers than that keeps all but one.
const minHealthyServers = 4

// serverChanges adds servers, drains or removes them, and crashes those some time later.
func (p *faultRunner) serverChanges(ctx context.Context, rng *rand.Rand) {
	minimum := min(minHealthyServers, p.plan.Servers-1)
	for p.sleep(ctx, uniform(rng, 200*time.Millisecond, 1500*time.Millisecond)) {
		ids := p.HealthyServers()
		if rng.IntN(3) == 0 || len(ids) <= minimum {
			_, _ = p.AddServer() // where no port is free, no server is added this time
			continue
		}
		id := ids[rng.IntN(len(ids))]
		if rng.IntN(4) == 0 { // removed without a drain
			p.RemoveServer(id)
		} else {
			p.DrainServer(id)
		}
		crash := uniform(rng, 1500*time.Millisecond, 6*time.Second)
		p.injectors.Add(1)
		go func() {
			defer p.injectors.Done()
			p.sleep(ctx, crash)
			p.RemoveServer(id)
			p.Server(id).Crash()
		}()
	}
}

// malformedClients opens sessions that send unreadable bytes, half a message, a query without a known class, or nothing, and close soon.
func (p *faultRunner) malformedClients(ctx context.Context, rng *rand.Rand) {
	payloads := [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), {0, 0, 0, 8, 4, 210, 22, 47}, {0xff, 0xff, 0xff, 0xff}, queryMessage("SELECT 1"),
		queryMessage("/* route=none,trace=1 */ SELECT 1"), {'Q', 0, 0}, {'Q', 0x7f, 0xff, 0xff, 0xff}, nil}
	for p.sleep(ctx, uniform(rng, 0, 200*time.Millisecond)) {
		d := p.Dispatchers[rng.IntN(len(p.Dispatchers))]
		if !d.connectable() {
			continue
		}
		payload := payloads[rng.IntN(len(payloads))]
		s, err := openSession(ctx, d.listen)
		if err != nil {
			continue
		}
		_, _ = s.Write(payload) // the dispatcher may close first
		time.AfterFunc(uniform(rng, 0, 500*time.Millisecond), s.drop)
	}
}

// idleCrowd tries to open as many idle connections to a dispatcher as it has descriptors, and closes them one to three seconds later.
func (p *faultRunner) idleCrowd(ctx context.Context, rng *rand.Rand) {
	for p.sleep(ctx, uniform(rng, time.Second, 3*time.Second)) {
		d := p.Dispatchers[rng.IntN(len(p.Dispatchers))]
		var idle []net.Conn
		for range p.plan.Descriptors {
			if conn, err := net.DialTimeout("tcp", d.listen, 100*time.Millisecond); err == nil {
				idle = append(idle, conn)
			}
		}
		p.sleep(ctx, uniform(rng, time.Second, 3*time.Second))
		for _, conn := range idle {
			_ = conn.Close() // nothing was sent on it
		}
	}
}
