package clickhouse

import (
	"fmt"

	"embershunt/classify"
	"embershunt/frontend"
	"embershunt/internal/native"
	"embershunt/session"
)

// sessionState is the state that a client's statements have left on its connection. Options are sent with each query, so any node
// can run it. Temporary tables live on one connection to one node; the session is sticky while it has any.
type sessionState struct {
	options []native.Setting // of SET statements, in the order in which they were first set
	tables  map[string]bool  // names of the existing temporary tables
	id      string           // of the session while it has a temporary table or creates one; else ""
}

// maxOptions bounds the number of options, all of which are sent with each query.
const maxOptions = 500

// settingFlagImportant is the protocol's flag "important": a node that doesn't know the setting rejects the query.
const settingFlagImportant = 1

// withOptions returns the connection's options followed by a query's own settings, which override options of the same name.
func (s *sessionState) withOptions(settings []native.Setting) []native.Setting {
	if len(s.options) == 0 {
		return settings
	}
	merged := make([]native.Setting, 0, len(s.options)+len(settings))
	for _, o := range s.options {
		overridden := false
		for _, setting := range settings {
			overridden = overridden || setting.Name == o.Name
		}
		if !overridden {
			merged = append(merged, o)
		}
	}
	return append(merged, settings...)
}

// setOption adds or replaces an option. It returns an error if the connection has maxOptions others already.
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
	s.options = append(s.options, native.Setting{Name: o.Name, Flags: settingFlagImportant, Value: o.Value})
	return nil
}

// stickyID returns the session's id while a node holds temporary tables of the session, else "".
func (s *sessionState) stickyID() string {
	if len(s.tables) == 0 {
		return ""
	}
	return s.id
}

// statement returns a call as a statement of the session. It returns nil if there is no session and the call doesn't create one.
func (s *sessionState) statement(call frontend.Call) *frontend.Statement {
	effect, name, _ := classify.ConnectionEffectOf(call.Facts.Statement)
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

// recordServed records the table that a served statement created or dropped.
func (s *sessionState) recordServed(statement *frontend.Statement) {
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

// recordFailed records that a statement was not served. It resets the session if that has ended, or if the statement was to create
// the session's first table.
func (s *sessionState) recordFailed(statement *frontend.Statement, ended *frontend.SessionError) {
	lost := ended != nil && (ended.State == session.Lost || ended.State == session.Expired || ended.State == session.Ending)
	if lost || statement.Kind == session.CreateState && len(s.tables) == 0 {
		s.reset()
	}
}

// reset clears the session. The next temporary table begins a new session.
func (s *sessionState) reset() { s.tables, s.id = nil, "" }

// close ends the session because the client's connection ends.
func (s *sessionState) close(sessions *frontend.Sessions) {
	if s.id != "" && sessions != nil {
		sessions.Close(s.id)
	}
	s.reset()
}
