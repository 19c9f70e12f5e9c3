package scenario

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"embershunt/simulated"
)

// Run plays a script until the clients have all answers and all faults have ended, and then checks the rules.
func Run(ctx context.Context, s *Script, log *slog.Logger) (*Report, error) {
	e := &environment{script: s, log: log, rng: rand.New(rand.NewPCG(uint64(s.Seed), 77)),
		control: simulated.NewControl(cluster)}
	defer e.stop()
	if err := e.start(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	runCtx := ctx
	group, ctx := errgroup.WithContext(ctx)
	e.begin = time.Now()
	for i := range s.Faults {
		group.Go(func() error { return e.injectFault(ctx, &s.Faults[i]) })
	}
	group.Go(func() error { return e.streamVersions(ctx) })
	for i := range s.Clients {
		seed := e.rng.Uint64()
		group.Go(func() error { return e.runClients(ctx, i, rand.New(rand.NewPCG(seed, 5))) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	e.awaitSessionsEnd(runCtx)
	r := e.check()
	e.stop()
	return r, nil
}
