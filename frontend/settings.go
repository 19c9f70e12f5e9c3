package frontend

import (
	"time"

	"embershunt/classify"
)

// Settings are the settings of the frontends that can change while the dispatcher runs.
type Settings struct {
	SettingsVersion   uint64 // version of the settings; classes and tenants are indexes into these settings
	Classes           *classify.Table
	Deadlines         []time.Duration // by class, for calls without a deadline of their own
	ResponseMargin    time.Duration   // subtracted from each deadline, for the way of the answer to the client; at most a tenth of it
	TicketTTL         time.Duration   // how long a ticket is valid
	PreparedTTL       time.Duration   // how long a prepared statement's handle and a session cookie are valid
	BearerTTL         time.Duration   // how long a bearer token is valid
	MaxStatementBytes int             // bytes; must not exceed the value at start, from which gRPC's message limit is set
	MaxParameterBytes int             // bytes of bound parameters; likewise
}
