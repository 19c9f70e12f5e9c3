// Command dispatcher admits the queries of its clients and routes them to query nodes. Clients use Arrow Flight SQL or the ClickHouse
// native protocol, or the platform's protocol with --platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"embershunt/config"
	"embershunt/dispatch"
	"embershunt/internal/logs"
	"embershunt/server"
)

var cli struct {
	Config   string `arg:"" optional:"" type:"existingfile" help:"Configuration file (JSON with comments)."`
	Demo     bool   `help:"Serve 127.0.0.1:32010 (Flight SQL) and :32011 (ClickHouse native) with three simulated query nodes in this process; accepts any user and password."`
	Platform bool   `help:"Serve only the platform's protocol, with the configuration file that NODE_CONFIG names."`
	Log      string `default:"info" enum:"debug,info,warn,error" help:"Log level with --platform: debug, info, warn or error."`
	Seed     uint64 `help:"Seed of the policy's random numbers; 0 draws one."`
}

// Exit codes: 0 drained, 1 failed, 2 invalid usage or configuration, 3 stopped by a second signal before the drain ended.
func main() {
	kong.Parse(&cli, kong.Name("dispatcher"), kong.Description("Admits queries and routes them to query nodes."))
	if cli.Platform && !cli.Demo && cli.Config == "" {
		os.Exit(runPlatform())
	}
	if cli.Platform || cli.Demo == (cli.Config != "") {
		fmt.Fprintln(os.Stderr, "dispatcher: give exactly one of a configuration file, --demo and --platform")
		os.Exit(2)
	}
	os.Exit(run())
}

func run() int {
	cfg, stop, err := loadConfig()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer stop()
	log, flush, err := logs.New(cfg.File.Log.Level, cfg.File.Log.Format)
	if err != nil {
		fmt.Fprintln(os.Stderr, "dispatcher: log:", err)
		return 2
	}
	defer flush()
	tracer, closeTraces, err := openTraces(cfg.File.Log.Traces)
	if err != nil {
		log.Error("cannot open trace file", "error", err)
		return 2
	}
	defer closeTraces()
	d, err := server.New(cfg, server.Options{Log: log, Seed: cli.Seed, Tracer: tracer})
	if err != nil {
		log.Error("cannot start dispatcher", "error", err)
		return 1
	}
	log.Info("serving Flight SQL", "address", d.Address())
	if cli.Demo {
		fmt.Printf("\nTry: go run ./cmd/queryclient [--native] 'SELECT * FROM policy /* work_ms=20 rows=3 */'\n\n")
	}
	var group errgroup.Group
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	forced := false
	group.Go(func() error {
		select {
		case <-signals:
			d.Drain()
		case <-ctx.Done():
			return nil
		}
		select {
		case <-signals:
			forced = true
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	err = d.Run(ctx)
	cancel()
	_ = group.Wait() // its goroutine returns no error
	if forced {
		log.Warn("stopped by a second signal; queries in flight failed")
		return 3
	}
	return exitCode(log, err)
}

// exitCode logs how a dispatcher ended, given the error of its Run, and returns the exit code of the process.
func exitCode(log *slog.Logger, err error) int {
	var panicked *dispatch.PanicError
	switch {
	case errors.As(err, &panicked):
		log.Error(err.Error(), "stack", string(panicked.Stack))
		return 1
	case err != nil:
		log.Error("dispatcher failed", "error", err)
		return 1
	}
	log.Info("drained")
	return 0
}

// openTraces opens the file that spans are appended to. It returns a nil tracer if path is empty, and a function that flushes the spans
// and closes the file.
func openTraces(path string) (trace.Tracer, func(), error) {
	if path == "" {
		return nil, func() {}, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return nil, nil, err
	}
	p := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))
	return p.Tracer("embershunt"), func() {
		if err := errors.Join(p.Shutdown(context.Background()), f.Close()); err != nil {
			fmt.Fprintln(os.Stderr, "dispatcher: traces:", err)
		}
	}, nil
}

// loadConfig loads the configuration file, or starts the demo. The function that it returns stops the demo's nodes.
func loadConfig() (*config.Config, func(), error) {
	if cli.Demo {
		return startDemo()
	}
	cfg, err := config.Load(cli.Config)
	return cfg, func() {}, err
}
