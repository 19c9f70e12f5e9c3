package dispatch

import "fmt"

// PayloadBudget keeps account of the data that clients bring before their queries can be sent, such as the rows of an INSERT, and
// decides whose may be held: so many bytes for one query, so many in all. It is pure; its owner locks it.
type PayloadBudget struct {
	each, most int64
	bar        int64 // at this much a query that has brought nothing yet is turned away, so that those under way can end
	held       int64
	count      int // queries that hold something
	span       Micros
	turned     [2]uint64
}

// PayloadReservation is what one query holds.
type PayloadReservation struct {
	bytes int64
	since Micros
}

// newcomersShare is the part of the room that newcomers may take: the rest is for those that have begun.
const newcomersShare = 0.75

// spanPart is the weight of the newest query in the mean time that data is held.
const spanPart = 0.1

// NewPayloadBudget returns an account of nothing.
func NewPayloadBudget(each, most int64) *PayloadBudget {
	return &PayloadBudget{each: each, most: most, bar: int64(newcomersShare * float64(most))}
}

// CapacityError tells why data is not held.
type CapacityError struct {
	Large      bool   // the query alone brings too much: coming back does not help
	Held       int64  // bytes it would hold, or all do
	Allowed    int64  // bytes
	RetryAfter Micros // not Large: when room is expected
}

func (e *CapacityError) Error() string {
	if e.Large {
		return fmt.Sprintf("%d bytes of data with one query, allowed are %d", e.Held, e.Allowed)
	}
	return fmt.Sprintf("%d bytes of data are held for queries, allowed are %d", e.Held, e.Allowed)
}

// Grow lets a query hold n bytes more, or tells why not.
func (h *PayloadBudget) Grow(now Micros, q *PayloadReservation, n int64) error {
	if q.bytes+n > h.each {
		h.turned[0]++
		return &CapacityError{Large: true, Held: q.bytes + n, Allowed: h.each}
	}
	room := h.most
	if q.bytes == 0 && h.held > 0 {
		room = h.bar
	}
	if h.held+n > room {
		h.turned[1]++
		return &CapacityError{Held: h.held, Allowed: h.most, RetryAfter: h.comeBack(h.held + n - room)}
	}
	if q.bytes == 0 {
		q.since = now
		h.count++
	}
	q.bytes += n
	h.held += n
	return nil
}

// comeBack is when so many bytes will be free, if data goes on to be held for as long as it was: each holder has half of
// its time before it on average, and the bytes come free evenly.
func (h *PayloadBudget) comeBack(short int64) Micros {
	return Micros(float64(h.span) * min(float64(short)/float64(max(h.held, 1)), 1))
}

// Release gives back what a query holds.
func (h *PayloadBudget) Release(now Micros, q *PayloadReservation) {
	if q.bytes == 0 {
		return
	}
	took := now - q.since
	if h.span == 0 {
		h.span = took
	}
	h.span += Micros(spanPart * float64(took-h.span))
	h.held -= q.bytes
	h.count--
	q.bytes = 0
}

// Bytes is what is held in all.
func (h *PayloadBudget) Bytes() int64 { return h.held }

// Turned counts what was turned away: queries that alone bring too much, and those for which there was no room.
func (h *PayloadBudget) Turned() (large, full uint64) { return h.turned[0], h.turned[1] }
