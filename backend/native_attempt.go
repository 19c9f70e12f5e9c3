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

// nativeAttempt carries out an attempt over the ClickHouse native protocol.
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
	reusable, result, err := t.exchange(ctx, c)
	if !stop() || !reusable {
		c.cancelAndClose()
	} else {
		t.releaseConn(n, c)
	}
	return result, err
}

// acquireConn returns the connection that has the session's state, or another connection to the node if there is none. It returns
// session.ErrStateMissing if the statement needs that state.
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

// releaseConn returns a connection without an unfinished answer to its session or to the pool.
func (t *nativeAttempt) releaseConn(n *node, c *nativeConn) {
	if t.call.Session != "" {
		t.fleet.cacheSessionConn(t.call.Session, n, c)
	} else {
		n.releaseNativeConn(c)
	}
}

// cleanUp implements protocolAttempt.
func (t *nativeAttempt) cleanUp() {}

// query returns the query that is sent to the node: the client's query with an id of this attempt, and with the granted resources as
// settings.
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
		// In ClickHouse 1 is the highest priority and 0 turns priorities off; in the policy 3 is the highest.
		set("priority", strconv.Itoa(4-t.spec.Priority))
		if t.spec.MemoryMB > 0 {
			set("max_memory_usage", strconv.FormatInt(int64(t.spec.MemoryMB*1e6), 10))
		}
	}
	return q
}

// exchange sends the query and forwards its answer. reusable tells whether the connection may serve another query.
func (t *nativeAttempt) exchange(ctx context.Context, c *nativeConn) (reusable bool, result any, err error) {
	c.r.Compressed = t.call.Query.Compression
	// An INSERT runs only once its rows arrive; if it is sent for its sample block alone, none are sent.
	t.unsent = t.call.Data != nil || t.call.Sample
	if err := c.sendQuery(t.query().Encode(t.call.Revision), t.call.Tables); err != nil {
		return false, nil, err
	}
	if t.unsent {
		sample, err := t.readSampleBlock(ctx, c)
		if err != nil {
			var exception *native.Exception
			return errors.As(err, &exception), nil, err
		}
		if t.call.Sample {
			return t.endSampleInsert(ctx, c, sample)
		}
	}
	if t.call.Data == nil {
		return t.forwardAnswer(ctx, c)
	}
	t.unsent = false
	return t.insert(ctx, c)
}

// sampleTimeoutFactor is how many connect timeouts a node has to send the sample block of an INSERT. The node needs no work for it and
// nothing has run yet, so a node that does not send it counts as not connected.
const sampleTimeoutFactor = 4

// readSampleBlock reads packets up to the sample block, which has the columns that an INSERT takes.
func (t *nativeAttempt) readSampleBlock(ctx context.Context, c *nativeConn) (p native.Packet, err error) {
	// SetReadDeadline fails only on a closed connection, on which the reads fail as well.
	_ = c.conn.SetReadDeadline(time.Now().Add(sampleTimeoutFactor * t.fleet.options.ConnectTimeout))
	defer func() {
		_ = c.conn.SetReadDeadline(time.Time{})
		if ctx.Err() != nil { // the deadline that was exceeded may be that of interruptOnDone
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
			return p, &native.Exception{Code: unexpectedPacketCode, Name: "DB::Exception",
				Message: "DB::Exception: the node took no rows for the INSERT"}
		}
	}
}

// endSampleInsert ends an INSERT that was sent only for its sample block, and returns the block as the result. A session's connection
// has the session's state and must stay open: there the INSERT is ended without rows. Any other connection is closed while the node
// waits for rows.
func (t *nativeAttempt) endSampleInsert(ctx context.Context, c *nativeConn, sample native.Packet) (reusable bool, result any, err error) {
	raw := bytes.Clone(sample.Raw)
	if t.call.Session == "" {
		return false, raw, nil
	}
	end := native.EmptyDataPacket()
	if c.r.Compressed {
		end = native.CompressedEmptyDataPacket()
	}
	if err := c.send(end); err != nil {
		return false, nil, err
	}
	reusable, _, err = t.forwardAnswer(ctx, c)
	return reusable, raw, err
}

