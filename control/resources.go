package control

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"embershunt/control/configv1"
)

// Kind is a kind of resource.
type Kind int

// The kinds. Those of the settings come first; a set has one resource of each.
const (
	Classes Kind = iota
	Tenants
	Limits
	Classification
	Fronts
	Nodes
	settingsKinds = int(Nodes)
)

// String is the kind's name in logs, reasons and the operators' view.
func (k Kind) String() string {
	return [...]string{"classes", "tenants", "limits", "classification", "fronts", "nodes"}[k]
}

// Set is one version of the settings. All its resources carry its number.
type Set struct {
	Number         uint64
	Classes        *configv1.Classes
	Tenants        *configv1.Tenants
	Limits         *configv1.Limits
	Classification *configv1.Classification
	Fronts         *configv1.Fronts
}

// Resources are a set's resources, in the order of their kinds.
func (s Set) Resources() []proto.Message {
	return []proto.Message{s.Classes, s.Tenants, s.Limits, s.Classification, s.Fronts}
}

// resource is the set's resource of a kind of settings; a nil message where it has none.
func (s Set) resource(k Kind) proto.Message { return s.Resources()[k] }

// setNumber returns the number of the set that a resource belongs to. It is an error if the resource is of another
// kind or has no number.
func setNumber(k Kind, message proto.Message) (uint64, error) {
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
		return 0, fmt.Errorf("%T is no resource of %s", message, k)
	case number == 0:
		return 0, fmt.Errorf("%s: set is 0, allowed are numbers from 1", k)
	}
	return number, nil
}

// response is one resource that the control service has sent and that has no reply yet.
type response struct {
	version, nonce string
	set            uint64 // number of the set that it belongs to
	message        proto.Message
}

// responses are the newest response of each kind of settings; nil where there is none.
type responses [settingsKinds]*response

// complete tells whether there is a response of every kind and all belong to one set, whose number it returns.
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

// set assembles the set of complete responses. The types were checked by setNumber.
func (r *responses) set(number uint64) Set {
	return Set{Number: number, Classes: r[Classes].message.(*configv1.Classes),
		Tenants:        r[Tenants].message.(*configv1.Tenants),
		Limits:         r[Limits].message.(*configv1.Limits),
		Classification: r[Classification].message.(*configv1.Classification),
		Fronts:         r[Fronts].message.(*configv1.Fronts)}
}
