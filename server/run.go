package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
)

const (
	// httpHeaderTimeout limits the reading of a request's header on the metrics and admin listeners.
	httpHeaderTimeout = 5 * time.Second
	// lastAnswersTimeout limits how long the last Flight SQL answers are sent after the loop has ended. Once Run is cancelled or one of
	// its parts has failed, lastAnswersTimeoutStopped applies instead.
	lastAnswersTimeout        = 2 * time.Second
	lastAnswersTimeoutStopped = 100 * time.Millisecond
)

// Run serves until the dispatcher has drained, ctx ends or a part fails. The error is nil after a drain.
func (d *Dispatcher) Run(ctx context.Context) error {
	if d.controller == nil {
		if err := d.watchNodes(); err != nil {
			d.listeners.close()
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	loopEnded := make(chan struct{})
	loopCtx := contextUntil(ctx, group, loopEnded)
	if d.controller != nil {
		d.startController(loopCtx, group)
	}
	group.Go(func() error {
		defer close(loopEnded)
		return d.loop.Run(ctx)
	})
	if d.recording != nil {
		group.Go(func() error { return d.recording.run(loopEnded, d.log) })
	}
	group.Go(func() error { return d.sessions.Run(loopCtx) })
	if d.learnedKeeper != nil {
		group.Go(func() error { return d.learnedKeeper.run(loopCtx, d.loop) })
	}
	if d.listeners.native != nil {
		group.Go(func() error { return d.nativeFrontend.Serve(loopCtx, d.listeners.native) })
	}
	group.Go(d.serveFlight)
	group.Go(func() error {
		<-loopEnded
		d.health.Shutdown()
		d.finishAnswers(ctx)
		return d.fleet.Close()
	})
	serveHTTP(group, loopEnded, d.listeners.metrics, promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	serveHTTP(group, loopEnded, d.listeners.admin, d.AdminHandler())
	return group.Wait()
}

// contextUntil returns a context that ends when ctx ends or done is closed.
func contextUntil(ctx context.Context, group *errgroup.Group, done <-chan struct{}) context.Context {
	until, cancel := context.WithCancel(ctx)
	group.Go(func() error {
		defer cancel()
		select {
		case <-done:
		case <-ctx.Done():
		}
		return nil
	})
	return until
}

// serveFlight serves Flight SQL and health until finishAnswers or Kill stops the server.
func (d *Dispatcher) serveFlight() error {
	if err := d.grpcServer.Serve(d.listeners.flight); !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return nil
}

// serveHTTP serves a handler on l until done is closed. It does nothing where l is nil.
func serveHTTP(group *errgroup.Group, done <-chan struct{}, l net.Listener, h http.Handler) {
	if l == nil {
		return
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: httpHeaderTimeout}
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-done
		return server.Close()
	})
}

// finishAnswers stops the gRPC server when the last answers have been sent, or after a timeout. It is called after the loop has ended,
// when every query has its final answer.
func (d *Dispatcher) finishAnswers(ctx context.Context) {
	stopped := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(stopped)
		d.grpcServer.GracefulStop()
		return nil
	})
	timeout := time.NewTimer(lastAnswersTimeout)
	defer timeout.Stop()
	select {
	case <-stopped:
	case <-timeout.C:
		d.grpcServer.Stop()
	case <-ctx.Done():
		select { // queries that failed because the context ended still get their answers
		case <-stopped:
		case <-time.After(lastAnswersTimeoutStopped):
			d.grpcServer.Stop()
		}
	}
	_ = group.Wait() // its function returns nil
}
