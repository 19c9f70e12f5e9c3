package scenario

import (
	"context"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"

	"embershunt/config"
	"embershunt/internal/clock"
	"embershunt/server"
)

// dispatcherProcess is one dispatcher and its clients' connections.
type dispatcherProcess struct {
	dispatcher *server.Dispatcher
	config     *config.Config
	address    string
	client     *flightsql.Client
	native     *nativePool
	pauses     [][2]float64 // of the loop at changes, of the lives that ended: upper bound in seconds and how many
	cancel     context.CancelFunc
	ended      chan error
}

// startDispatcher starts a dispatcher, at the address it had before if it had one.
func (e *environment) startDispatcher(ctx context.Context, i int) error {
	h := e.dispatchers[i]
	cfg := *h.config
	if h.address != "" {
		cfg.File.Listen.FlightSQL, cfg.File.Listen.Native = h.address, h.native.address
		h.pauses = addPauses(h.pauses, h.dispatcher)
	}
	d, err := server.New(&cfg, server.Options{Log: e.log, Seed: uint64(e.script.Seed)<<8 + uint64(i) + 1})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // it outlives the fault that starts it again
	h.dispatcher, h.cancel, h.address, h.ended = d, cancel, d.Address(), make(chan error, 1)
	if h.native == nil {
		h.native = &nativePool{address: d.NativeAddress()}
	}
	ended := h.ended
	go func() { ended <- d.Run(ctx) }()
	return nil
}

// killDispatcher ends a dispatcher without a word and starts it again.
func (e *environment) killDispatcher(ctx context.Context, f *Fault, i int) error {
	e.mu.Lock()
	h := e.dispatchers[i]
	h.dispatcher.Kill()
	from := time.Now()
	e.mu.Unlock()
	h.cancel()
	if err := <-h.ended; err != nil {
		e.log.Debug("dispatcher ended", "error", err)
	}
	clock.Sleep(ctx, f.For.D())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outages = append(e.outages, outage{i, from, time.Now()})
	return e.startDispatcher(ctx, i)
}

// addPauses adds a dispatcher's histogram of the loop's pauses at changes of the settings.
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
