package trace

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"testing"

	"embershunt/policy"
	"embershunt/trace/tracev1"
)

// TestReplayOfOlderRecordings guards against a rename that changes the stored format or a decision. It replays recordings of a
// demonstration and of a short scripted scenario with failing, crashing, hanging and draining nodes, both written by a build
// from before any rename: this build must read every key of their settings and decide the same.
func TestReplayOfOlderRecordings(t *testing.T) {
	for file, want := range map[string]Report{
		"testdata/demo.decisions":  {Starts: 1, Steps: 96, Events: 89, Actions: 79},
		"testdata/small.decisions": {Starts: 1, Steps: 847, Events: 845, Actions: 667},
	} {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		source, err := NewReader(bytes.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		report, err := Replay(source, func(seed uint64, s policy.Settings) (Module, error) { return policy.New(seed, s) })
		if err != nil {
			t.Fatal(err)
		}
		if report.First != nil || report.Damage != nil || report.Dropped > 0 {
			t.Errorf("%s: %d steps differ, first %+v, damage %v, dropped %d", file, report.Different, report.First, report.Damage,
				report.Dropped)
		}
		if report.Starts != want.Starts || report.Steps != want.Steps || report.Events != want.Events || report.Actions != want.Actions {
			t.Errorf("%s: %+v, wanted %+v", file, report, want)
		}
		checkStoredSettings(t, file, text)
	}
}

// checkStoredSettings decodes the settings of a recording and encodes them again: no key may be unknown, and the bytes must
// be the same.
func checkStoredSettings(t *testing.T, file string, text []byte) {
	source, err := NewReader(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	for {
		record, err := source.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		begin, ok := record.GetWhat().(*tracev1.Record_Begin)
		if !ok {
			continue
		}
		stored := begin.Begin.GetSettings()
		var settings policy.Settings
		decoder := json.NewDecoder(bytes.NewReader(stored))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&settings); err != nil {
			t.Errorf("%s: settings: %v", file, err)
		}
		if again, err := json.Marshal(settings); err != nil || !bytes.Equal(again, stored) {
			t.Errorf("%s: settings are encoded as\n%s, %v\nin the recording they are\n%s", file, again, err, stored)
		}
	}
}
