package dispatch

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// Whatever comes, no more is held than allowed, the account is right, those that have begun can end, and all comes back.
func TestHolding(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const each, most = 100, 400
		h := NewPayloadBudget(each, most)
		var now Micros
		queries := make([]PayloadReservation, 12)
		model := map[int]int64{}
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			now += int64(rapid.IntRange(0, 50).Draw(r, "time"))
			i := rapid.IntRange(0, len(queries)-1).Draw(r, "query")
			if rapid.IntRange(0, 3).Draw(r, "what") == 0 {
				h.Release(now, &queries[i])
				delete(model, i)
			} else {
				n := int64(rapid.IntRange(1, 60).Draw(r, "bytes"))
				err := h.Grow(now, &queries[i], n)
				var room *CapacityError
				all := int64(0)
				for _, v := range model {
					all += v
				}
				switch {
				case model[i]+n > each:
					if !errors.As(err, &room) || !room.Large {
						r.Fatalf("%d and %d more of %d: %v", model[i], n, each, err)
					}
				case model[i] > 0 && all+n <= most, model[i] == 0 && all+n <= most*3/4:
					if err != nil {
						r.Fatalf("%d of %d held, %d more: %v", all, most, n, err)
					}
				case !errors.As(err, &room) || room.Large || room.RetryAfter < 0:
					r.Fatalf("%d of %d held, %d more: %v", all, most, n, err)
				}
				if err == nil {
					model[i] += n
				}
			}
			all := int64(0)
			for _, v := range model {
				all += v
			}
			if h.Bytes() != all || all > most {
				r.Fatalf("held %d, by the model %d, allowed %d", h.Bytes(), all, most)
			}
		}
		for i := range queries {
			h.Release(now, &queries[i])
		}
		if h.Bytes() != 0 || h.count != 0 {
			r.Fatalf("%d bytes of %d queries are left", h.Bytes(), h.count)
		}
	})
}

// Data that is held for a second comes free evenly: who finds a tenth too little room comes back after a tenth of it.
func TestHoldingTellsWhenRoomIsExpected(t *testing.T) {
	h := NewPayloadBudget(1000, 1000)
	for i := range 50 {
		var q PayloadReservation
		h.Grow(int64(i)*2e6, &q, 100)
		h.Release(int64(i)*2e6+1e6, &q)
	}
	var held, next PayloadReservation
	if err := h.Grow(0, &held, 750); err != nil {
		t.Fatal(err)
	}
	var room *CapacityError
	if err := h.Grow(0, &next, 75); !errors.As(err, &room) || room.RetryAfter < 99e3 || room.RetryAfter > 101e3 {
		t.Errorf("%+v", room)
	}
}
