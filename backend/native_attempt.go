package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"embershunt/internal/native"
	"embershunt/permit"
	"embershunt/policy"
	"embershunt/session"
)

// nativeAttempt makes an attempt over the ClickHouse native protocol.
type nativeAttempt struct {
	*attempt
	call     *native.Call
	progress readProgress
}

// run implements protocolAttempt.
func (t *nativeAttempt) run(ctx context.Context, n *node) (any, error) {
	c, err := t.acquireConn(ctx, n)
	if err != nil {
		return nil, err
	}
	if t.checkSendPermitted(ctx, n) != permit.Permitted { // establishing the connection may have taken long
		t.releaseConn(n, c)
		return nil, errNeverSent
	}
	stop := interruptOnDone(ctx, c.conn)
	clean, result, err := t.exchange(ctx, c)
	if !stop() || !clean {
		c.abandon()
	} else {
		t.releaseConn(n, c)
	}
	return result, err
}

// acquireConn returns the connection with the session's state, or any other where there is none to be had.
func (t *nativeAttempt) acquireConn(ctx context.Context, n *node) (*nativeConn, error) {
	key := nativeKey{t.call.Revision, t.call.Database}
	if c := t.fleet.takeSessionConn(t.call.Session, n, key); c != nil {
		return c, nil
	}
	if t.spec.Query.StickyTo != "" && t.call.Session != "" {
		return nil, session.ErrStateMissing
	}
	return n.acquireNativeConn(ctx, &t.fleet.options, key)
}

// releaseConn returns a connection on which nothing is open to its session or to the pool.
func (t *nativeAttempt) releaseConn(n *node, c *nativeConn) {
	if t.call.Session != "" {
		t.fleet.cacheSessionConn(t.call.Session, n, c)
	} else {
		n.releaseNativeConn(c)
	}
}

// cleanUp implements protocolAttempt.
func (t *nativeAttempt) cleanUp() {}

// query is what goes to the node: the client's query, with the resources granted as settings.
func (t *nativeAttempt) query() native.Query {
	q := t.call.Query
	q.ID = t.spec.Query.ID + "-" + strconv.Itoa(t.spec.Number)
	q.Settings = append([]native.Setting(nil), q.Settings...)
	set := func(name, value string) {
		for i := range q.Settings {
			if q.Settings[i].Name == name {
				q.Settings[i].Value = value
				return
			}
		}
		q.Settings = append(q.Settings, native.Setting{Name: name, Value: value})
	}
	if t.spec.HasResources {
		// There 1 is the most urgent and 0 means none; the policy's most urgent is 3.
		set("priority", strconv.Itoa(4-t.spec.Priority))
		if t.spec.MemoryMB > 0 {
			set("max_memory_usage", strconv.FormatInt(int64(t.spec.MemoryMB*1e6), 10))
		}
	}
	return q
}

// exchange sends the query and forwards its answer. clean: the connection may serve another query.
func (t *nativeAttempt) exchange(ctx context.Context, c *nativeConn) (clean bool, result any, err error) {
	c.r.Compressed = t.call.Query.Compression
	// An INSERT does nothing before its rows arrive, and one that is sent for its sample block never gets any.
	t.unsent = t.call.Data != nil || t.call.Sample
	if err := c.sendQuery(t.query().Encode(t.call.Revision), t.call.Tables); err != nil {
		return false, nil, err
	}
	if t.unsent {
		sample, err := t.readSample(ctx, c)
		if err != nil {
			var exception *native.Exception
			return errors.As(err, &exception), nil, err
		}
		if t.call.Sample {
			return t.endSample(ctx, c, sample)
		}
	}
	if t.call.Data == nil {
		return t.forwardAnswer(ctx, c)
	}
	t.unsent = false
	return t.insert(ctx, c)
}

// sampleConnectTimeouts is how long a node may take to send the columns that an INSERT takes, in connect timeouts. That is no work
// and nothing has run yet, so a silent node counts as one that is not connected.
const sampleConnectTimeouts = 4

// readSample reads up to the sample block, which has the columns that an INSERT takes.
func (t *nativeAttempt) readSample(ctx context.Context, c *nativeConn) (p native.Packet, err error) {
	// Deadlines fail only on a closed connection, where the reads fail as well.
	_ = c.conn.SetReadDeadline(time.Now().Add(sampleConnectTimeouts * t.fleet.options.ConnectTimeout))
	defer func() {
		_ = c.conn.SetReadDeadline(time.Time{})
		if ctx.Err() != nil { // the end of the attempt may have set a deadline as well
			err = context.Cause(ctx)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = errNotConnected
		}
	}()
	for {
		p, err = c.readAnswer(t.call.Revision)
		switch {
		case err != nil:
			return p, err
		case p.Code == native.ServerException:
			return p, p.Exception
		case p.Code == native.ServerData:
			return p, nil
		case p.Code == native.ServerEndOfStream:
			return p, &native.Exception{Code: 101, Name: "DB::Exception", Message: "DB::Exception: the node took no rows for the INSERT"}
		}
	}
}

