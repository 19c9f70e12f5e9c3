package backend

import (
	"sync"
	"time"
)

// drainDelays measures for how long after a drain notice a node was still sent new work.
type drainDelays struct {
	mu           sync.Mutex
	notifiedAt   map[string]time.Time // by node, of those that drain or were removed
	longestDelay time.Duration
}

// Bounds of the drain notices that are remembered.
const (
	drainNoticeLifetime = time.Hour
	maxDrainNotices     = 256
)

// record records that a node drains, or that it does not drain any more. A repeated notice does not restart the measurement.
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
	d.expire(now)
	if _, ok := d.notifiedAt[node]; !ok {
		d.notifiedAt[node] = now
	}
}

// expire drops notices that are too old and makes room for one more, so that memory stays bounded while node names change; d.mu is
// held.
func (d *drainDelays) expire(now time.Time) {
	oldest := ""
	for id, at := range d.notifiedAt {
		if now.Sub(at) > drainNoticeLifetime {
			delete(d.notifiedAt, id)
		} else if oldest == "" || at.Before(d.notifiedAt[oldest]) {
			oldest = id
		}
	}
	if len(d.notifiedAt) >= maxDrainNotices {
		delete(d.notifiedAt, oldest)
	}
}

// recordSend records that an attempt is sent to a node.
func (d *drainDelays) recordSend(node string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := d.notifiedAt[node]; ok {
		d.longestDelay = max(d.longestDelay, time.Since(at))
	}
}

// longest is the longest delay seen so far.
func (d *drainDelays) longest() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.longestDelay
}
