package dispatch

import "embershunt/policy"

// Micros is a point in time or a duration in microseconds, as measured by the Clock.
type Micros = policy.Micros

// Query is a client's query as a frontend submits it.
type Query struct {
	ID              string  // never used twice by this dispatcher
	SettingsVersion uint64  // version of the settings that Class and Tenant are indexes in
	Class           int     // index in policy.Settings.Classes
	Tenant          int     // index in policy.Settings.Tenants; -1: none
	Cost            Micros  // estimated work of all threads; 0: unknown
	MemoryMB        float64 // estimated memory; 0: unknown
	TableGroup      int64   // group of the tables that the query reads or writes
	OrderKey        int64   // valid if HasOrderKey
	HasOrderKey     bool
	ClientRetry     bool   // the client marked the query as a retry
	Protocol        uint8  // bit of nodelist.Node.Protocols that a node must have; 0: any node
	StickyTo        string // node that holds the state of the query's session; "": any node
	Deadline        Micros // of the final answer
	Payload         any    // what a node has to execute: set by the frontend, read by the fleet, opaque to this package
	Client          Client
}

// Client receives the final answer of one query. Answer is called once, by the loop's goroutine or by Loop.Post, and must not
// block.
type Client interface{ Answer(Outcome) }
