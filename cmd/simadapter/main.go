// Command simadapter hosts gateways of package policy on the dispatcher protocol:
// batches of events on standard input, one reply for each on standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"embershunt/internal/wire"
	"embershunt/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	gateways := map[string]*policy.Gateway{}
	for {
		b, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := answer(b, gateways, w); err != nil {
			return err
		}
		if err := w.End(); err != nil {
			return err
		}
	}
}

// answer plays one batch: a run of events for one instance is one step.
func answer(b *wire.Batch, gateways map[string]*policy.Gateway, w *wire.Writer) error {
	var order []string // instances in order of their first event since a start
	events := map[string][]policy.Event{}
	for _, item := range b.Items {
		switch {
		case item.Start != nil:
			g, err := policy.New(item.Seed, *item.Start)
			if err != nil {
				return fmt.Errorf("instance %s: %w", item.Instance, err)
			}
			gateways[item.Instance] = g
			events[item.Instance] = nil
		case item.Stop:
			delete(gateways, item.Instance)
			delete(events, item.Instance)
		case gateways[item.Instance] != nil:
			events[item.Instance] = append(events[item.Instance], item.Event)
		}
		order = append(order, item.Instance)
	}
	for _, instance := range order {
		if evs, ok := events[instance]; ok {
			delete(events, instance)
			if g := gateways[instance]; g != nil {
				step(g, b.Now, instance, evs, w)
			}
		}
	}
	return nil
}

// step runs one gateway; a panic in it becomes the fault action.
func step(g *policy.Gateway, now policy.Micros, instance string, evs []policy.Event, w *wire.Writer) {
	defer func() {
		if p := recover(); p != nil {
			w.Fault(instance, fmt.Sprint(p))
		}
	}()
	for _, a := range g.Step(now, evs) {
		w.Put(instance, a)
	}
}
