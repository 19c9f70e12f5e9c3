// Command simadapter runs gateways of package policy behind the dispatcher protocol: it reads batches of events from
// standard input and writes a reply for each to standard output.
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

// run replies to batches until the input ends.
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
		if err := processBatch(b, gateways, w); err != nil {
			return err
		}
		if err := w.End(); err != nil {
			return err
		}
	}
}

// processBatch starts and ends instances, and steps each instance once with all its events of the batch since its last
// start. Events of an instance that is not running are ignored.
func processBatch(b *wire.Batch, gateways map[string]*policy.Gateway, w *wire.Writer) error {
	var order []string // instances in the order of their events in the batch
	events := map[string][]policy.Event{}
	for _, event := range b.Events {
		switch {
		case event.Start != nil:
			g, err := policy.New(event.Seed, *event.Start)
			if err != nil {
				return fmt.Errorf("instance %s: %w", event.Instance, err)
			}
			gateways[event.Instance] = g
			events[event.Instance] = nil
		case event.Stop:
			delete(gateways, event.Instance)
			delete(events, event.Instance)
		case gateways[event.Instance] != nil:
			events[event.Instance] = append(events[event.Instance], event.Event)
		}
		order = append(order, event.Instance)
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

// step steps a gateway and writes its actions. A panic is written as a fault of the instance.
func step(g *policy.Gateway, now policy.Micros, instance string, evs []policy.Event, w *wire.Writer) {
	defer func() {
		if p := recover(); p != nil {
			w.Fault(instance, fmt.Sprint(p))
		}
	}()
	for _, a := range g.Step(now, evs) {
		w.WriteAction(instance, a)
	}
}
