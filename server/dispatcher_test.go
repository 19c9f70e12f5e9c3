package server_test

import "testing"

// A query and an update each reach a node in one attempt, and the client receives their results.
func TestQueryAndUpdateRoundTrip(t *testing.T) {
	r := newRig(t, 2, "")
	rows, err := r.query(t.Context(), "SELECT * FROM policy /* rows=3000 work_ms=2 */")
	if err != nil || rows != 3000 {
		t.Fatalf("query: %d rows, %v; want 3000 rows", rows, err)
	}
	n, err := r.client.ExecuteUpdate(t.Context(), "INSERT INTO policy VALUES (1) /* rows=5 */")
	if err != nil || n != 5 {
		t.Fatalf("update: %d rows, %v; want 5 rows", n, err)
	}
	if attempts := len(r.nodes[0].Attempts()) + len(r.nodes[1].Attempts()); attempts != 2 {
		t.Fatalf("nodes received %d attempts, want 2", attempts)
	}
}
