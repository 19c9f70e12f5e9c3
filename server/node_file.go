package server

import (
	"bytes"
	"context"
	"os"
	"time"

	"embershunt/nodelist"
)

// nodeFilePollInterval is how often a node list file is read.
const nodeFilePollInterval = 250 * time.Millisecond

// watchNodes puts the node list of the file in force, and starts to follow a node list file where there is one.
func (d *Dispatcher) watchNodes() error {
	file := d.cfg.File.Nodes.File
	if file == "" {
		return d.fleet.SetNodes(d.cfg.Nodes())
	}
	fetch := make(chan struct{}, 1)
	d.fleet.OnFetch(func() {
		select {
		case fetch <- struct{}{}:
		default:
		}
	})
	d.fleet.Go(func(ctx context.Context) { d.watchNodeFile(ctx, file, fetch) })
	return nil
}

// watchNodeFile puts the list of a file in force whenever its content changes, or at each fetch. A file that cannot be read or used
// is reported once for each error; the last good list stays in force.
func (d *Dispatcher) watchNodeFile(ctx context.Context, path string, fetch <-chan struct{}) {
	var last []byte // content that was parsed last; nil: to be parsed in any case
	reported := ""  // error that was reported last
	tick := time.NewTicker(nodeFilePollInterval)
	defer tick.Stop()
	for {
		text, err := os.ReadFile(path)
		if err == nil && (last == nil || !bytes.Equal(text, last)) {
			last = text
			var nodes []nodelist.Node
			if nodes, err = d.cfg.ParseNodes(path, text); err == nil {
				reported = ""
				_ = d.fleet.SetNodes(nodes) // it reports its error itself, as a failed list
			}
		}
		if err != nil && err.Error() != reported {
			reported = err.Error()
			d.fleet.ListFailed(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-fetch:
			last = nil
		}
	}
}
