package backend

import (
	"sync"
	"time"
)

// drainDelays measures how long after a drain notice attempts were still sent to the node.
type drainDelays struct {
	mu           sync.Mutex
	notifiedAt   map[string]time.Time // time of the drain notice, by id of a node that drains or was removed
	longestDelay time.Duration
}

// Bounds of the drain notices that are kept.
const (
	drainNoticeLifetime = time.Hour
	maxDrainNotices     = 256
)

// recordNotice records that a node drains or was removed, or with draining false that it is healthy. A repeated notice does not
// restart the measurement.
func (d *drainDelays) recordNotice(node string, draining bool) {
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

// expire removes notices older than drainNoticeLifetime, and the oldest one if there would be more than maxDrainNotices: names of
// nodes change, and without these limits the map would grow forever. d.mu is held.
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

// recordSend measures the delay of an attempt that is sent to a node after the node's drain notice.
func (d *drainDelays) recordSend(node string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := d.notifiedAt[node]; ok {
		d.longestDelay = max(d.longestDelay, time.Since(at))
	}
}

// longest returns the longest delay measured so far.
func (d *drainDelays) longest() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.longestDelay
}
