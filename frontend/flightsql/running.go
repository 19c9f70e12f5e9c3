package flightsql

import "sync"

// runningQueries are the ids of the queries that run here, by the serial number of their ticket, for cancels. Queries
// without a ticket have the serial "" and are not listed.
type runningQueries struct {
	mu  sync.Mutex
	ids map[string]map[string]bool
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

// of returns the ids of what runs for a ticket.
func (r *runningQueries) of(serial string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id := range r.ids[serial] {
		ids = append(ids, id)
	}
	return ids
}
