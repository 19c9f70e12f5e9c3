package dispatch

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// TestPayloadBudget compares random reservations with a model. The budget must never exceed its limit and must count the reserved
// bytes correctly. It must reject exactly what exceeds a limit: queries that have a reservation may use the whole budget, so that
// they can complete. It must be empty once all queries have released their bytes.
func TestPayloadBudget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const maxQueryBytes, maxTotalBytes = 100, 400
		budget := NewPayloadBudget(maxQueryBytes, maxTotalBytes)
		var now Micros
		queries := make([]PayloadReservation, 12)
		model := map[int]int64{}
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			now += int64(rapid.IntRange(0, 50).Draw(r, "time"))
			i := rapid.IntRange(0, len(queries)-1).Draw(r, "query")
			if rapid.IntRange(0, 3).Draw(r, "what") == 0 {
				budget.Release(now, &queries[i])
				delete(model, i)
			} else {
				n := int64(rapid.IntRange(1, 60).Draw(r, "bytes"))
				err := budget.Grow(now, &queries[i], n)
				checkGrow(r, err, model[i], sum(model), n, maxQueryBytes, maxTotalBytes)
				if err == nil {
					model[i] += n
				}
			}
			if all := sum(model); budget.Bytes() != all || all > maxTotalBytes {
				r.Fatalf("reserved %d, by the model %d, allowed %d", budget.Bytes(), all, maxTotalBytes)
			}
		}
		for i := range queries {
			budget.Release(now, &queries[i])
		}
		if budget.Bytes() != 0 || budget.reservations != 0 {
			r.Fatalf("%d bytes of %d queries are still reserved", budget.Bytes(), budget.reservations)
		}
	})
}

// sum returns the bytes of all queries in the model.
func sum(model map[int]int64) (all int64) {
	for _, v := range model {
		all += v
	}
	return all
}

// checkGrow checks the error of Grow for n more bytes of a query that has reserved queryBytes, of totalBytes for all queries.
func checkGrow(r *rapid.T, err error, queryBytes, totalBytes, n, maxQueryBytes, maxTotalBytes int64) {
	var capacity *CapacityError
	switch {
	case queryBytes+n > maxQueryBytes:
		if !errors.As(err, &capacity) || !capacity.QueryTooLarge {
			r.Fatalf("%d reserved by the query, %d more, allowed %d: %v", queryBytes, n, maxQueryBytes, err)
		}
	case queryBytes > 0 && totalBytes+n <= maxTotalBytes, queryBytes == 0 && totalBytes+n <= maxTotalBytes*3/4:
		if err != nil {
			r.Fatalf("%d of %d bytes reserved, %d more: %v", totalBytes, maxTotalBytes, n, err)
		}
	case !errors.As(err, &capacity) || capacity.QueryTooLarge || capacity.RetryAfter < 0:
		r.Fatalf("%d of %d bytes reserved, %d more: %v", totalBytes, maxTotalBytes, n, err)
	}
}

// TestPayloadBudgetRetryAfter checks the estimate of the time until bytes are free. With reservations held for a second on average,
// a query that lacks a tenth of the reserved bytes must be told to retry after a tenth of a second.
func TestPayloadBudgetRetryAfter(t *testing.T) {
	budget := NewPayloadBudget(1000, 1000)
	for i := range 50 {
		var q PayloadReservation
		if err := budget.Grow(int64(i)*2e6, &q, 100); err != nil {
			t.Fatal(err)
		}
		budget.Release(int64(i)*2e6+1e6, &q)
	}
	var held, next PayloadReservation
	if err := budget.Grow(0, &held, 750); err != nil {
		t.Fatal(err)
	}
	var capacity *CapacityError
	if err := budget.Grow(0, &next, 75); !errors.As(err, &capacity) || capacity.RetryAfter < 99e3 || capacity.RetryAfter > 101e3 {
		t.Errorf("%+v", capacity)
	}
}
