package flightsql

import "sync"

// runningQueries holds the ids of the queries that run at this dispatcher, by the serial number of their ticket, so that
// they can be cancelled. Queries without a ticket have the serial "" and are not held. It is safe for concurrent use.
type runningQueries struct {
	mu  sync.Mutex
	ids map[string]map[string]bool // set of query ids by serial
}

func newRunningQueries() runningQueries { return runningQueries{ids: map[string]map[string]bool{}} }

func (r *runningQueries) add(serial, id string) {
	if serial == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ids[serial] == nil {
		r.ids[serial] = map[string]bool{}
	}
	r.ids[serial][id] = true
}

func (r *runningQueries) remove(serial, id string) {
	if serial == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if delete(r.ids[serial], id); len(r.ids[serial]) == 0 {
		delete(r.ids, serial)
	}
}

// idsOf returns the ids of the queries that run for a ticket.
func (r *runningQueries) idsOf(serial string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id := range r.ids[serial] {
		ids = append(ids, id)
	}
	return ids
}
