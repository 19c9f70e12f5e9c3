package wire

import (
	"encoding/json"
	"fmt"

	"embershunt/policy"
)

// states are the protocol's words for the state of a node.
var states = map[string]policy.EndpointState{
	"healthy":      policy.Healthy,
	"cordoned":     policy.Draining,
	"deregistered": policy.Removed,
}

// register keeps a numbered list of endpoints.
func (r *Reader) register(body json.RawMessage) error {
	var reg struct {
		List   int `json:"list"`
		RowsIn []struct {
			Node          string         `json:"node"`
			AZ            int            `json:"az"`
			Type          int            `json:"type"`
			Cohort        int            `json:"cohort"`
			Condition     string         `json:"condition"`
			Share         float64        `json:"share"`
			OnlineSinceUs *policy.Micros `json:"onlineSinceUs"`
		} `json:"rowsIn"`
	}
	if err := json.Unmarshal(body, &reg); err != nil {
		return err
	}
	rows := make([]policy.Endpoint, 0, len(reg.RowsIn))
	for i, e := range reg.RowsIn {
		state, ok := states[e.Condition]
		if !ok {
			return fmt.Errorf("rowsIn[%d].condition: unknown value %q", i, e.Condition)
		}
		row := policy.Endpoint{ID: e.Node, Zone: e.AZ, Kind: e.Type, PlacementGroup: e.Cohort, State: state, Weight: e.Share}
		if e.OnlineSinceUs != nil {
			row.Started = *e.OnlineSinceUs
		}
		rows = append(rows, row)
	}
	r.lists[reg.List] = rows
	return nil
}

// endpointUpdate is the list that a frame names, or word of a failed call for it.
func (r *Reader) endpointUpdate(f *frame) policy.EndpointUpdate {
	update := policy.EndpointUpdate{Complete: f.Mode == "snapshot" || f.Mode == "disk", Failed: f.Mode == "error"}
	if !update.Failed {
		update.Endpoints = r.lists[f.List]
	}
	return update
}
