// Package simulated has stand-ins for what a dispatcher meets: query nodes that speak Flight SQL, a node list, clients.
// They are written from the public specifications; their costs are a model, not a measurement of any engine.
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
	id       string  // of the query, for changes of priority
	work     float64 // in all
	left     float64
	threads  float64
	priority int
	granted  float64
	rate     float64
	done     chan struct{}
}

// machine shares cores between jobs, by priority 1 : 4 : 8 : 16.
type machine struct {
	model Model

	mu      sync.Mutex
	jobs    []*job
	at      time.Time
	started time.Time
	cold    bool
	slow    float64 // factor on all speeds; 1: none
	paused  bool
	timer   *time.Timer
}

func newMachine(m Model, cold bool) *machine {
	m.defaults()
	now := time.Now()
	return &machine{model: m, at: now, started: now, cold: cold, slow: 1}
}

// capacity is the number of core seconds done a second.
func (m *machine) capacity(now time.Time) float64 {
	if m.paused {
		return 0
	}
	c := float64(m.model.Cores) * m.slow
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

// advance plays the time since the last call and sets the rates anew; mu is held.
func (m *machine) advance(now time.Time) {
	span := now.Sub(m.at).Seconds()
	m.at = now
	m.jobs = slices.DeleteFunc(m.jobs, func(j *job) bool {
		if j.left -= j.rate * span; j.left > 1e-6 {
			return false
		}
		close(j.done)
		return true
	})
	m.share(now)
	next := 50 * time.Millisecond // the capacity of a cold machine grows in between
	for _, j := range m.jobs {
		if j.rate > 0 {
			next = min(next, time.Duration(j.left/j.rate*1e9)+50*time.Microsecond)
		}
	}
	if m.timer != nil {
		m.timer.Stop()
	}
	if len(m.jobs) > 0 {
		m.timer = time.AfterFunc(next, func() { m.do(nil) })
	}
}

// share gives each job its part of the cores, none more than its threads.
func (m *machine) share(now time.Time) {
	left, open := m.capacity(now), slices.Clone(m.jobs)
	for len(open) > 0 {
		weights := 0.0
		for _, j := range open {
			weights += j.threads * weightOf(j.priority)
		}
		sated := false
		for _, j := range open {
			if part := left * j.threads * weightOf(j.priority) / weights; part >= j.threads*m.slow {
				j.rate, sated = j.threads*m.slow, true
			} else {
				j.rate = part
			}
		}
		if !sated {
			return
		}
		open = slices.DeleteFunc(open, func(j *job) bool {
			full := j.rate >= j.threads*m.slow
			if full {
				left -= j.rate
			}
			return full
		})
	}
}

func weightOf(priority int) float64 { return [...]float64{1, 4, 8, 16}[min(max(priority, 0), 3)] }

// do changes the machine between two stretches of time.
func (m *machine) do(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	if change != nil {
		change()
		m.advance(m.at)
	}
}

// run adds a job; work is in core seconds. remove takes it away early.
func (m *machine) run(id string, work, threads, need, grant float64, priority int) (j *job, remove func()) {
	j = &job{id: id, left: work, threads: max(threads, 1), priority: priority, done: make(chan struct{})}
	m.do(func() {
		free := m.model.MemoryMB
		for _, o := range m.jobs {
			free -= o.granted
		}
		if grant <= 0 {
			grant = need
		}
		j.granted = max(0, min(grant, free))
		if need > j.granted {
			j.left *= 1 + m.model.Spill*(1-j.granted/need)
		}
		j.work = j.left
		m.jobs = append(m.jobs, j)
	})
	return j, func() {
		m.do(func() { m.jobs = slices.DeleteFunc(m.jobs, func(o *job) bool { return o == j }) })
	}
}

// done is the share of a job's work that is done.
func (m *machine) done(j *job) (share float64) {
	m.do(func() { share = 1 - j.left/max(j.work, 1e-9) })
	return share
}

// load is a report: busy share of the cores, jobs in hand, granted share of memory.
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
