package policy

import "testing"

func TestGossipCodec(t *testing.T) {
	rows := []gossipRow{{wireID: 7, age: sec / 4, utilization: 0.5, inFlight: 12, memory: -1, inflation: 0.5, threads: 3, grantedShare: 0.2, lockedGroup: 9},
		{wireID: 9, age: 0, utilization: -1, inFlight: -1, memory: -1, fault: true}}
	data := encodeGossip([]float64{1.5, 2}, rows)
	rates, got, ok := decodeGossip(data, 2)
	if !ok || len(got) != 2 || rates[0] != 1.5 || got[0].inFlight != 12 || got[0].lockedGroup != 9 || !got[1].fault ||
		got[1].utilization >= 0 || got[0].age != sec/4 {
		t.Fatalf("decoded rates %v, rows %v, ok %v", rates, got, ok)
	}
	for n := range len(data) { // a truncated message does not parse, or yields whole rows
		if _, rows, ok := decodeGossip(data[:n], 2); ok && len(rows) > 1 {
			t.Fatalf("the first %d of %d bytes were parsed as rows %v", n, len(data), rows)
		}
	}
	if _, _, ok := decodeGossip(data, 3); ok {
		t.Fatal("a message with another number of rates was parsed")
	}
}
