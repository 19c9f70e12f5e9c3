package policy

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// storedSettings has a value of its own in every field, so that no two can be mistaken for each other.
func storedSettings() Settings {
	return Settings{
		Zone: 1, Me: 2, Peers: 3,
		Classes: []Class{{Name: "class", Worth: 4.5, LateWorth: 0.25, Aim: 5, AimStretch: 1.5, Deadline: 6, Threads: 7, Loads: true, Waits: true,
			Effect: Keyed, Group: GroupCell, Window: 8, InTurn: true, Zones: []int{9, 10}, Kinds: []int{0}}},
		Kinds:          []Kind{{Cores: 11, MemoryMB: 12.5}},
		Tenants:        []Tenant{{Name: "tenant", Allowance: 13.5}},
		OverShareWorth: 0.125, CountByWork: true,
		MaxAttempts: 14, MaxHeld: 15, MaxComeBack: 16, CanCancel: true, CanProbe: true, CanTell: true, SecondCopies: true,
		ReportsByAnswer: true, ReportsByProbe: true, AskForList: true,
		GrantsCount: true, PriorityCount: true, MaxGrantShare: 0.375, Shortage: ShortSwap, ProgressEvery: 17,
		ColdFrom: 0.625, ColdFor: 18, FallMultiple: 19.5, FallFor: 20, DrainGrace: 21, AnswerSlack: 22, AskWithin: 23, TurnGap: 24,
		BudgetFree: 25, BudgetShare: 0.75, BudgetSpan: 26,
	}
}

// storedLearned has a value of its own in every field.
func storedLearned() Learned {
	return Learned{
		Version: 1,
		Classes: []LearnedClass{{Name: "class", Mean: Running{1, 2}, Heft: Running{3, 4}, Asked: Running{5, 6}, Ratio: Running{7, 8},
			Memory: Running{9, 10}, Taken: 11, Stray: 12, StrayN: 13, Margin: 14, Fit: [5]float64{15, 16, 17, 18, 19},
			Price: [levels]float64{20, 21, 22, 23}, Wait: [levels]float64{24, 25, 26, 27}}},
		Fleet: LearnedFleet{Stretch: [2]float64{28, 29}, Threads: 30, Rate: 31, MeanRate: 32, MB: 33, Sent: Running{34, 35}, Took: Running{36, 37},
			Cost: Running{38, 39}, Crowd: Running{40, 41}, Room: 42, Open: 43},
		Engines: []LearnedEngine{{ID: "node", Started: 44, Slow: 45, Faults: 46}},
	}
}

// TestStoredForms holds the keys under which settings (in recordings) and what was learned (in recordings and learned files)
// are stored. The golden files were written before any field was renamed: a rename that loses its key fails here, where
// json.Unmarshal alone would pass over the key without an error.
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
		t.Errorf("%s is read as\n%+v\nwanted\n%+v", file, got, want)
	}
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, golden) {
		t.Errorf("%s: written as\n%s\nwanted\n%s", file, text, golden)
	}
	if field, zero := zeroField(reflect.ValueOf(want)); zero {
		t.Errorf("%s: field %s has no value in this test: its key is not held", file, field)
	}
}

// zeroField names the first field without a value, however deep.
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
