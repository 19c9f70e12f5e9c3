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

// runQuery runs one query until its final answer is written. An error ends the connection.
func (c *connection) runQuery(ctx context.Context, r request) error {
	c.beginAnswer()
	if done, err := c.answerLocally(r.query.Text); done {
		return err
	}
	call := c.newCall(r)
	if classify.InsertsClientData(r.query.Text) {
		return c.insert(ctx, call)
	}
	v, end, err := c.execute(ctx, call)
	return c.finish(v, end, err)
}

// newCall returns the intake's call for a client's query, with the options of the connection among its settings.
func (c *connection) newCall(r request) frontend.Call {
	q := r.query
	q.Settings = c.session.withOptions(q.Settings)
	settings := map[string]string{}
	for _, s := range q.Settings {
		settings[s.Name] = s.Value
	}
	return frontend.Call{
		Protocol: nodelist.ClickHouse,
		Payload: &native.Call{Query: q, Revision: c.revision, Database: c.hello.Database,
			Tables: r.tables, Sink: c.answer},
		Facts: classify.Facts{User: c.hello.User, Statement: q.Text, Command: "native.Query", Token: settings["insert_deduplication_token"],
			Header: func(string) string { return "" }, Option: func(name string) string { return settings[name] }},
		Remaining: time.Duration(positiveNumber(settings["max_execution_time"]) * float64(time.Second)),
		MemoryMB:  positiveNumber(settings["max_memory_usage"]) / 1e6,
	}
}

// positiveNumber parses the number in a setting. It returns 0 if the value is empty, not a number, not above 0, or at least 1e18.
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

// ending tells how the execution of a query ended.
type ending int

const (
	completed          ending = iota // with an outcome, or an error instead
	cancelled                        // the client cancelled the query and stays connected
	clientDisconnected               // the client has disconnected, or its connection must be closed
)

// readAheadDelay is how long a query runs before the client's next packet is read in the background. Most queries are answered
// earlier and need no background read.
const readAheadDelay = 2 * time.Millisecond

// execute submits a call and waits for its final answer. Meanwhile it handles the client's packets.
func (c *connection) execute(ctx context.Context, call frontend.Call) (v dispatch.Outcome, end ending, err error) {
	if statement := c.session.statement(call); statement != nil {
		return c.executeSticky(ctx, call, statement)
	}
	pending, err := c.frontend.intake.Submit(call)
	if err != nil {
		return v, completed, err
	}
	if c.readAheadTimer == nil {
		c.readAheadTimer = time.NewTimer(readAheadDelay)
	} else {
		c.readAheadTimer.Reset(readAheadDelay)
	}
	defer c.readAheadTimer.Stop()
	for {
		select {
		case v := <-pending.Done:
			return v, completed, nil
		case <-ctx.Done():
			pending.Disconnect()
			return <-pending.Done, clientDisconnected, nil
		case <-c.readAheadTimer.C:
			c.readAhead()
		case r := <-c.requests:
			if end, err := c.handleWhileExecuting(r); end != completed {
				pending.Disconnect()
				return <-pending.Done, end, err
			}
		}
	}
}

// handleWhileExecuting handles a packet that the client sent while its query runs. It returns completed if the query goes on;
// any other ending ends the query.
func (c *connection) handleWhileExecuting(r request) (ending, error) {
	c.readingAhead = false
	switch actions[executing][r.event()] {
	case ignore:
		c.readAhead()
		return completed, nil
	case cancelQuery:
		return cancelled, nil
	case dropConnection:
		return clientDisconnected, r.err
	default:
		return clientDisconnected, fmt.Errorf("unexpected packet %d while a query runs", r.code)
	}
}
