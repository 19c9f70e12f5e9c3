// Command scenario plays a day script on loopback against simulated nodes, and checks the rules of the report against what clients
// and nodes observed: seven rules, and an eighth for days with transactions.
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
	Seed   int             `help:"Random seed; overrides the script's."`
	Length config.Duration `help:"How long clients send queries; overrides the script's. Faults are played to their end all the same."`
	Pair   bool            `help:"Play the day twice, first with only the first settings version and then with all of them, and compare the service."`
	Level  string          `default:"error" enum:"debug,info,warn,error" help:"Log level (${enum})."`
}

// Exit codes: 0 no rule violated, 1 a rule violated, 2 invalid usage or script, 3 the day could not be played or the report not written.
func main() {
	kong.Parse(&cli, kong.Name("scenario"), kong.Description("Plays a scripted day and checks the rules."))
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
	var baseline *scenario.Report // of the day with its first settings version alone
	if cli.Pair && len(s.Versions) > 1 {
		firstVersion := *s
		firstVersion.Versions = s.Versions[:1]
		if baseline, err = scenario.Run(ctx, &firstVersion, log); err != nil {
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
	if baseline != nil {
		if err := scenario.PrintPair(os.Stdout, baseline, r); err != nil {
			return 3
		}
	}
	if r.Violated() || baseline != nil && baseline.Violated() {
		return 1
	}
	return 0
}
