package backend

import "embershunt/policy"

// requestIDs remembers which requests a connection has carried. The protocol names the request in an answer, not the attempt: an answer
// that comes late would be taken for that of a further attempt on the same connection. The zero value is empty.
type requestIDs struct {
	until map[string]policy.Micros
	order []string // in the order added
}

// lateAnswerTime is how long after its request's deadline an answer may still come.
const lateAnswerTime policy.Micros = 1_000_000

// contains tells whether an id was added and is still remembered.
func (r *requestIDs) contains(id string) bool {
	_, ok := r.until[id]
	return ok
}

// add remembers an id until lateAnswerTime after its request's deadline: no attempt of the request starts from then on. Ids whose time
// is over are forgotten.
func (r *requestIDs) add(id string, now, deadline policy.Micros) {
	for len(r.order) > 0 && r.until[r.order[0]] <= now {
		delete(r.until, r.order[0])
		r.order = r.order[1:]
	}
	if r.until == nil {
		r.until = map[string]policy.Micros{}
	}
	r.until[id] = deadline + lateAnswerTime
	r.order = append(r.order, id)
}

// remove forgets an id.
func (r *requestIDs) remove(id string) { delete(r.until, id) }

// size is how many ids are remembered, or were and are not expired.
func (r *requestIDs) size() int { return len(r.order) }
