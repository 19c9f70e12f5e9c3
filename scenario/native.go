package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/ClickHouse/ch-go"
	"github.com/ClickHouse/ch-go/proto"
)

// nativePool is a pool of client connections to the native port of one dispatcher. It reuses idle connections as the pool of a real
// client does.
type nativePool struct {
	address string
	mu      sync.Mutex
	idle    []*ch.Client
}

// take returns an idle connection, or a new one if none is idle.
func (n *nativePool) take(ctx context.Context) (*ch.Client, error) {
	n.mu.Lock()
	if last := len(n.idle) - 1; last >= 0 {
		c := n.idle[last]
		n.idle = n.idle[:last]
		n.mu.Unlock()
		return c, nil
	}
	n.mu.Unlock()
	return ch.Dial(ctx, ch.Options{Address: n.address, User: "day", Compression: ch.CompressionLZ4})
}

// put returns a connection to the pool.
func (n *nativePool) put(c *ch.Client) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.idle = append(n.idle, c)
}

// close closes the idle connections.
func (n *nativePool) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.idle {
		_ = c.Close() // no query needs it any more
	}
	n.idle = nil
}

// execute runs a statement with an unmodified native client and returns the number of rows read or inserted. With a token, the
// statement is an INSERT and the client sends one row.
func (n *nativePool) execute(ctx context.Context, statement, token string) (rows int64, err error) {
	c, err := n.take(ctx)
	if err != nil {
		return 0, err
	}
	q := ch.Query{Body: statement}
	if deadline, ok := ctx.Deadline(); ok {
		q.Settings = append(q.Settings, ch.Setting{Key: "max_execution_time", Value: fmt.Sprint(time.Until(deadline).Seconds())})
	}
	if token != "" {
		q.Settings = append(q.Settings, ch.Setting{Key: "insert_deduplication_token", Value: token})
		var id proto.ColUInt64
		var name proto.ColStr
		id.Append(1)
		name.Append(token)
		q.Input = proto.Input{{Name: "id", Data: &id}, {Name: "name", Data: &name}}
		q.OnInput = func(context.Context) error { id.Reset(); name.Reset(); return io.EOF }
		rows = 1
	} else {
		var node proto.ColStr
		var row proto.ColInt64
		var payload proto.ColStr
		q.Result = proto.Results{{Name: "node", Data: &node}, {Name: "row", Data: &row}}
		if payloadPattern.MatchString(statement) {
			q.Result = proto.Results{{Name: "node", Data: &node}, {Name: "row", Data: &row}, {Name: "payload", Data: &payload}}
		}
		q.OnResult = func(context.Context, proto.Block) error { rows += int64(row.Rows()); return nil }
	}
	if err = c.Do(ctx, q); err != nil {
		_ = c.Close() // the query's error says more
		return rows, err
	}
	n.put(c)
	return rows, nil
}

// Patterns of the statements that the clients send and of the exception texts that the dispatcher answers with.
var (
	payloadPattern    = regexp.MustCompile(`row_bytes=`)
	outcomePattern    = regexp.MustCompile(`(refused|failed) \(([A-Z_]+)`)
	retryAfterPattern = regexp.MustCompile(`come back in ([0-9]+) ms`)
)

// nativeOutcome reads the final answer from an Exception. An Exception without an outcome comes from the node, and counts as failed with
// the reason STATEMENT.
func nativeOutcome(err error) outcome {
	if err == nil {
		return outcome{kind: "served"}
	}
	var exception *ch.Exception
	if !errors.As(err, &exception) {
		return outcome{}
	}
	match := outcomePattern.FindStringSubmatch(exception.Message)
	if match == nil {
		return outcome{kind: "failed", reason: "STATEMENT"}
	}
	out := outcome{kind: match[1], reason: match[2]}
	if after := retryAfterPattern.FindStringSubmatch(exception.Message); after != nil {
		ms, _ := strconv.Atoi(after[1]) // the pattern matches digits alone
		out.retryAfter = time.Duration(ms) * time.Millisecond
	}
	return out
}
