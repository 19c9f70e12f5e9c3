package clickhouse

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"embershunt/classify"
	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/internal/native"
	"embershunt/nodelist"
)

// runQuery runs one query to its final answer. An error ends the connection.
func (c *connection) runQuery(ctx context.Context, r request) error {
	c.beginAnswer()
	if done, err := c.answerLocally(r.query.Text); done {
		return err
	}
	call := c.call(r)
	if classify.InsertsClientData(r.query.Text) {
		return c.insert(ctx, call)
	}
	v, end, err := c.execute(ctx, call)
	return c.finish(v, end, err)
}

// call is a query as the intake takes it.
func (c *connection) call(r request) frontend.Call {
	q := r.query
	q.Settings = c.session.withOptions(q.Settings)
	settings := map[string]string{}
	for _, s := range q.Settings {
		settings[s.Name] = s.Value
	}
	return frontend.Call{
		Protocol: nodelist.ClickHouse,
		Work: &native.Call{Query: q, Revision: c.revision, Database: c.hello.Database,
			Tables: r.tables, Sink: c.answer},
		Facts: classify.Facts{User: c.hello.User, Statement: q.Text, Command: "native.Query", Token: settings["insert_deduplication_token"],
			Header: func(string) string { return "" }, Option: func(name string) string { return settings[name] }},
		Remaining: time.Duration(positiveNumber(settings["max_execution_time"]) * float64(time.Second)),
		MemoryMB:  positiveNumber(settings["max_memory_usage"]) / 1e6,
	}
}

// positiveNumber parses a setting's number; 0 where it is absent, not a number, not above 0, or 1e18 and more.
func positiveNumber(value string) float64 {
	if value == "" {
		return 0
	}
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || !(v > 0 && v < 1e18) {
		return 0
	}
	return v
}

// ending is how the execution of a query ended.
type ending int

const (
	completed          ending = iota // there is an outcome, or an error in its place
	cancelled                        // the client cancelled it and stays connected
	clientDisconnected               // the client has disconnected, or its connection is to be closed
)

// watchAfter is how long a query runs before its client's next packet is read: most are answered by then.
const watchAfter = 2 * time.Millisecond

// execute submits a call and waits for its final answer; meanwhile it obeys what the client sends.
func (c *connection) execute(ctx context.Context, call frontend.Call) (v dispatch.Outcome, end ending, err error) {
	if statement := c.session.statement(call); statement != nil {
		return c.executeSticky(ctx, call, statement)
	}
	pending, err := c.front.intake.Submit(call)
	if err != nil {
		return v, completed, err
	}
	if c.watchTimer == nil {
		c.watchTimer = time.NewTimer(watchAfter)
	} else {
		c.watchTimer.Reset(watchAfter)
	}
	defer c.watchTimer.Stop()
	for {
		select {
		case v := <-pending.Done:
			return v, completed, nil
		case <-ctx.Done():
			pending.Disconnect()
			return <-pending.Done, clientDisconnected, nil
		case <-c.watchTimer.C:
			c.watch()
		case r := <-c.requests:
			if end, err := c.handleWhileExecuting(r); end != completed {
				pending.Disconnect()
				return <-pending.Done, end, err
			}
		}
	}
}

// handleWhileExecuting handles what a client sends while its query runs. An ending other than completed ends the query.
func (c *connection) handleWhileExecuting(r request) (ending, error) {
	c.reading = false
	switch actions[executing][r.event()] {
	case ignore:
		c.watch()
		return completed, nil
	case cancelQuery:
		return cancelled, nil
	case dropConnection:
		return clientDisconnected, r.err
	default:
		return clientDisconnected, fmt.Errorf("packet %d while a query runs", r.code)
	}
}
