package clickhouse

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"embershunt/classify"
	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/internal/native"
)

// answerLocally answers statements that no node has to run: SET, USE, and those whose effect on the connection is not supported.
// done is false for all other statements.
func (c *connection) answerLocally(text string) (done bool, err error) {
	effect, name, options := classify.ConnectionEffectOf(text)
	switch effect {
	case classify.SetsOptions:
		for _, o := range options {
			if err := c.session.setOption(o); err != nil {
				c.reject(codeBadArguments, err.Error())
				return true, nil
			}
		}
	case classify.SetsDatabase:
		if c.session.stickyID() != "" {
			c.reject(codeNotImplemented, "USE while temporary tables are open is not served: name the database in the statement")
			return true, nil
		}
		c.hello.Database = name
	case classify.Unsupported:
		c.reject(codeNotImplemented, "this would leave state on the connection that can neither be replayed nor kept: transactions, SET ROLE and temporary views are not served over the native protocol")
		return true, nil
	default:
		return false, nil
	}
	return true, c.write([]byte{native.ServerEndOfStream})
}

// executeSticky does the same as execute for a statement of a session.
func (c *connection) executeSticky(ctx context.Context, call frontend.Call, statement *frontend.Statement) (v dispatch.Outcome, end ending, err error) {
	if c.frontend.options.Sessions == nil {
		return v, completed, errors.New("temporary tables are not served here")
	}
	call.Payload.(*native.Call).Session = statement.ID
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		v   dispatch.Outcome
		err error
	}
	done := make(chan answer, 1)
	var group errgroup.Group
	defer func() { _ = group.Wait() }() // always nil: the goroutine reports its error in done
	group.Go(func() error {
		v, _, err := c.frontend.options.Sessions.Execute(ctx, call, *statement)
		done <- answer{v, err}
		return nil
	})
	for {
		c.readAhead()
		select {
		case a := <-done:
			c.recordStatement(statement, a.v, a.err)
			return a.v, completed, a.err
		case r := <-c.requests:
			if end, err := c.handleWhileExecuting(r); end != completed {
				cancel()
				return (<-done).v, end, err
			}
		}
	}
}

// recordStatement records the end of a statement in the session.
func (c *connection) recordStatement(statement *frontend.Statement, v dispatch.Outcome, err error) {
	if err == nil && v.Kind == dispatch.Served {
		c.session.recordServed(statement)
		return
	}
	var ended *frontend.SessionError
	_ = errors.As(err, &ended) // ended stays nil if the session is not the cause
	c.session.recordFailed(statement, ended)
}
