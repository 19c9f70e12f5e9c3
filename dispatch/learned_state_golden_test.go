package dispatch

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"embershunt/policy"
)

// TestLearnedStateGolden reads a learned state that an earlier build stored after a short scripted run. It guards against renames
// in the code that change the stored format: every key must be known, and encoding the state again must yield the same bytes.
func TestLearnedStateGolden(t *testing.T) {
	text, err := os.ReadFile("testdata/learned.json")
	if err != nil {
		t.Fatal(err)
	}
	var stored LearnedState
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&stored); err != nil {
		t.Fatal(err)
	}
	if again, err := json.Marshal(stored); err != nil || !bytes.Equal(again, text) {
		t.Errorf("encoded again as\n%s, %v\nwant\n%s", again, err, text)
	}
	if stored.Format != LearnedFormat || stored.Build != "(devel)" || !stored.At.Equal(time.Unix(1796233283, 519498897)) {
		t.Errorf("format %d, build %q, at %v", stored.Format, stored.Build, stored.At)
	}
	learned := stored.Learned
	if learned.Version != policy.LearnedVersion || len(learned.Classes) != 6 || len(learned.Endpoints) != 4 {
		t.Fatalf("version %d, %d classes, %d nodes", learned.Version, len(learned.Classes), len(learned.Endpoints))
	}
	if lookup := learned.Classes[0]; lookup.Name != "lookup" ||
		lookup.UnshrunkWork != (policy.StoredEstimate{Value: 0.021161601402126105, Count: 178}) ||
		lookup.Dispersion != 0.1278793493089433 || lookup.Received != 178 || lookup.Fit[0] != 156 {
		t.Errorf("class lookup: %+v", lookup)
	}
	if learned.Fleet.Rate != 34.769253542181175 || learned.Fleet.Capacity != 1.5 || learned.Endpoints[1].Inflation != -0.41304050641078605 {
		t.Errorf("fleet %+v, second node %+v", learned.Fleet, learned.Endpoints[1])
	}
}
