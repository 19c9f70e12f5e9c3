package backend

import "embershunt/policy"

// requestIDs is a set of request ids that expire. A connection remembers which requests it has carried, because an answer names the
// request and not the attempt: a late answer would be taken for the answer to a later attempt on the same connection. The zero value
// is empty.
type requestIDs struct {
	expiresAt map[string]policy.Micros
	order     []string // in the order in which they were added
}

// lateAnswerTime is how long after its request's deadline an answer may still arrive.
const lateAnswerTime policy.Micros = 1_000_000 // 1 s

// contains reports whether an id was added and is still remembered.
func (r *requestIDs) contains(id string) bool {
	_, ok := r.expiresAt[id]
	return ok
}

// add remembers an id until lateAnswerTime after its request's deadline; no attempt of the request starts after that. It first drops
// ids that have expired, in the order in which they were added, up to the first that has not.
func (r *requestIDs) add(id string, now, deadline policy.Micros) {
	for len(r.order) > 0 && r.expiresAt[r.order[0]] <= now {
		delete(r.expiresAt, r.order[0])
		r.order = r.order[1:]
	}
	if r.expiresAt == nil {
		r.expiresAt = map[string]policy.Micros{}
	}
	r.expiresAt[id] = deadline + lateAnswerTime
	r.order = append(r.order, id)
}

// remove forgets an id.
func (r *requestIDs) remove(id string) { delete(r.expiresAt, id) }

// size returns the number of ids that were added and not dropped by add; ids that were removed may still count.
func (r *requestIDs) size() int { return len(r.order) }
