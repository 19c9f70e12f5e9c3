// Command decisionreplay replays a recording of a dispatcher's decisions with this build's policy and compares the decisions.
package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"embershunt/policy"
	"embershunt/trace"
)

var cli struct {
	File string            `arg:"" type:"existingfile" help:"Recording, the file that log.decisions of a dispatcher names."`
	Set  map[string]string `help:"Settings that replace the recorded ones in the replay, as NAME=JSON, such as MaxAttempts=2."`
}

// Exit codes: 0 the same decisions; 1 different decisions; 2 the recording cannot be opened or replayed; 3 the same decisions
// in a recording that is damaged or has gaps; 80 wrong usage (by kong).
func main() {
	kong.Parse(&cli, kong.Name("decisionreplay"), kong.Description("Replays a dispatcher's decisions."))
	os.Exit(run())
}

func run() int {
	f, err := os.Open(cli.File)
	if err != nil {
		fmt.Fprintln(os.Stderr, "decisionreplay:", err)
		return 2
	}
	defer func() { _ = f.Close() }() // a read-only file: nothing is lost
	src, err := trace.NewReader(f)
	if err != nil {
		fmt.Fprintf(os.Stderr, "decisionreplay: %s: %v\n", cli.File, err)
		return 2
	}
	start := time.Now()
	rep, err := trace.Replay(src, func(seed uint64, s policy.Settings) (trace.Module, error) {
		if err := overrideSettings(&s); err != nil {
			return nil, err
		}
		return policy.New(seed, s)
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "decisionreplay:", err)
		return 2
	}
	fmt.Printf("%d steps, %d events, %d actions, %d starts, replayed in %v\n", rep.Steps, rep.Events, rep.Actions, rep.Starts,
		time.Since(start).Round(time.Millisecond))
	if rep.Dropped > 0 {
		fmt.Printf("the recording lost %d entries; %d steps after a gap were not compared\n", rep.Dropped, rep.Skipped)
	}
	if rep.Damage != nil {
		fmt.Println("the recording could not be read to its end:", rep.Damage)
	}
	if rep.First == nil {
		fmt.Println("the same decisions")
	} else {
		fmt.Printf("%d steps were decided differently, the first is step %d at %v:\n  recorded %s\n  replayed %s\n", rep.Different,
			rep.First.Step, time.Duration(rep.First.At)*time.Microsecond, rep.First.Was, rep.First.Now)
		for _, k := range slices.Sorted(maps.Keys(rep.ByKind)) {
			fmt.Printf("  %s %d\n", k, rep.ByKind[k])
		}
		return 1
	}
	if rep.Dropped > 0 || rep.Damage != nil {
		return 3
	}
	return 0
}

// overrideSettings replaces recorded settings by those of the command line.
func overrideSettings(s *policy.Settings) error {
	if len(cli.Set) == 0 {
		return nil
	}
	fields := map[string]json.RawMessage{}
	for k, v := range cli.Set {
		fields[k] = json.RawMessage(v)
	}
	b, err := json.Marshal(fields)
	if err == nil {
		err = json.Unmarshal(b, s)
	}
	if err != nil {
		return fmt.Errorf("--set: %w", err)
	}
	return nil
}
