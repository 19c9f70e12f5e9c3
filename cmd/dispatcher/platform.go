package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/sync/errgroup"

	"embershunt/config"
	"embershunt/internal/logs"
	"embershunt/server"
)

// runPlatform serves the platform's protocol until the dispatcher ends, and returns the exit code. Signals that arrive during the start
// are queued until handleSignals runs.
func runPlatform() int {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	path := os.Getenv("NODE_CONFIG")
	if path == "" {
		fmt.Fprintln(os.Stderr, "dispatcher: NODE_CONFIG: found nothing; allowed: the path of the platform's file")
		return 2
	}
	cfg, err := config.LoadPlatform(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "dispatcher:", err)
		return 2
	}
	server.SetRuntimeLimits(cfg)
	log, flush, err := logs.New(cli.Log, "json")
	if err != nil {
		fmt.Fprintln(os.Stderr, "dispatcher: log:", err)
		return 1
	}
	defer flush()
	d, err := server.NewPlatform(cfg, log)
	if err != nil {
		log.Error("cannot start dispatcher", "error", err)
		return 1
	}
	log.Info("serving", "address", d.Address(), "cores", cfg.Cores, "memory_mb", cfg.MemoryMB, "sockets", cfg.Sockets)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { handleSignals(ctx, signals, d, path, log); return nil })
	err = d.Run(ctx)
	cancel()
	_ = group.Wait() // its goroutine returns no error
	return exitCode(log, err)
}

// handleSignals handles signals until ctx ends: SIGHUP reloads the configuration file, SIGTERM and SIGINT drain the dispatcher. A
// further SIGTERM or SIGINT has no effect: the drain continues.
func handleSignals(ctx context.Context, signals <-chan os.Signal, d *server.Platform, path string, log *slog.Logger) {
	draining := false
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				d.Reload(path)
			case !draining:
				draining = true
				d.Drain()
			default:
				log.Info("already stopping; signal ignored", "signal", s.String())
			}
		}
	}
}
