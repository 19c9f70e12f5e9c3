package frontend

import (
	"time"

	"embershunt/classify"
)

// Tables are what a change of settings changes for the frontends.
type Tables struct {
	SettingsSerial uint64 // of the settings whose indexes the classes are
	Classes        *classify.Table
	Deadlines      []time.Duration // by class, for calls that state none
	ResponseMargin time.Duration   // subtracted from a deadline for the way back, a tenth of it at most
	TicketLife     time.Duration
	PreparedLife   time.Duration
	BearerLife     time.Duration
	MaxStatement   int // bytes; must not exceed that of the start
	MaxParams      int // bytes of bound parameters; likewise
}
