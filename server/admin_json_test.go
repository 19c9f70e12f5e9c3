package server

import (
	"encoding/json"
	"reflect"
	"testing"

	"embershunt/control"
)

// TestAdminJSON fixes the JSON keys of the admin socket's answers: operators' scripts and dispatcherctl of other builds read them.
func TestAdminJSON(t *testing.T) {
	state := ConfigState{Dispatcher: "dispatcher-1", History: []uint64{1, 2}, Effective: json.RawMessage(`{"name":"x"}`),
		Status: control.Status{Number: 2, Updating: 3, Phase: control.Storing, Incomplete: []string{"limits"}, Pinned: true,
			Versions: map[string]string{"nodes": "7"}, Rejected: []string{"too large"}}}
	const golden = `{"dispatcher":"dispatcher-1","status":{"Number":2,"Moving":3,"Phase":1,"Waiting":["limits"],"Pinned":true,` +
		`"Versions":{"nodes":"7"},"Refused":["too large"]},"history":[1,2],"effective":{"name":"x"}}`
	text, err := json.Marshal(state)
	if err != nil || string(text) != golden {
		t.Errorf("written as\n%s, %v\nwanted\n%s", text, err, golden)
	}
	var read ConfigState
	if err := json.Unmarshal([]byte(golden), &read); err != nil || !reflect.DeepEqual(read, state) {
		t.Errorf("read as %+v, %v", read, err)
	}
}
