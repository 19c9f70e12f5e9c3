// Command decisionreplay feeds a recording of a dispatcher's decisions to this build's module and compares what it decides.
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
	File string            `arg:"" type:"existingfile" help:"Recording (log.decisions of a dispatcher)."`
	Set  map[string]string `help:"Settings of the module to replay with in place of those recorded, such as MaxAttempts=2 (JSON values)."`
}

// Exit codes: 0 the same decisions, 1 others, 2 wrong usage or no recording, 3 read only in part or with gaps.
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
	defer func() { _ = f.Close() }() // it is only read
	src, err := trace.NewReader(f)
	if err != nil {
		fmt.Fprintf(os.Stderr, "decisionreplay: %s: %v\n", cli.File, err)
		return 2
	}
	begin := time.Now()
	rep, err := trace.Replay(src, func(seed uint64, s policy.Settings) (trace.Module, error) {
		if err := change(&s); err != nil {
			return nil, err
		}
		return policy.New(seed, s)
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "decisionreplay:", err)
		return 2
	}
	fmt.Printf("%d steps, %d events, %d actions, %d starts, replayed in %v\n", rep.Steps, rep.Events, rep.Actions, rep.Starts,
		time.Since(begin).Round(time.Millisecond))
	if rep.Dropped > 0 {
		fmt.Printf("the recording lost %d steps; nothing can be said of %d that follow a gap\n", rep.Dropped, rep.Skipped)
	}
	if rep.Damage != nil {
		fmt.Println("not read to its end:", rep.Damage)
	}
	if rep.First == nil {
		fmt.Println("the same decisions")
	} else {
		fmt.Printf("%d steps were decided differently, the first is step %d at %v:\n  was %s\n  now %s\n", rep.Different, rep.First.Step,
			time.Duration(rep.First.At)*time.Microsecond, rep.First.Was, rep.First.Now)
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

// change lays the command line's settings over those recorded.
func change(s *policy.Settings) error {
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
