package server_test

import "testing"

func TestSelectGoesThroughToANodeAndBack(t *testing.T) {
	r := newRig(t, 2, "")
	rows, err := r.query(t.Context(), "SELECT * FROM policy /* rows=3000 work_ms=2 */")
	if err != nil || rows != 3000 {
		t.Fatalf("%d rows, %v", rows, err)
	}
	n, err := r.client.ExecuteUpdate(t.Context(), "INSERT INTO policy VALUES (1) /* rows=5 */")
	if err != nil || n != 5 {
		t.Fatalf("update: %d, %v", n, err)
	}
	if seen := len(r.nodes[0].Attempts()) + len(r.nodes[1].Attempts()); seen != 2 {
		t.Fatalf("nodes saw %d attempts, want 2", seen)
	}
}
