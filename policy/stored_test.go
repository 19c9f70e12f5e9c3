package policy

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// storedSettings returns settings with a value of its own in every field that is neither a bool nor an enum,
// so that no two fields can be mistaken for each other.
func storedSettings() Settings {
	return Settings{
		Zone: 1, PeerIndex: 2, Peers: 3,
		Classes: []Class{{Name: "class", PriorityWeight: 4.5, LateWeight: 0.25, LatencyObjective: 5, ObjectiveStretch: 1.5, Deadline: 6, Threads: 7, LocksTables: true, WaitsForTables: true,
			Effect: IdempotentByKey, DedupScope: DedupPlacementGroup, DedupWindow: 8, Ordered: true, Zones: []int{9, 10}, Kinds: []int{0}}},
		Kinds:           []Kind{{Cores: 11, MemoryMB: 12.5}},
		Tenants:         []Tenant{{Name: "tenant", Quota: 13.5}},
		OverQuotaWeight: 0.125, WeightByWork: true,
		MaxAttempts: 14, MaxInFlight: 15, MaxRetryAfter: 16, CanCancel: true, CanHealthCheck: true, CanGossip: true, AllowHedging: true,
		ReportsByAnswer: true, ReportsByHealthCheck: true, PollEndpoints: true,
		HonorsGrants: true, HonorsPriority: true, MaxGrantShare: 0.375, Shortage: ShortageSwaps, ProgressInterval: 17,
		SlowStartFloor: 0.625, SlowStartDuration: 18, OverloadMultiple: 19.5, OverloadDuration: 20, DrainGrace: 21, AnswerSlack: 22, MaxPollInterval: 23, OrderingGap: 24,
		RetryBudgetFloor: 25, RetryBudgetRatio: 0.75, RetryBudgetWindow: 26,
	}
}

// storedLearned returns a learned state with a value of its own in every field.
func storedLearned() Learned {
	return Learned{
		Version: 1,
		Classes: []LearnedClass{{Name: "class", MeanWork: StoredEstimate{1, 2},
			UnshrunkWork: StoredEstimate{3, 4}, EstimateMedian: StoredEstimate{5, 6},
			LatencyRatio: StoredEstimate{7, 8}, MemoryMedian: StoredEstimate{9, 10},
			Received: 11, Dispersion: 12, DispersionCount: 13, GrantMargin: 14,
			Fit:   [5]float64{15, 16, 17, 18, 19},
			Price: [priorityLevels]float64{20, 21, 22, 23}, QueueWait: [priorityLevels]float64{24, 25, 26, 27}}},
		Fleet: LearnedFleet{CacheInflation: [2]float64{28, 29}, QueryThreads: 30, Rate: 31,
			MeanRate: 32, GrantMB: 33,
			SentThreads: StoredEstimate{34, 35}, Latency: StoredEstimate{36, 37},
			Work: StoredEstimate{38, 39}, Inflation: StoredEstimate{40, 41}, Capacity: 42, InFlight: 43},
		Endpoints: []LearnedEndpoint{{ID: "node", Started: 44, Inflation: 45, FaultShare: 46}},
	}
}

// TestStoredForms checks the keys under which settings (in recordings) and learned state (in recordings and
// files) are stored. The golden files were written before any field was renamed: a rename that loses its key
// fails here, while json.Unmarshal alone ignores an unknown key without an error.
func TestStoredForms(t *testing.T) {
	t.Run("settings", func(t *testing.T) { checkStored(t, "testdata/settings.json", storedSettings()) })
	t.Run("learned", func(t *testing.T) { checkStored(t, "testdata/learned.json", storedLearned()) })
}

func checkStored[T any](t *testing.T, file string, want T) {
	golden, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	golden = bytes.TrimSpace(golden)
	var got T
	decoder := json.NewDecoder(bytes.NewReader(golden))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&got); err != nil {
		t.Errorf("%s: %v", file, err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: read as\n%+v\nwant\n%+v", file, got, want)
	}
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, golden) {
		t.Errorf("%s: written as\n%s\nwant\n%s", file, text, golden)
	}
	if field, zero := zeroField(reflect.ValueOf(want)); zero {
		t.Errorf("%s: field %s has no value in this test, so its key is not checked", file, field)
	}
}

// zeroField returns the path of the first field without a value, at any depth, and whether there is one.
func zeroField(v reflect.Value) (string, bool) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if name, zero := zeroField(v.Field(i)); zero {
				return v.Type().Name() + "." + v.Type().Field(i).Name + name, true
			}
		}
		return "", false
	case reflect.Slice:
		if v.Len() > 0 && v.Index(0).Kind() == reflect.Struct {
			return zeroField(v.Index(0))
		}
		return "", v.Len() == 0
	}
	return "", v.IsZero()
}
