package simulated

import (
	"math"
	"slices"
	"sync"
	"time"
)

// MachineModel holds the parameters of the cost model of a node's machine. A field that is zero has its default.
type MachineModel struct {
	Cores                  int           // default 8
	MemoryMB               float64       // default 16384
	WarmUpTime             time.Duration // how long a cold machine takes to warm up; default 5 s
	ColdCapacity           float64       // share of its capacity that a cold machine starts with; default 0.34
	OverloadThreadsPerCore float64       // threads per core above which the total throughput falls; default 2
	// SpillFactor makes queries slower that need more memory than they are granted: their work is multiplied by 1 + SpillFactor ×
	// the share of the needed memory that is not granted; default 2.
	SpillFactor float64
}

// defaults sets each field that is zero to its default.
func (m *MachineModel) defaults() {
	if m.Cores == 0 {
		m.Cores = 8
	}
	for p, v := range map[*float64]float64{&m.MemoryMB: 16384, &m.ColdCapacity: 0.34, &m.OverloadThreadsPerCore: 2, &m.SpillFactor: 2} {
		if *p == 0 {
			*p = v
		}
	}
	if m.WarmUpTime == 0 {
		m.WarmUpTime = 5 * time.Second
	}
}

// job is a query that runs on the machine.
type job struct {
	id        string  // query ID, to find the job for a change of its priority
	totalWork float64 // in core seconds, of the whole job
	remaining float64 // in core seconds, as of machine.advancedTo
	threads   float64
	priority  int
	granted   float64       // memory in MB
	rate      float64       // core seconds done per second
	done      chan struct{} // closed when all work is done
}

// machine models a machine that shares its cores between jobs. Per thread, the priorities 0 to 3 have the weights 1 : 4 : 8 : 16.
type machine struct {
	model MachineModel

	mu         sync.Mutex
	jobs       []*job
	advancedTo time.Time // the time that the jobs' remaining work was computed for
	started    time.Time
	cold       bool
	speed      float64 // factor on the speed of each core; 1: full speed
	paused     bool
	timer      *time.Timer
}

// newMachine returns an idle machine. A cold machine warms up from now on.
func newMachine(m MachineModel, cold bool) *machine {
	m.defaults()
	now := time.Now()
	return &machine{model: m, advancedTo: now, started: now, cold: cold, speed: 1}
}

// capacity returns how many core seconds the machine can do per second. The caller holds mu.
func (m *machine) capacity(now time.Time) float64 {
	if m.paused {
		return 0
	}
	c := float64(m.model.Cores) * m.speed
	if age := now.Sub(m.started); m.cold && age < m.model.WarmUpTime {
		c *= m.model.ColdCapacity + (1-m.model.ColdCapacity)*float64(age)/float64(m.model.WarmUpTime)
	}
	threads := 0.0
	for _, j := range m.jobs {
		threads += j.threads
	}
	if overload := threads / float64(m.model.Cores) / m.model.OverloadThreadsPerCore; overload > 1 {
		c /= math.Sqrt(overload)
	}
	return c
}

// advance subtracts the work done since the last call, ends the jobs that are done, recomputes the rates and sets the timer for the
// next call. The caller holds mu.
func (m *machine) advance(now time.Time) {
	elapsed := now.Sub(m.advancedTo).Seconds()
	m.advancedTo = now
	m.jobs = slices.DeleteFunc(m.jobs, func(j *job) bool {
		if j.remaining -= j.rate * elapsed; j.remaining > 1e-6 {
			return false
		}
		close(j.done)
		return true
	})
	m.share(now)
	next := 50 * time.Millisecond // at the latest, as the capacity of a cold machine grows
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

// share sets the jobs' rates: it divides the capacity in proportion to threads times priority weight. No job gets more than its threads
// can use; the rest goes to the other jobs. The caller holds mu.
func (m *machine) share(now time.Time) {
	unallocated, unsaturated := m.capacity(now), slices.Clone(m.jobs)
	for len(unsaturated) > 0 {
		weights := 0.0
		for _, j := range unsaturated {
			weights += j.threads * priorityWeight(j.priority)
		}
		anySaturated := false
		for _, j := range unsaturated {
			if part := unallocated * j.threads * priorityWeight(j.priority) / weights; part >= j.threads*m.speed {
				j.rate, anySaturated = j.threads*m.speed, true
			} else {
				j.rate = part
			}
		}
		if !anySaturated {
			return
		}
		unsaturated = slices.DeleteFunc(unsaturated, func(j *job) bool {
			full := j.rate >= j.threads*m.speed
			if full {
				unallocated -= j.rate
			}
			return full
		})
	}
}

// priorityWeight returns the weight of a priority in share. Priorities outside 0 to 3 count as the nearest of them.
func priorityWeight(priority int) float64 { return [...]float64{1, 4, 8, 16}[min(max(priority, 0), 3)] }

// update advances the machine to now, and applies change unless it is nil.
func (m *machine) update(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	if change != nil {
		change()
		m.advance(m.advancedTo)
	}
}

// addJob adds a job and returns it with a function that removes it before its end. work is in core seconds, need and grant are in MB. A
// grant of 0 means need. The job is granted no more memory than is free.
func (m *machine) addJob(id string, work, threads, need, grant float64, priority int) (j *job, remove func()) {
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
			j.remaining *= 1 + m.model.SpillFactor*(1-j.granted/need)
		}
		j.totalWork = j.remaining
		m.jobs = append(m.jobs, j)
	})
	return j, func() {
		m.update(func() { m.jobs = slices.DeleteFunc(m.jobs, func(o *job) bool { return o == j }) })
	}
}

// progress returns the share of a job's work that is done, from 0 to 1.
func (m *machine) progress(j *job) (share float64) {
	m.update(func() { share = 1 - j.remaining/max(j.totalWork, 1e-9) })
	return share
}

// load returns the busy share of the cores (jobs' threads per core, at most 1), the number of jobs, and the granted share of memory.
func (m *machine) load() (utilization, inFlight, memory float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	threads, granted := 0.0, 0.0
	for _, j := range m.jobs {
		threads += j.threads
		granted += j.granted
	}
	return min(1, threads/float64(m.model.Cores)), float64(len(m.jobs)), granted / m.model.MemoryMB
}
