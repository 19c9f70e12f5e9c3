package backend

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

// drainKept is how long a notice is remembered, drainsKept how many are.
const (
	drainKept  = time.Hour
	drainsKept = 256
)

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
	now := time.Now()
	oldest := ""
	for id, at := range d.since { // names that come and go do not pile up
		if now.Sub(at) > drainKept {
			delete(d.since, id)
		} else if oldest == "" || at.Before(d.since[oldest]) {
			oldest = id
		}
	}
	if len(d.since) >= drainsKept {
		delete(d.since, oldest)
	}
	if _, ok := d.since[node]; !ok {
		d.since[node] = now
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
