package dispatch

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// Whatever comes, no more is held than allowed, the account is right, those that have begun can end, and all comes back.
func TestPayloadBudget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const maxQueryBytes, maxTotalBytes = 100, 400
		h := NewPayloadBudget(maxQueryBytes, maxTotalBytes)
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
				checkGrow(r, err, model[i], sum(model), n, maxQueryBytes, maxTotalBytes)
				if err == nil {
					model[i] += n
				}
			}
			if all := sum(model); h.Bytes() != all || all > maxTotalBytes {
				r.Fatalf("held %d, by the model %d, allowed %d", h.Bytes(), all, maxTotalBytes)
			}
		}
		for i := range queries {
			h.Release(now, &queries[i])
		}
		if h.Bytes() != 0 || h.reservations != 0 {
			r.Fatalf("%d bytes of %d queries are left", h.Bytes(), h.reservations)
		}
	})
}

func sum(model map[int]int64) (all int64) {
	for _, v := range model {
		all += v
	}
	return all
}

// checkGrow fails unless n more bytes for a query that holds own of all bytes are reserved, or rejected, as they must be.
func checkGrow(r *rapid.T, err error, own, all, n, maxQueryBytes, maxTotalBytes int64) {
	var capacity *CapacityError
	switch {
	case own+n > maxQueryBytes:
		if !errors.As(err, &capacity) || !capacity.QueryTooLarge {
			r.Fatalf("%d and %d more of %d: %v", own, n, maxQueryBytes, err)
		}
	case own > 0 && all+n <= maxTotalBytes, own == 0 && all+n <= maxTotalBytes*3/4:
		if err != nil {
			r.Fatalf("%d of %d held, %d more: %v", all, maxTotalBytes, n, err)
		}
	case !errors.As(err, &capacity) || capacity.QueryTooLarge || capacity.RetryAfter < 0:
		r.Fatalf("%d of %d held, %d more: %v", all, maxTotalBytes, n, err)
	}
}

// Data that is held for a second comes free evenly: a query that lacks a tenth is told to retry after a tenth of it.
func TestPayloadBudgetRetryAfter(t *testing.T) {
	h := NewPayloadBudget(1000, 1000)
	for i := range 50 {
		var q PayloadReservation
		if err := h.Grow(int64(i)*2e6, &q, 100); err != nil {
			t.Fatal(err)
		}
		h.Release(int64(i)*2e6+1e6, &q)
	}
	var held, next PayloadReservation
	if err := h.Grow(0, &held, 750); err != nil {
		t.Fatal(err)
	}
	var capacity *CapacityError
	if err := h.Grow(0, &next, 75); !errors.As(err, &capacity) || capacity.RetryAfter < 99e3 || capacity.RetryAfter > 101e3 {
		t.Errorf("%+v", capacity)
	}
}
