package clickhouse

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"embershunt/classify"
	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/internal/native"
)

// insert runs an INSERT whose rows come from the client. First it sends the client the table's columns, from the cache or from a
// node, then it buffers the client's rows until they are complete, and only then it submits the query. So a stalled client keeps
// no node waiting, and a retry has the rows.
func (c *connection) insert(ctx context.Context, call frontend.Call) error {
	remaining, err := c.frontend.intake.Deadline(call)
	if err != nil {
		return c.finish(dispatch.Outcome{}, completed, err)
	}
	deadline := time.Now().Add(remaining)
	nativeCall := call.Payload.(*native.Call)
	key := sampleKey(nativeCall, c.hello.User) + c.session.stickyID()
	sample, ok := c.frontend.samples.Get(key, time.Now())
	if !ok {
		v, end, err := c.executeSample(ctx, call, *nativeCall)
		if end != completed || err != nil || v.Kind != dispatch.Served {
			return c.finish(v, end, err)
		}
		sample = v.Result.([]byte)
		c.frontend.samples.Put(key, sample, time.Now())
	}
	if err := c.write(sample); err != nil {
		return err
	}
	end, err := c.readRows(ctx, nativeCall, deadline)
	if end != completed {
		return c.finish(dispatch.Outcome{}, end, err)
	}
	call.Remaining = max(time.Until(deadline), time.Millisecond)
	v, end, err := c.execute(ctx, call)
	if v.Reason == dispatch.ReasonStatement { // the cached columns may be outdated
		c.frontend.samples.Delete(key)
	}
	return c.finish(v, end, err)
}

// executeSample requests the columns of an INSERT from a node. Nothing is inserted.
func (c *connection) executeSample(ctx context.Context, call frontend.Call, nativeCall native.Call) (dispatch.Outcome, ending, error) {
	nativeCall.Sample = true
	call.Payload, call.Facts.DescribeOnly = &nativeCall, true
	return c.execute(ctx, call)
}

var errClientStalled = errors.New("the rows of an INSERT did not arrive before its deadline")

// readRows reads the client's rows into nativeCall, up to the empty block that ends them.
func (c *connection) readRows(ctx context.Context, nativeCall *native.Call, deadline time.Time) (ending, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		c.readAhead()
		select {
		case <-ctx.Done():
			return clientDisconnected, nil
		case <-timer.C:
			c.reject(codeTimeoutExceeded, "refused (CLIENT_STALLED): the rows of the INSERT did not come before its deadline; nothing was sent, trying again does no harm")
			return clientDisconnected, errClientStalled
		case r := <-c.requests:
			if done, end, err := c.handleWhileReadingRows(r, nativeCall); done {
				return end, err
			}
		}
	}
}

// handleWhileReadingRows handles a packet of a client whose INSERT waits for rows. done means that no more packets are needed.
func (c *connection) handleWhileReadingRows(r request, nativeCall *native.Call) (done bool, end ending, err error) {
	c.readingAhead = false
	switch actions[awaitingRows][r.event()] {
	case bufferRows:
		nativeCall.Data = append(nativeCall.Data, r.data)
		return r.block.IsEnd(), completed, nil
	case answerPing:
		if err := c.write([]byte{native.ServerPong}); err != nil {
			return true, clientDisconnected, err
		}
		return false, completed, nil
	case cancelQuery:
		nativeCall.Data = nil
		return true, cancelled, nil
	case rejectUnreadable:
		c.rejectUnreadable(r.err)
		return true, clientDisconnected, r.err
	default:
		err := fmt.Errorf("unexpected packet %d among the rows of an INSERT", r.code)
		c.reject(codeUnexpectedPacket, err.Error())
		return true, clientDisconnected, err
	}
}

// sampleKey returns the cache key of an INSERT's columns: everything that they and their encoding depend on, except for the session.
func sampleKey(w *native.Call, user string) string {
	return strings.Join([]string{user, w.Database, strconv.Itoa(w.Revision), strconv.FormatBool(w.Query.Compression),
		classify.StripComments(w.Query.Text)}, "\x00")
}