// insert writes the rows of an INSERT and at the same time forwards its answer.
func (t *nativeAttempt) insert(ctx context.Context, c *nativeConn) (reusable bool, result any, err error) {
	var upload errgroup.Group
	upload.Go(func() error { return c.send(t.call.Data...) })
	reusable, result, err = t.forwardAnswer(ctx, c)
	// SetWriteDeadline fails only on a closed connection, on which the writes fail as well.
	if !reusable || err != nil { // the answer has failed: the rows that are not written yet are of no use
		_ = c.conn.SetWriteDeadline(pastDeadline)
	}
	if uploadErr := upload.Wait(); uploadErr != nil {
		reusable = false
		if err == nil {
			err = uploadErr
		}
	}
	_ = c.conn.SetWriteDeadline(time.Time{})
	return reusable, result, err
}

// maxBufferedBytes limits the packets that are buffered until the first rows arrive; beyond it they are forwarded.
const maxBufferedBytes = 256 << 10

// forwardAnswer forwards the node's answer. It buffers the packets until the first rows have arrived. An answer that ends before
// it was forwarded is the result: it is sent with the final answer, and until then the answer of another node may replace it.
func (t *nativeAttempt) forwardAnswer(ctx context.Context, c *nativeConn) (reusable bool, result any, err error) {
	buffered, forwarding := []byte{}, false
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
			return true, buffered, nil
		}
		if !forwarding {
			buffered = append(buffered, p.Raw...)
			if len(buffered) <= maxBufferedBytes && (more || p.Code != native.ServerData || p.Block.Rows == 0) {
				continue
			}
			if forwarding = true; t.awaitForward(ctx) != nil {
				return false, nil, context.Cause(ctx)
			}
			p.Raw, buffered = buffered, nil
		}
		if err := t.call.Sink.Forward(p.Raw, more); err != nil {
			return false, nil, err
		}
	}
}

// nodeExceptionCodes are the codes of exceptions that concern the node and not the statement (ErrorCodes.cpp of ClickHouse): another
// node may succeed.
var nodeExceptionCodes = map[int32]bool{
	159:  true, // TIMEOUT_EXCEEDED
	173:  true, // CANNOT_ALLOCATE_MEMORY
	198:  true, // DNS_ERROR
	203:  true, // NO_FREE_CONNECTION
	209:  true, // SOCKET_TIMEOUT
	210:  true, // NETWORK_ERROR
	236:  true, // ABORTED
	241:  true, // MEMORY_LIMIT_EXCEEDED
	243:  true, // NOT_ENOUGH_SPACE
	279:  true, // ALL_CONNECTION_TRIES_FAILED
	285:  true, // TOO_FEW_LIVE_REPLICAS
	394:  true, // QUERY_WAS_CANCELLED
	425:  true, // SYSTEM_ERROR
	439:  true, // CANNOT_SCHEDULE_TASK
	473:  true, // DEADLOCK_AVOIDED
	999:  true, // KEEPER_EXCEPTION
	1000: true, // POCO_EXCEPTION
	1001: true, // STD_EXCEPTION
	1002: true, // UNKNOWN_EXCEPTION
}

// Codes of single exceptions (ErrorCodes.cpp of ClickHouse).
const (
	unexpectedPacketCode = 101 // UNEXPECTED_PACKET_FROM_CLIENT
	tooManyQueriesCode   = 202 // TOO_MANY_SIMULTANEOUS_QUERIES: proves that nothing ran
)

// classify implements protocolAttempt.
func (t *nativeAttempt) classify(err error) (code policy.Code, rejected bool) {
	var exception *native.Exception
	var format *native.FormatError
	var opErr *net.OpError
	switch {
	case errors.As(err, &exception) && exception.Code == tooManyQueriesCode:
		return policy.Rejected, false
	case errors.As(err, &exception) && !nodeExceptionCodes[exception.Code]:
		return policy.Failed, true
	case t.unsent:
		return policy.ConnectionRefused, false
	case errors.As(err, &exception), errors.As(err, &format):
		return policy.Failed, false
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &opErr):
		return policy.ConnectionReset, false
	}
	return policy.Failed, false
}
