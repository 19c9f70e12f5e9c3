package server

import (
	"bytes"
	"context"
	"os"
	"time"

	"embershunt/nodelist"
)

// fileEvery is how often a node list file is looked at.
const fileEvery = 250 * time.Millisecond

// watchNodes starts whatever keeps the node list.
func (d *Dispatcher) watchNodes() error {
	n := &d.cfg.File.Nodes
	switch {
	case n.File != "":
		again := make(chan struct{}, 1)
		d.fleet.OnFetch(func() {
			select {
			case again <- struct{}{}:
			default:
			}
		})
		d.fleet.Go(func(ctx context.Context) { d.watchFile(ctx, n.File, again) })
	default:
		return d.fleet.SetNodes(d.cfg.Nodes())
	}
	return nil
}

// watchFile reads a node list file again whenever its content changes. A file that cannot be read or used is told
// once; the last good list holds.
func (d *Dispatcher) watchFile(ctx context.Context, path string, again <-chan struct{}) {
	var last []byte
	failed := ""
	tick := time.NewTicker(fileEvery)
	defer tick.Stop()
	for {
		text, err := os.ReadFile(path)
		if err == nil && (last == nil || !bytes.Equal(text, last)) {
			last = text
			var nodes []nodelist.Node
			if nodes, err = d.cfg.ParseNodes(path, text); err == nil {
				failed = ""
				d.fleet.SetNodes(nodes)
			}
		}
		if err != nil && err.Error() != failed {
			failed = err.Error()
			d.fleet.ListFailed(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-again:
			last = nil
		}
	}
}
