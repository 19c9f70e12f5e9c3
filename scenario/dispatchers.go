package scenario

import (
	"context"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"

	"embershunt/config"
	"embershunt/internal/clock"
	"embershunt/server"
)

// dispatcherProcess is one dispatcher, over all its restarts, and the connections of its clients.
type dispatcherProcess struct {
	dispatcher *server.Dispatcher
	config     *config.Config
	address    string
	client     *flightsql.Client
	native     *nativePool
	pauses     [][2]float64 // event loop pauses at settings changes before the last restart: upper bound in seconds, count up to it
	cancel     context.CancelFunc
	ended      chan error // receives the error of Run
}

// startDispatcher starts dispatcher i; a restart uses the same addresses as before.
func (e *environment) startDispatcher(ctx context.Context, i int) error {
	p := e.dispatchers[i]
	cfg := *p.config
	if p.address != "" {
		cfg.File.Listen.FlightSQL, cfg.File.Listen.Native = p.address, p.native.address
		p.pauses = addPauses(p.pauses, p.dispatcher)
	}
	d, err := server.New(&cfg, server.Options{Log: e.log, Seed: uint64(e.script.Seed)<<8 + uint64(i) + 1})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // the dispatcher outlives the fault that restarts it
	p.dispatcher, p.cancel, p.address, p.ended = d, cancel, d.Address(), make(chan error, 1)
	if p.native == nil {
		p.native = &nativePool{address: d.NativeAddress()}
	}
	ended := p.ended
	go func() { ended <- d.Run(ctx) }()
	return nil
}

// killDispatcher breaks the connections of dispatcher i as a crash does, and restarts it when the fault ends.
func (e *environment) killDispatcher(ctx context.Context, f *Fault, i int) error {
	e.mu.Lock()
	p := e.dispatchers[i]
	p.dispatcher.Kill()
	from := time.Now()
	e.mu.Unlock()
	p.cancel()
	if err := <-p.ended; err != nil {
		e.log.Debug("dispatcher ended", "error", err)
	}
	clock.Sleep(ctx, f.For.D())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outages = append(e.outages, outage{i, from, time.Now()})
	return e.startDispatcher(ctx, i)
}

// addPauses adds a dispatcher's histogram of event loop pauses at settings changes to sum. Counts are cumulative by bucket.
func addPauses(sum [][2]float64, d *server.Dispatcher) [][2]float64 {
	families, err := d.Registry().Gather()
	if err != nil {
		return sum
	}
	for _, f := range families {
		if f.GetName() != "embershunt_change_pause_seconds" {
			continue
		}
		for i, b := range f.GetMetric()[0].GetHistogram().GetBucket() {
			if i >= len(sum) {
				sum = append(sum, [2]float64{b.GetUpperBound()})
			}
			sum[i][1] += float64(b.GetCumulativeCount())
		}
	}
	return sum
}
