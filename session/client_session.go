package session

import "time"

// clientSession is what is known of one session.
type clientSession struct {
	id              string
	tenant          string
	state           State
	endState        State  // Lost or Expired: what follows Ending
	reason          Reason // of Ending, Lost and Expired
	retryAfter      Micros // of a session that ended, for its client
	node            string // that holds its state; "": none
	nodeStarted     time.Time
	nodeIndex       int // among the sessions of its node; -1: none
	stateSince      Micros
	lastActivity    Micros // the last statement's begin or end; of an ended session its end
	inTransaction   bool
	tables          map[string]bool
	outlivesState   bool               // it is not over when its state is dropped
	running         *StatementReceived // nil: none
	releaseAttempts int
	reserved        bool   // counted in the limits
	timerAt         Micros // of its next timer; 0: none
}

// hasState says whether a node holds state of it.
func (s *clientSession) hasState() bool { return s.inTransaction || len(s.tables) > 0 }

// ended says whether its end has begun.
func (s *clientSession) ended() bool {
	return s.state == Ending || s.state == Lost || s.state == Expired
}

func (s *clientSession) addTable(name string) {
	if s.tables == nil {
		s.tables = map[string]bool{}
	}
	s.tables[name] = true
}
