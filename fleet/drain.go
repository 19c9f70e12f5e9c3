package fleet

import (
	"sync"
	"time"
)

// drains measures how long after a drain notice a node was still sent new work.
type drains struct {
	mu    sync.Mutex
	since map[string]time.Time // when the notice came, of nodes that drain or are gone
	most  time.Duration
}

func (d *drains) notice(node string, draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !draining {
		delete(d.since, node)
		return
	}
	if d.since == nil {
		d.since = map[string]time.Time{}
	}
	if _, ok := d.since[node]; !ok {
		d.since[node] = time.Now()
	}
}

func (d *drains) sent(node string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := d.since[node]; ok {
		d.most = max(d.most, time.Since(at))
	}
}

func (d *drains) longest() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.most
}
