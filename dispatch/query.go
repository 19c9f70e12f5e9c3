package dispatch

import "embershunt/policy"

// Micros is a point in time or a duration, in microseconds of the Clock.
type Micros = policy.Micros

// Query is one client's query as a frontend hands it over.
type Query struct {
	ID             string // never used twice by this dispatcher
	SettingsSerial uint64 // of the settings whose indexes Class and Tenant are
	Class          int    // index in policy.Settings.Classes
	Tenant         int    // index in policy.Settings.Tenants
	Cost           Micros // estimated work of all threads; 0: unknown
	MemoryMB       float64
	TableGroup     int64 // group of tables it reads or writes
	OrderKey       int64 // valid where HasOrderKey
	HasOrderKey    bool
	ClientRetry    bool   // the client marks it as a retry
	Protocol       uint8  // bit of nodelist.Speaks that a node must have
	StickyTo       string // the node that holds the state of its session; "": any node
	Deadline       Micros // of the final answer
	Work           any    // what a node is to do, opaque here: a frontend makes it, the fleet reads it
	Client         Client
}

// Client receives the final answer of one query, once. Answer must not block and may be called from the loop.
type Client interface{ Answer(Outcome) }
