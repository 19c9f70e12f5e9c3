package control

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"embershunt/control/configv1"
)

// Kind is a kind of streamed resource.
type Kind int

// The kinds. The kinds of settings come before Nodes; a set has one resource of each of them.
const (
	Classes Kind = iota
	Tenants
	Limits
	Classification
	Fronts
	Nodes
	settingsKinds = int(Nodes)
)

// String returns the kind's name in logs, rejection reasons and Status.
func (k Kind) String() string {
	return [...]string{"classes", "tenants", "limits", "classification", "fronts", "nodes"}[k]
}

// Set is one version of the settings. All its resources have the set's number.
type Set struct {
	Number         uint64
	Classes        *configv1.Classes
	Tenants        *configv1.Tenants
	Limits         *configv1.Limits
	Classification *configv1.Classification
	Fronts         *configv1.Fronts
}

// Resources returns a set's resources in the order of their kinds.
func (s Set) Resources() []proto.Message {
	return []proto.Message{s.Classes, s.Tenants, s.Limits, s.Classification, s.Fronts}
}

// resource returns the set's resource of a kind of settings; it is a nil pointer of the resource's type where the set has
// none.
func (s Set) resource(k Kind) proto.Message { return s.Resources()[k] }

// setNumberOf returns the number of the set that a resource belongs to, or an error if the resource is of another kind or
// has no number.
func setNumberOf(k Kind, message proto.Message) (uint64, error) {
	var number uint64
	actual := Kind(-1)
	switch r := message.(type) {
	case *configv1.Classes:
		actual, number = Classes, r.GetSet()
	case *configv1.Tenants:
		actual, number = Tenants, r.GetSet()
	case *configv1.Limits:
		actual, number = Limits, r.GetSet()
	case *configv1.Classification:
		actual, number = Classification, r.GetSet()
	case *configv1.Fronts:
		actual, number = Fronts, r.GetSet()
	}
	switch {
	case actual != k:
		return 0, fmt.Errorf("%T is not a resource of the kind %s", message, k)
	case number == 0:
		return 0, fmt.Errorf("%s: set is 0, the minimum is 1", k)
	}
	return number, nil
}

// response is one resource of the settings that the control service has sent and that has no reply yet.
type response struct {
	version, nonce string
	set            uint64 // number of the set that the resource belongs to
	message        proto.Message
}

// responses holds the newest response of each kind of settings; nil where there is none.
type responses [settingsKinds]*response

// complete reports whether there is a response of every kind and all belong to one set, and returns that set's number.
func (r *responses) complete() (number uint64, ok bool) {
	for _, one := range r {
		if one == nil {
			return 0, false
		}
		if number == 0 {
			number = one.set
		}
		if one.set != number {
			return 0, false
		}
	}
	return number, true
}

// set assembles a set from complete responses, whose types setNumberOf has checked.
func (r *responses) set(number uint64) Set {
	return Set{Number: number, Classes: r[Classes].message.(*configv1.Classes),
		Tenants:        r[Tenants].message.(*configv1.Tenants),
		Limits:         r[Limits].message.(*configv1.Limits),
		Classification: r[Classification].message.(*configv1.Classification),
		Fronts:         r[Fronts].message.(*configv1.Fronts)}
}
