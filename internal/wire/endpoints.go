package wire

import (
	"encoding/json"
	"fmt"

	"embershunt/policy"
)

// endpointStates maps the protocol's names for the state of a node.
var endpointStates = map[string]policy.EndpointState{
	"healthy":      policy.Healthy,
	"cordoned":     policy.Draining,
	"deregistered": policy.Removed,
}

// registerList decodes an endpoint list and stores it under its number, in place of an earlier list of that number.
func (r *Reader) registerList(body json.RawMessage) error {
	var list struct {
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
	if err := json.Unmarshal(body, &list); err != nil {
		return err
	}
	rows := make([]policy.Endpoint, 0, len(list.RowsIn))
	for i, e := range list.RowsIn {
		state, ok := endpointStates[e.Condition]
		if !ok {
			return fmt.Errorf("rowsIn[%d].condition: unknown value %q", i, e.Condition)
		}
		row := policy.Endpoint{ID: e.Node, Zone: e.AZ, Kind: e.Type, PlacementGroup: e.Cohort, State: state, Weight: e.Share}
		if e.OnlineSinceUs != nil {
			row.Started = *e.OnlineSinceUs
		}
		rows = append(rows, row)
	}
	r.lists[list.List] = rows
	return nil
}

// endpointUpdate returns the update of a "view" frame: the registered list that it names, which mode says is complete or
// partial, or a failed call. A number without a registered list gives an update without endpoints.
func (r *Reader) endpointUpdate(f *frame) policy.EndpointUpdate {
	update := policy.EndpointUpdate{Complete: f.Mode == "snapshot" || f.Mode == "disk", Failed: f.Mode == "error"}
	if !update.Failed {
		update.Endpoints = r.lists[f.List]
	}
	return update
}
