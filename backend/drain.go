package backend

import (
	"sync"
	"time"
)

// drainDelays measures how long after a drain notice a node was still sent new work.
type drainDelays struct {
	mu           sync.Mutex
	notifiedAt   map[string]time.Time // when the notice came, of nodes that drain or are gone
	longestDelay time.Duration
}

// drainNoticeLifetime is how long a notice is remembered, maxDrainNotices how many are.
const (
	drainNoticeLifetime = time.Hour
	maxDrainNotices     = 256
)

func (d *drainDelays) record(node string, draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !draining {
		delete(d.notifiedAt, node)
		return
	}
	if d.notifiedAt == nil {
		d.notifiedAt = map[string]time.Time{}
	}
	now := time.Now()
	oldest := ""
	for id, at := range d.notifiedAt { // names that come and go do not pile up
		if now.Sub(at) > drainNoticeLifetime {
			delete(d.notifiedAt, id)
		} else if oldest == "" || at.Before(d.notifiedAt[oldest]) {
			oldest = id
		}
	}
	if len(d.notifiedAt) >= maxDrainNotices {
		delete(d.notifiedAt, oldest)
	}
	if _, ok := d.notifiedAt[node]; !ok {
		d.notifiedAt[node] = now
	}
}

func (d *drainDelays) recordSend(node string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := d.notifiedAt[node]; ok {
		d.longestDelay = max(d.longestDelay, time.Since(at))
	}
}

func (d *drainDelays) longest() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.longestDelay
}
