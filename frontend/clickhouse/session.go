package clickhouse

import (
	"fmt"

	"embershunt/classify"
	"embershunt/frontend"
	"embershunt/internal/native"
	"embershunt/session"
)

// sessionState is what a client's statements have left on its connection. Options can be set anew on any node, and are sent
// with each query; temporary tables live on one connection to one node, and while there are any the session is sticky.
type sessionState struct {
	options []native.Setting // of SET, in order
	tables  map[string]bool  // temporary ones that were created
	id      string           // of the session while there are any, or one is being created
}

// maxOptions bounds the options that are sent with each query.
const maxOptions = 500

// setFlagImportant marks a setting that a node must know or else reject the query (the protocol's flag "important").
const setFlagImportant = 1

// withOptions puts the connection's options in front of a query's own settings, which win.
func (s *sessionState) withOptions(settings []native.Setting) []native.Setting {
	if len(s.options) == 0 {
		return settings
	}
	merged := make([]native.Setting, 0, len(s.options)+len(settings))
	for _, o := range s.options {
		stated := false
		for _, setting := range settings {
			stated = stated || setting.Name == o.Name
		}
		if !stated {
			merged = append(merged, o)
		}
	}
	return append(merged, settings...)
}

// setOption keeps an option of SET.
func (s *sessionState) setOption(o classify.Option) error {
	for i := range s.options {
		if s.options[i].Name == o.Name {
			s.options[i].Value = o.Value
			return nil
		}
	}
	if len(s.options) >= maxOptions {
		return fmt.Errorf("more than %d options set on a connection", maxOptions)
	}
	s.options = append(s.options, native.Setting{Name: o.Name, Flags: setFlagImportant, Value: o.Value})
	return nil
}

// stickyID is the session's id while a node holds tables of it; "": none does.
func (s *sessionState) stickyID() string {
	if len(s.tables) == 0 {
		return ""
	}
	return s.id
}

// statement is what a call means to the session; nil where there is none and the call creates none.
func (s *sessionState) statement(call frontend.Call) *frontend.Statement {
	effect, name, _ := classify.OnConnection(call.Facts.Statement)
	statement := &frontend.Statement{Kind: session.Plain, ID: s.id, OutlivesState: true,
		ReadOnly: classify.IsRead(call.Facts.Statement) || call.Facts.DescribeOnly}
	switch {
	case effect == classify.CreatesTable:
		statement.Kind, statement.Name = session.CreateState, name
		if s.id == "" {
			s.id = frontend.NewSessionID()
			statement.ID = s.id
		}
	case len(s.tables) == 0:
		return nil
	case effect == classify.DropsTable && s.tables[name]:
		statement.Kind, statement.Name = session.DropState, name
	}
	return statement
}

// served records what a statement that was served has left.
func (s *sessionState) served(statement *frontend.Statement) {
	switch statement.Kind {
	case session.CreateState:
		if s.tables == nil {
			s.tables = map[string]bool{}
		}
		s.tables[statement.Name] = true
	case session.DropState:
		if delete(s.tables, statement.Name); len(s.tables) == 0 {
			s.id = ""
		}
	}
}

// failed records that a statement was not served: the session may be lost with it, or not have come to be.
func (s *sessionState) failed(statement *frontend.Statement, ended *frontend.SessionError) {
	lost := ended != nil && (ended.State == session.Lost || ended.State == session.Expired || ended.State == session.Ending)
	if lost || statement.Kind == session.CreateState && len(s.tables) == 0 {
		s.reset()
	}
}

// reset forgets a session that has ended; the next temporary table begins another one.
func (s *sessionState) reset() { s.tables, s.id = nil, "" }

// close ends the session with its client's connection.
func (s *sessionState) close(sessions *frontend.Sessions) {
	if s.id != "" && sessions != nil {
		sessions.Close(s.id)
	}
	s.reset()
}
