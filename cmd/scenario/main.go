// Command scenario plays a scripted day on loopback and judges the seven rules from what passed the sockets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"

	"embershunt/config"
	"embershunt/internal/logs"
	"embershunt/scenario"
)

var cli struct {
	Script string          `arg:"" type:"existingfile" help:"Day script (JSON with comments)."`
	Seed   int             `help:"Seed, in place of the script's."`
	Length config.Duration `help:"Length, in place of the script's; faults past it are not played to their end."`
	Pair   bool            `help:"Play the day twice, first with its versions but the first left out, and compare the service."`
	Level  string          `default:"error" enum:"debug,info,warn,error" help:"Log level (${enum})."`
}

// Exit codes: 0 no rule broken, 1 one was, 2 wrong usage or script, 3 the day could not be played.
func main() {
	kong.Parse(&cli, kong.Name("scenario"), kong.Description("Plays a scripted day and judges the rules."))
	os.Exit(run())
}

func run() int {
	text, err := os.ReadFile(cli.Script)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := scenario.Parse(cli.Script, text)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if cli.Seed != 0 {
		s.Seed = cli.Seed
	}
	if cli.Length != 0 {
		s.Length = cli.Length
	}
	log, flush, err := logs.New(cli.Level, "console")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer flush()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var without *scenario.Report
	if cli.Pair && len(s.Versions) > 1 {
		plain := *s
		plain.Versions = s.Versions[:1]
		if without, err = scenario.Run(ctx, &plain, log); err != nil {
			fmt.Fprintln(os.Stderr, "scenario:", err)
			return 3
		}
	}
	r, err := scenario.Run(ctx, s, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "scenario:", err)
		return 3
	}
	if err := r.Print(os.Stdout); err != nil {
		return 3
	}
	if without != nil {
		if err := scenario.PrintPair(os.Stdout, without, r); err != nil {
			return 3
		}
	}
	if r.Broken() || without != nil && without.Broken() {
		return 1
	}
	return 0
}
