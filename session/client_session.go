package session

import "time"

// clientSession holds the state, limits bookkeeping and timer of one session.
type clientSession struct {
	id              string
	tenant          string
	state           State
	endState        State     // that follows Ending: Lost or Expired
	reason          Reason    // of the end; set in Ending, Lost and Expired
	retryAfter      Micros    // told to the client of a session that ended; 0: no advice
	node            string    // the node that holds the state; "": none
	nodeStarted     time.Time // start of the node's incarnation that holds the state
	nodeIndex       int       // in node.sessions of its node; -1: not attached to a node
	stateSince      Micros    // when the state was created
	lastActivity    Micros    // when the last statement began or ended; for Lost and Expired when the session ended
	inTransaction   bool
	tables          map[string]bool    // temporary tables and options that the node holds
	outlivesState   bool               // the session goes on when its state is dropped
	running         *StatementReceived // the statement that is running; nil: none
	releaseAttempts int                // requests to release the state so far
	reserved        bool               // counted in the limits
	timerAt         Micros             // when its timer is due; 0: none is set
}

// hasState reports whether a node holds, or may hold, state of the session.
func (s *clientSession) hasState() bool { return s.inTransaction || len(s.tables) > 0 }

// endingOrEnded reports whether the end of the session has begun.
func (s *clientSession) endingOrEnded() bool {
	return s.state == Ending || s.state == Lost || s.state == Expired
}

func (s *clientSession) addTable(name string) {
	if s.tables == nil {
		s.tables = map[string]bool{}
	}
	s.tables[name] = true
}