// endSample ends an INSERT that was sent only for its sample block, which is the result. A session's state lives on the connection:
// there the INSERT is ended without a row. Otherwise the node is left waiting for rows, and the connection is closed.
func (t *nativeAttempt) endSample(ctx context.Context, c *nativeConn, sample native.Packet) (clean bool, result any, err error) {
	raw := bytes.Clone(sample.Raw)
	if t.call.Session == "" {
		return false, raw, nil
	}
	end := native.EndOfData()
	if c.r.Compressed {
		end = native.EndOfDataCompressed()
	}
	if err := c.send(end); err != nil {
		return false, nil, err
	}
	clean, _, err = t.forwardAnswer(ctx, c)
	return clean, raw, err
}

// insert writes the rows of an INSERT while its answer is read.
func (t *nativeAttempt) insert(ctx context.Context, c *nativeConn) (clean bool, result any, err error) {
	var upload errgroup.Group
	upload.Go(func() error { return c.send(t.call.Data...) })
	clean, result, err = t.forwardAnswer(ctx, c)
	// Deadlines fail only on a closed connection, where the writes fail as well.
	if !clean || err != nil { // the node has answered: it does not want the rows that it has not taken by now
		_ = c.conn.SetWriteDeadline(expired)
	}
	if failed := upload.Wait(); failed != nil {
		clean = false
		if err == nil {
			err = failed
		}
	}
	_ = c.conn.SetWriteDeadline(time.Time{})
	return clean, result, err
}

// maxHeldBytes bounds the packets held back until the first rows.
const maxHeldBytes = 256 << 10

// forwardAnswer forwards the node's answer. One that arrives complete is the result: it is sent with the final answer, and until then
// the answer of another node may replace it. Of a longer answer the header and progress are held back until its first rows arrive.
func (t *nativeAttempt) forwardAnswer(ctx context.Context, c *nativeConn) (clean bool, result any, err error) {
	held, forwarding := []byte{}, false
	for {
		p, err := c.readAnswer(t.call.Revision)
		if err != nil {
			return false, nil, err
		}
		more := c.r.Buffered()
		switch p.Code {
		case native.ServerProfileEvents:
			t.recordCost(c.r, p.Raw[p.Body:])
			continue
		case native.ServerLog, native.ServerPong, native.ServerTableColumns:
			continue // not for the client
		case native.ServerProgress:
			t.reportProgress(p.Progress)
		case native.ServerException:
			return true, nil, p.Exception
		case native.ServerEndOfStream:
			if forwarding {
				return true, nil, nil
			}
			return true, held, nil
		}
		if !forwarding {
			held = append(held, p.Raw...)
			if len(held) <= maxHeldBytes && (more || p.Code != native.ServerData || p.Block.Rows == 0) {
				continue
			}
			if forwarding = true; t.awaitForward(ctx) != nil {
				return false, nil, context.Cause(ctx)
			}
			p.Raw, held = held, nil
		}
		if err := t.call.Sink.Pass(p.Raw, more); err != nil {
			return false, nil, err
		}
	}
}

// nodeExceptions are the exceptions that are about the node and not about the statement (ErrorCodes.cpp of ClickHouse): another node
// may succeed.
var nodeExceptions = map[int32]bool{159: true, 173: true, 198: true, 203: true, 209: true, 210: true, 236: true, 241: true,
	243: true, 279: true, 285: true, 394: true, 425: true, 439: true, 473: true, 999: true, 1000: true, 1001: true, 1002: true}

// tooManyQueries is the exception that proves that nothing ran (TOO_MANY_SIMULTANEOUS_QUERIES).
const tooManyQueries = 202

// classify implements protocolAttempt.
func (t *nativeAttempt) classify(err error) (code policy.Code, rejected bool) {
	var exception *native.Exception
	var format *native.FormatError
	var op *net.OpError
	switch {
	case errors.As(err, &exception) && exception.Code == tooManyQueries:
		return policy.Rejected, false
	case errors.As(err, &exception) && !nodeExceptions[exception.Code]:
		return policy.Failed, true
	case t.unsent:
		return policy.ConnectionRefused, false
	case errors.As(err, &exception), errors.As(err, &format):
		return policy.Failed, false
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &op):
		return policy.ConnectionReset, false
	}
	return policy.Failed, false
}
