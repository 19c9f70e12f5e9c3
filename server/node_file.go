package server

import (
	"bytes"
	"context"
	"os"
	"time"

	"embershunt/nodelist"
)

// nodeFilePollInterval is the time between two reads of a node list file.
const nodeFilePollInterval = 250 * time.Millisecond

// watchNodes starts to follow the node list file, if one is configured; otherwise it puts the configuration's own node list in force.
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

// watchNodeFile puts the node list of a file in force whenever its content changes, and at each fetch. If the file cannot be read or
// parsed, the last good list stays in force and the failure is reported; an error with the same text is not reported again until
// another error occurs or a list has been parsed.
func (d *Dispatcher) watchNodeFile(ctx context.Context, path string, fetch <-chan struct{}) {
	var parsed []byte // content that was parsed last; nil: the file is parsed even if it has not changed
	reported := ""    // text of the error that was reported last
	ticker := time.NewTicker(nodeFilePollInterval)
	defer ticker.Stop()
	for {
		text, err := os.ReadFile(path)
		if err == nil && (parsed == nil || !bytes.Equal(text, parsed)) {
			parsed = text
			var nodes []nodelist.Node
			if nodes, err = d.cfg.ParseNodes(path, text); err == nil {
				reported = ""
				_ = d.fleet.SetNodes(nodes) // SetNodes calls ListFailed itself for a list that cannot be used
			}
		}
		if err != nil && err.Error() != reported {
			reported = err.Error()
			d.fleet.ListFailed(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-fetch:
			parsed = nil
		}
	}
}
