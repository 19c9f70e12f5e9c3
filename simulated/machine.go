package simulated

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Model is how a node's machine behaves. Zero values mean the defaults.
type Model struct {
	Cores    int           // default 8
	MemoryMB float64       // default 16384
	ColdFor  time.Duration // time to warm up; default 5 s
	ColdFrom float64       // share of capacity at the start; default 0.34
	Knee     float64       // threads a core beyond which total work falls; default 2
	Spill    float64       // work is multiplied by 1 plus this, times the share of memory that is missing; default 2
}

// defaults sets fields that are zero.
func (m *Model) defaults() {
	if m.Cores == 0 {
		m.Cores = 8
	}
	for p, v := range map[*float64]float64{&m.MemoryMB: 16384, &m.ColdFrom: 0.34, &m.Knee: 2, &m.Spill: 2} {
		if *p == 0 {
			*p = v
		}
	}
	if m.ColdFor == 0 {
		m.ColdFor = 5 * time.Second
	}
}

// job is one query on the machine.
type job struct {
	id        string  // of the query, for changes of priority
	totalWork float64 // in core seconds, in all
	remaining float64 // in core seconds
	threads   float64
	priority  int
	granted   float64       // memory in MB
	rate      float64       // core seconds a second
	done      chan struct{} // closed when all work is done
}

// machine shares cores between jobs, by priority 1 : 4 : 8 : 16.
type machine struct {
	model Model

	mu         sync.Mutex
	jobs       []*job
	advancedTo time.Time // the jobs' remaining work is that of this time
	started    time.Time
	cold       bool
	speed      float64 // factor on the speed of each core; 1: none
	paused     bool
	timer      *time.Timer
}

// newMachine returns an idle machine; a cold one warms up from now on.
func newMachine(m Model, cold bool) *machine {
	m.defaults()
	now := time.Now()
	return &machine{model: m, advancedTo: now, started: now, cold: cold, speed: 1}
}

// capacity is the number of core seconds done a second.
func (m *machine) capacity(now time.Time) float64 {
	if m.paused {
		return 0
	}
	c := float64(m.model.Cores) * m.speed
	if age := now.Sub(m.started); m.cold && age < m.model.ColdFor {
		c *= m.model.ColdFrom + (1-m.model.ColdFrom)*float64(age)/float64(m.model.ColdFor)
	}
	threads := 0.0
	for _, j := range m.jobs {
		threads += j.threads
	}
	if over := threads / float64(m.model.Cores) / m.model.Knee; over > 1 {
		c /= math.Sqrt(over)
	}
	return c
}

// advance applies the time since the last call and sets the rates anew. mu is held.
func (m *machine) advance(now time.Time) {
	span := now.Sub(m.advancedTo).Seconds()
	m.advancedTo = now
	m.jobs = slices.DeleteFunc(m.jobs, func(j *job) bool {
		if j.remaining -= j.rate * span; j.remaining > 1e-6 {
			return false
		}
		close(j.done)
		return true
	})
	m.share(now)
	next := 50 * time.Millisecond // the capacity of a cold machine grows in between
	for _, j := range m.jobs {
		if j.rate > 0 {
			next = min(next, time.Duration(j.remaining/j.rate*1e9)+50*time.Microsecond)
		}
	}
	if m.timer != nil {
		m.timer.Stop()
	}
	if len(m.jobs) > 0 {
		m.timer = time.AfterFunc(next, func() { m.update(nil) })
	}
}

// share divides the capacity by priority and threads; no job gets more than its threads can use.
func (m *machine) share(now time.Time) {
	unallocated, open := m.capacity(now), slices.Clone(m.jobs)
	for len(open) > 0 {
		weights := 0.0
		for _, j := range open {
			weights += j.threads * priorityWeight(j.priority)
		}
		saturated := false
		for _, j := range open {
			if part := unallocated * j.threads * priorityWeight(j.priority) / weights; part >= j.threads*m.speed {
				j.rate, saturated = j.threads*m.speed, true
			} else {
				j.rate = part
			}
		}
		if !saturated {
			return
		}
		open = slices.DeleteFunc(open, func(j *job) bool {
			full := j.rate >= j.threads*m.speed
			if full {
				unallocated -= j.rate
			}
			return full
		})
	}
}

// priorityWeight is a priority's weight in share.
func priorityWeight(priority int) float64 { return [...]float64{1, 4, 8, 16}[min(max(priority, 0), 3)] }

// update brings the machine up to now, and applies a change unless it is nil.
func (m *machine) update(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	if change != nil {
		change()
		m.advance(m.advancedTo)
	}
}

// run adds a job; work is in core seconds, need and grant in MB. remove removes it before its end.
func (m *machine) run(id string, work, threads, need, grant float64, priority int) (j *job, remove func()) {
	j = &job{id: id, remaining: work, threads: max(threads, 1), priority: priority, done: make(chan struct{})}
	m.update(func() {
		free := m.model.MemoryMB
		for _, o := range m.jobs {
			free -= o.granted
		}
		if grant <= 0 {
			grant = need
		}
		j.granted = max(0, min(grant, free))
		if need > j.granted {
			j.remaining *= 1 + m.model.Spill*(1-j.granted/need)
		}
		j.totalWork = j.remaining
		m.jobs = append(m.jobs, j)
	})
	return j, func() {
		m.update(func() { m.jobs = slices.DeleteFunc(m.jobs, func(o *job) bool { return o == j }) })
	}
}

// progress is the share of a job's work that is done.
func (m *machine) progress(j *job) (share float64) {
	m.update(func() { share = 1 - j.remaining/max(j.totalWork, 1e-9) })
	return share
}

// load is the busy share of the cores, the number of jobs, and the granted share of memory.
func (m *machine) load() (util, inflight, memory float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	threads, granted := 0.0, 0.0
	for _, j := range m.jobs {
		threads += j.threads
		granted += j.granted
	}
	return min(1, threads/float64(m.model.Cores)), float64(len(m.jobs)), granted / m.model.MemoryMB
}
