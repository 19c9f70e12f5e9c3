package stream

import (
	"fmt"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"embershunt/control"
	"embershunt/control/configv1"
	"embershunt/nodelist"
)

// SettingsName is the resource name of each kind of settings.
const SettingsName = "default"

// typeURLs has the type URL of each kind's resource.
var typeURLs = map[control.Kind]string{
	control.Classes:        "type.googleapis.com/embershunt.config.v1.Classes",
	control.Tenants:        "type.googleapis.com/embershunt.config.v1.Tenants",
	control.Limits:         "type.googleapis.com/embershunt.config.v1.Limits",
	control.Classification: "type.googleapis.com/embershunt.config.v1.Classification",
	control.Fronts:         "type.googleapis.com/embershunt.config.v1.Fronts",
	control.Nodes:          "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
}

// TypeURL returns the type URL of a kind's resource.
func TypeURL(k control.Kind) string { return typeURLs[k] }

// kindOfTypeURL returns the kind of a type URL, and whether there is one.
func kindOfTypeURL(url string) (control.Kind, bool) {
	for k, u := range typeURLs {
		if u == url {
			return k, true
		}
	}
	return 0, false
}

// decode decodes the resources of a response into the Message, Nodes or Err of an event.
func (s *Stream) decode(k control.Kind, resources []*anypb.Any, ev *control.Offered) {
	if k == control.Nodes {
		ev.Nodes, ev.Err = s.decodeNodes(resources)
		return
	}
	if len(resources) != 1 {
		ev.Err = fmt.Errorf("%s: response has %d resources, want exactly one, named %q", k, len(resources), SettingsName)
		return
	}
	message := map[control.Kind]proto.Message{control.Classes: &configv1.Classes{}, control.Tenants: &configv1.Tenants{},
		control.Limits: &configv1.Limits{}, control.Classification: &configv1.Classification{},
		control.Fronts: &configv1.Fronts{}}[k]
	if err := resources[0].UnmarshalTo(message); err != nil {
		ev.Err = fmt.Errorf("%s: %w", k, err)
		return
	}
	ev.Message = message
}

// decodeNodes decodes the node list, which is one of the clusters in a response. Any cluster that cannot be decoded makes
// the whole response invalid.
func (s *Stream) decodeNodes(resources []*anypb.Any) ([]nodelist.Node, error) {
	var found *endpointv3.ClusterLoadAssignment
	for i, r := range resources {
		c := &endpointv3.ClusterLoadAssignment{}
		if err := r.UnmarshalTo(c); err != nil {
			return nil, fmt.Errorf("nodes: resource %d: %w", i, err)
		}
		if c.GetClusterName() == s.options.Cluster {
			found = c
		}
	}
	if found == nil {
		return nil, fmt.Errorf("nodes: cluster %q is not in the response", s.options.Cluster)
	}
	return nodelist.FromAssignment(found, s.options.Names)
}
