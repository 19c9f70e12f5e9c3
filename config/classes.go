package config

import (
	"fmt"
	"time"

	"embershunt/policy"
)

// UpdatesSuffix is appended to the name of a class to name the derived class of its updates. There is one if the effect of the
// updates differs from the effect of the class.
const UpdatesSuffix = " (updates)"

// KeyedSuffix is appended to the name of a class to name the derived class of its inserts with a deduplication token. There is
// one if the class has a dedup window and its updates are unsafe.
const KeyedSuffix = " (keyed)"

// The values of Class.Effect and Class.Updates.
const (
	effectSafe   = "safe"
	effectKeyed  = "keyed"
	effectUnsafe = "unsafe"
)

var (
	effects = map[string]policy.Effect{effectSafe: policy.Idempotent, effectKeyed: policy.IdempotentByKey,
		effectUnsafe: policy.NonIdempotent}
	dedupScopes = map[string]policy.DedupScope{"all": policy.DedupFleet, "hall": policy.DedupZone, "cell": policy.DedupPlacementGroup}
)

// buildClasses checks the classes and builds the classes of the policy: those of the file in their order, then the derived
// classes of updates and of inserts with a deduplication token. It returns false if the file has no classes.
func (c *Config) buildClasses(v validator, kinds []string) bool {
	f := &c.File
	var derived []policy.Class
	for i := range f.Classes {
		at, class := fmt.Sprintf("classes[%d]", i), &f.Classes[i]
		class.validate(v, at)
		built := class.policyClass(v, at, f.Zones, kinds)
		c.Classes.Classes = append(c.Classes.Classes, class.Name)
		c.Settings.Classes = append(c.Settings.Classes, built)
		derived = c.deriveClasses(i, class, built, derived)
	}
	v.unique("classes", c.Classes.Classes)
	if len(f.Classes) == 0 {
		v.addViolation("classes", "none", "at least one class")
		return false
	}
	for i := range derived {
		c.Settings.Classes = append(c.Settings.Classes, derived[i])
		c.Classes.Updates = append(c.Classes.Updates, len(f.Classes)+i)
		c.Classes.Keyed = append(c.Classes.Keyed, -1)
	}
	c.Classes.Default = max(v.indexOf("default_class", f.DefaultClass, c.Classes.Classes), 0)
	c.Classes.Hints = !f.NoHints
	return true
}

// deriveClasses appends to derived the classes for the updates and the keyed inserts of class i, if their effect differs from
// the effect of the class. It enters their indexes in the classification table.
func (c *Config) deriveClasses(i int, class *Class, built policy.Class, derived []policy.Class) []policy.Class {
	next := func() int { return len(c.File.Classes) + len(derived) }
	updates, keyed := i, -1
	if class.Updates != class.Effect {
		updates = next()
		built.Name, built.Effect = class.Name+UpdatesSuffix, effects[class.Updates]
		derived = append(derived, built)
	}
	if class.Updates == effectKeyed {
		keyed = updates
	} else if class.Updates == effectUnsafe && class.DedupWindow > 0 { // nodes remember deduplication tokens
		keyed = next()
		built.Name, built.Effect = class.Name+KeyedSuffix, policy.IdempotentByKey
		derived = append(derived, built)
	}
	c.Classes.Updates = append(c.Classes.Updates, updates)
	c.Classes.Keyed = append(c.Classes.Keyed, keyed)
	return derived
}

// validate checks the fields of a class; at is its path.
func (k *Class) validate(v validator, at string) {
	v.duration(at+".deadline", k.Deadline, time.Millisecond, maxDuration)
	v.duration(at+".aim", k.LatencyObjective, time.Millisecond, maxDuration)
	v.duration(at+".window", k.DedupWindow, 0, maxDuration)
	v.inRange(at+".worth", k.PriorityWeight, 0, 1e9)
	v.inRange(at+".late_worth", k.LateWeight, 0, 1)
	v.inRange(at+".aim_stretch", k.ObjectiveStretch, 0, 1000)
	v.count(at+".threads", k.Threads, 1, 10_000)
	k.validateEffect(v, at, ".effect", k.Effect)
	k.validateEffect(v, at, ".updates", k.Updates)
	if _, ok := dedupScopes[k.DedupScope]; !ok {
		v.addViolation(at+".group", quoted(k.DedupScope), "all, hall, cell")
	}
}

// validateEffect checks an effect in the given field. The effect "keyed" needs a dedup window.
func (k *Class) validateEffect(v validator, at, field, effect string) {
	if _, ok := effects[effect]; !ok {
		v.addViolation(at+field, quoted(effect), "safe, keyed, unsafe")
	}
	if effect == effectKeyed && k.DedupWindow == 0 {
		v.addViolation(at+".window", "none", "how long nodes remember a key, which keyed classes need")
	}
}

// policyClass returns the class for the policy, which refers to zones and kinds by index.
func (k *Class) policyClass(v validator, at string, zones, kinds []string) policy.Class {
	built := policy.Class{
		Name:             k.Name,
		PriorityWeight:   k.PriorityWeight,
		LateWeight:       k.LateWeight,
		LatencyObjective: k.LatencyObjective.micros(),
		ObjectiveStretch: k.ObjectiveStretch,
		Deadline:         k.Deadline.micros(),
		Threads:          k.Threads,
		LocksTables:      k.LocksTables,
		WaitsForTables:   k.WaitsForTables,
		Effect:           effects[k.Effect],
		DedupScope:       dedupScopes[k.DedupScope],
		DedupWindow:      k.DedupWindow.micros(),
		Ordered:          k.Ordered,
	}
	for i, name := range k.Zones {
		built.Zones = append(built.Zones, v.indexOf(fmt.Sprintf("%s.halls[%d]", at, i), name, zones))
	}
	for i, name := range k.Kinds {
		built.Kinds = append(built.Kinds, v.indexOf(fmt.Sprintf("%s.kinds[%d]", at, i), name, kinds))
	}
	return built
}
