package clickhouse

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"golang.org/x/sync/errgroup"

	"embershunt/classify"
	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/internal/native"
	"embershunt/session"
)

// connection is what a client's statements have left on its connection. Options and the database can be replayed on any
// node and are; temporary tables live on one connection to one node, and while there are any the session stays there.
type connection struct {
	options []native.Setting // of SET, in order
	tables  map[string]bool  // temporary ones that were made
	id      string           // of the session while there are any, or one is being made
}

// optionsMost bounds the options that are replayed.
const optionsMost = 500

// replay puts the connection's options in front of a query's own.
func (c *connection) replay(own []native.Setting) []native.Setting {
	if len(c.options) == 0 {
		return own
	}
	out := make([]native.Setting, 0, len(c.options)+len(own))
	for _, o := range c.options {
		stated := false
		for _, s := range own {
			stated = stated || s.Name == o.Name
		}
		if !stated {
			out = append(out, o)
		}
	}
	return append(out, own...)
}

// set keeps an option.
func (c *connection) set(o classify.Option) error {
	for i := range c.options {
		if c.options[i].Name == o.Name {
			c.options[i].Value = o.Value
			return nil
		}
	}
	if len(c.options) >= optionsMost {
		return fmt.Errorf("more than %d options set on a connection", optionsMost)
	}
	c.options = append(c.options, native.Setting{Name: o.Name, Flags: 1, Value: o.Value})
	return nil
}

// pinned names the session while a node holds tables of it.
func (c *connection) pinned() string {
	if len(c.tables) == 0 {
		return ""
	}
	return c.id
}

// use tells what a statement is to the session; nil where it has none and makes none.
func (c *connection) use(call frontend.Call) *frontend.Statement {
	kind, name, _ := classify.OnConnection(call.Facts.Statement)
	u := &frontend.Statement{Kind: session.Plain, ID: c.id, OutlivesState: true, ReadOnly: classify.IsRead(call.Facts.Statement) || call.Facts.Harmless}
	switch {
	case kind == classify.LeavesTable:
		u.Kind, u.Name = session.CreateState, name
		if c.id == "" {
			c.id = frontend.NewSessionID()
			u.ID = c.id
		}
	case len(c.tables) == 0:
		return nil
	case kind == classify.DropsTable && c.tables[name]:
		u.Kind, u.Name = session.DropState, name
	}
	return u
}

// served takes in what a statement has left.
func (c *connection) served(u *frontend.Statement) {
	switch u.Kind {
	case session.CreateState:
		if c.tables == nil {
			c.tables = map[string]bool{}
		}
		c.tables[u.Name] = true
	case session.DropState:
		if delete(c.tables, u.Name); len(c.tables) == 0 {
			c.id = ""
		}
	}
}

// lost forgets a session that has ended: what follows begins anew.
func (c *connection) lost() { c.tables, c.id = nil, "" }

// close ends the session with its client's connection.
func (c *connection) close(s *frontend.Sessions) {
	if c.id != "" && s != nil {
		s.Close(c.id)
	}
	c.lost()
}

// own answers statements that concern the connection alone.
func (s *client) own(text string) (done bool, err error) {
	kind, name, options := classify.OnConnection(text)
	switch kind {
	case classify.LeavesOptions:
		for _, o := range options {
			if err := s.life.set(o); err != nil {
				s.refuse(36, err.Error())
				return true, nil
			}
		}
	case classify.LeavesDatabase:
		if s.life.pinned() != "" {
			s.refuse(48, "USE while temporary tables are open is not served: name the database in the statement")
			return true, nil
		}
		s.hello.Database = name
	case classify.LeavesUnserved:
		s.refuse(48, "this would leave state on the connection that can neither be replayed nor kept: transactions, SET ROLE and temporary views are not served over the native protocol")
		return true, nil
	default:
		return false, nil
	}
	return true, s.write([]byte{native.ServerEndOfStream})
}

// askPinned is ask for a statement of a session.
func (s *client) askPinned(ctx context.Context, call frontend.Call, u *frontend.Statement) (v dispatch.Outcome, how ending, err error) {
	if s.front.opt.Sessions == nil {
		return v, answered, errors.New("temporary tables are not served here")
	}
	call.Work.(*native.Call).Session = u.ID
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		v   dispatch.Outcome
		err error
	}
	done := make(chan answer, 1)
	var group errgroup.Group
	defer group.Wait()
	group.Go(func() error {
		v, _, err := s.front.opt.Sessions.Execute(ctx, call, *u)
		done <- answer{v, err}
		return nil
	})
	end := func(how ending, err error) (dispatch.Outcome, ending, error) {
		cancel()
		return (<-done).v, how, err
	}
	for {
		s.watch()
		select {
		case a := <-done:
			var ended *frontend.SessionError
			if errors.As(a.err, &ended) && (ended.State == session.Lost || ended.State == session.Expired || ended.State == session.Ending) {
				s.life.lost()
			} else if a.err == nil && a.v.Kind == dispatch.Served {
				s.life.served(u)
			} else if u.Kind == session.CreateState && len(s.life.tables) == 0 {
				s.life.lost()
			}
			return a.v, answered, a.err
		case st := <-s.steps:
			s.reading = false
			switch {
			case st.err != nil:
				return end(gone, st.err)
			case st.code == native.ClientCancel:
				return end(cancelled, nil)
			case st.code == native.ClientPing:
			default:
				return end(gone, fmt.Errorf("packet %d while a query runs", st.code))
			}
		}
	}
}

// refuseOf answers what no final answer was made for: hints that cannot be used, a session that has ended.
func (s *client) refuseOf(err error) {
	var ended *frontend.SessionError
	if !errors.As(err, &ended) {
		s.refuse(36, err.Error()) // BAD_ARGUMENTS
		return
	}
	code, final := int32(236), "failed" // ABORTED
	switch ended.Reason {
	case session.ReasonTooManySessions, session.ReasonTooManyTables:
		code, final = 202, "refused"
	case session.ReasonNodesUnknown:
		code, final = 203, "refused"
	case session.ReasonBusy, session.ReasonNoTransaction, session.ReasonTransactionOpen:
		code, final = 36, "refused"
	}
	text := fmt.Sprintf("%s (%s)%s", final, ended.Reason, strings.TrimPrefix(ended.Error(), string(ended.Reason)))
	if ended.RetryAfter > 0 {
		text += fmt.Sprintf(", come back in %d ms", ended.RetryAfter.Milliseconds()+1)
	}
	s.refuse(code, text)
}
