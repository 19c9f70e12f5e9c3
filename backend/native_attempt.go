package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"embershunt/dispatch"
	"embershunt/internal/native"
	"embershunt/permit"
	"embershunt/policy"
	"embershunt/session"
)

// nativeConn is one connection to a node's native port. It carries one query at a time.
type nativeConn struct {
	conn      net.Conn
	r         *native.Reader
	w         *bufio.Writer
	key       nativeKey
	idleSince time.Time
}

// nativeKey tells the connections apart that serve a query: a client's revision and database.
type nativeKey struct {
	revision int
	database string
}

// Bounds of the idle connections kept to one node.
const (
	maxNativeIdleConns = 64
	nativeIdleTimeout  = 30 * time.Second
)

// takeNativeIdle takes a kept connection that is still up; nil if there is none. One on which anything has come meanwhile, or
// which the node has closed, is not used.
func (n *node) takeNativeIdle(key nativeKey) *nativeConn {
	for {
		n.mu.Lock()
		var c *nativeConn
		for i := len(n.nativeIdleConns) - 1; i >= 0 && c == nil; i-- { // the latest first: the others may grow old
			if n.nativeIdleConns[i].key == key {
				c = n.nativeIdleConns[i]
				n.nativeIdleConns = append(n.nativeIdleConns[:i], n.nativeIdleConns[i+1:]...)
			}
		}
		n.mu.Unlock()
		if c == nil || time.Since(c.idleSince) < nativeIdleTimeout && reusable(c.conn) {
			return c
		}
		c.conn.Close()
	}
}

// release puts a connection back on which nothing was left unfinished.
func (n *node) releaseNative(c *nativeConn) {
	c.idleSince = time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || len(n.nativeIdleConns) >= maxNativeIdleConns {
		c.conn.Close()
		return
	}
	n.nativeIdleConns = append(n.nativeIdleConns, c)
}

// nativeReady returns a connection that has shaken hands. What fails here was never sent.
func (n *node) nativeReady(ctx context.Context, o *Options, key nativeKey) (*nativeConn, error) {
	if n.nativeAddress == "" {
		return nil, errWrongProtocol
	}
	if c := n.takeNativeIdle(key); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, o.ConnectTimeout)
	defer cancel()
	conn, err := dialTCP(ctx, n.nativeAddress)
	if err != nil {
		return nil, errNotConnected
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	c := &nativeConn{conn: conn, r: native.NewReader(conn, o.MaxFrame), w: bufio.NewWriter(conn), key: key}
	err = c.handshake(o, n)
	if !stop() || err != nil {
		conn.Close()
		return nil, errNotConnected
	}
	return c, nil
}

// NativeRevision is the newest revision of the native protocol that every node speaks, as far as is known; 0 where nothing
// is. Clients are to be held to it: one of a newer revision finds no connection at an older node.
func (f *Fleet) NativeRevision() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	least := int64(0)
	for _, n := range f.nodes { // the least: the order does not matter
		if r := n.nativeRevision.Load(); r > 0 && !n.removed && (least == 0 || r < least) {
			least = r
		}
	}
	return int(least)
}

func (c *nativeConn) handshake(o *Options, n *node) error {
	c.w.Write(native.Hello{Name: "embershunt", Major: 1, Revision: c.key.revision, Database: c.key.database,
		User: o.NativeUser, Password: o.NativePassword}.Encode())
	if err := c.w.Flush(); err != nil {
		return err
	}
	s, err := c.r.ReadServerHello()
	if err != nil {
		return err
	}
	n.nativeRevision.Store(int64(s.Revision))
	if s.Revision < c.key.revision { // packets would have another form than the client's
		return errors.New("the node speaks an older revision")
	}
	if c.key.revision >= native.AddendumFrom {
		c.w.Write(native.PutText(nil, "")) // quota key
	}
	return c.w.Flush()
}

// checkNativeHealth sends a Ping on a connection as queries use it, and waits for its Pong.
func (n *node) checkNativeHealth(ctx context.Context, o *Options) policy.Code {
	key := nativeKey{revision: native.Newest}
	if r := int(n.nativeRevision.Load()); r >= native.Oldest {
		key.revision = min(r, native.Newest)
	}
	c, err := n.nativeReady(ctx, o, key)
	if err != nil {
		return policy.ConnectionRefused
	}
	stop := context.AfterFunc(ctx, func() { c.conn.SetDeadline(time.Unix(1, 0)) })
	c.w.Write([]byte{native.ClientPing})
	err = c.w.Flush()
	var p native.Packet
	if err == nil {
		p, err = c.r.ReadServer(key.revision)
	}
	if stop() && err == nil && p.Code == native.ServerPong {
		n.releaseNative(c)
		return policy.OK
	}
	c.conn.Close()
	if ctx.Err() != nil {
		return policy.TimedOut
	}
	return policy.Failed
}

// nativeAttempt makes an attempt over the ClickHouse native protocol.
type nativeAttempt struct {
	*attempt
	call     *native.Call
	progress readProgress
}

// readProgress is how far a node says it is, and what of that was passed on.
type readProgress struct {
	read, total uint64
	reportedAt  time.Time
}

// progressInterval is the least time between two notes on one attempt.
const progressInterval = 100 * time.Millisecond

// reportProgress passes on the share of its rows that a node has read, where it knows how many there are.
func (t *nativeAttempt) reportProgress(p native.Progress) {
	t.progress.read += p.Rows
	t.progress.total += p.Total
	now := time.Now()
	if t.progress.total == 0 || t.progress.read > t.progress.total || now.Sub(t.progress.reportedAt) < progressInterval {
		return
	}
	t.progress.reportedAt = now
	t.fleet.post.Post(dispatch.PolicyEvent{Event: policy.Progress{ID: t.spec.Query.ID, Attempt: t.spec.Number, Endpoint: t.spec.Node, Kind: policy.FractionDone,
		Value: float64(t.progress.read) / float64(t.progress.total)}})
}

// recordCost adds what a node tells of a query's work and memory; what cannot be read is left out.
func (t *nativeAttempt) recordCost(r *native.Reader, block []byte) {
	p, err := r.ReadProfile(block, t.call.Revision)
	if err != nil {
		return
	}
	t.workMicros += p.WorkUs
	t.neededMB = max(t.neededMB, float64(p.Peak)/1e6)
}

// run implements carrier.
func (t *nativeAttempt) run(ctx context.Context, n *node) (any, error) {
	key := nativeKey{t.call.Revision, t.call.Database}
	c := t.fleet.takeSession(t.call.Session, n, key)
	if c == nil && t.spec.Query.StickyTo != "" && t.call.Session != "" {
		return nil, session.ErrStateMissing
	}
	if c == nil {
		var err error
		if c, err = n.nativeReady(ctx, &t.fleet.options, key); err != nil {
			return nil, err
		}
	}
	if t.checkSendPermitted(ctx, n) != permit.Permitted { // the connection may have taken long to come up
		t.releaseConn(n, c)
		return nil, errNeverSent
	}
	stop := context.AfterFunc(ctx, func() { c.conn.SetDeadline(time.Unix(1, 0)) })
	t.unsent = true
	clean, result, err := t.exchange(ctx, c)
	if !stop() || !clean {
		t.abandon(c)
	} else {
		t.releaseConn(n, c)
	}
	return result, err
}

// releaseConn keeps a connection on which nothing is open.
func (t *nativeAttempt) releaseConn(n *node, c *nativeConn) {
	if t.call.Session != "" {
		t.fleet.cacheSession(t.call.Session, n, c)
	} else {
		n.releaseNative(c)
	}
}

// sessionConn is the connection to a node on which a session's state lives.
type sessionConn struct {
	node *node
	conn *nativeConn
}

// takeSession takes a session's connection, if it is still up; nil where there is none.
func (f *Fleet) takeSession(name string, n *node, key nativeKey) *nativeConn {
	if name == "" {
		return nil
	}
	f.mu.Lock()
	s := f.sessionConns[name]
	delete(f.sessionConns, name)
	f.mu.Unlock()
	if s == nil {
		return nil
	}
	if s.node != n || s.conn.key.revision != key.revision || !reusable(s.conn.conn) {
		s.conn.conn.Close()
		return nil
	}
	return s.conn
}

// cacheSession keeps a session's connection for its next statement.
func (f *Fleet) cacheSession(name string, n *node, c *nativeConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx.Err() != nil || f.nodes[n.id] != n {
		c.conn.Close()
		return
	}
	f.sessionConns[name] = &sessionConn{n, c}
}

// dropSession closes a session's connection, which ends all that lives on it; false where there is none.
func (f *Fleet) dropSession(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sessionConns[name]
	if s != nil {
		s.conn.conn.Close()
		delete(f.sessionConns, name)
	}
	return s != nil
}

// abandon tells the node that nobody waits any more, as far as that can be done at once, and closes the connection: what is
// left on it would be taken for the next answer.
func (t *nativeAttempt) abandon(c *nativeConn) {
	c.conn.SetDeadline(time.Now().Add(20 * time.Millisecond))
	c.conn.Write(native.PutUvarint(nil, native.ClientCancel))
	c.conn.Close()
}

// query is what goes to the node: the client's, with the module's terms as settings.
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
		// 1 is the most urgent there, 0 means none; the module's 3 is its most urgent.
		set("priority", strconv.Itoa(4-t.spec.Priority))
		if t.spec.MemoryMB > 0 {
			set("max_memory_usage", strconv.FormatInt(int64(t.spec.MemoryMB*1e6), 10))
		}
	}
	return q
}

// maxHeldBytes bounds the packets kept back until the first rows, in bytes.
const maxHeldBytes = 256 << 10

// exchange sends the query and passes its answer on; clean tells that the connection may serve another one.
func (t *nativeAttempt) exchange(ctx context.Context, c *nativeConn) (clean bool, result any, err error) {
	c.r.Packed = t.call.Query.Compression
	// An INSERT does nothing before its rows are there, and what is asked for a sample never gets any.
	t.unsent = t.call.Data != nil || t.call.Sample
	c.w.Write(t.query().Encode(t.call.Revision))
	c.w.Write(t.call.Tables)
	if err := c.w.Flush(); err != nil {
		return false, nil, err
	}
	if t.call.Data != nil || t.call.Sample {
		sample, err := t.readSample(ctx, c)
		if err != nil {
			var e *native.Exception
			return errors.As(err, &e), nil, err
		}
		if t.call.Sample && t.call.Session != "" { // state lives on the connection: the INSERT ends without a row
			raw := bytes.Clone(sample.Raw)
			end := native.EndOfData()
			if c.r.Packed {
				end = native.EndOfDataPacked()
			}
			c.w.Write(end)
			if err := c.w.Flush(); err != nil {
				return false, nil, err
			}
			clean, _, err := t.forwardAnswer(ctx, c)
			return clean, raw, err
		}
		if t.call.Sample { // the node is left waiting for rows, so that the connection ends here
			return false, bytes.Clone(sample.Raw), nil
		}
	}
	var upload errgroup.Group
	if t.call.Data != nil {
		t.unsent = false
		upload.Go(func() error { return t.upload(c) })
	}
	clean, result, err = t.forwardAnswer(ctx, c)
	if t.call.Data != nil {
		if !clean || err != nil { // the node has spoken: what it has not taken by now it does not want
			c.conn.SetWriteDeadline(time.Unix(1, 0))
		}
		if failed := upload.Wait(); failed != nil {
			clean = false
			if err == nil {
				err = failed
			}
		}
		c.conn.SetWriteDeadline(time.Time{})
	}
	return clean, result, err
}

// sampleConnectTimeouts is how long a node may take to tell which columns an INSERT takes, in connect time-outs: that is no work,
// and nothing has run yet, so that a silent node is as one that is not connected.
const sampleConnectTimeouts = 4

// readSample reads up to the block that tells which columns an INSERT takes.
func (t *nativeAttempt) readSample(ctx context.Context, c *nativeConn) (p native.Packet, err error) {
	c.conn.SetReadDeadline(time.Now().Add(sampleConnectTimeouts * t.fleet.options.ConnectTimeout))
	defer func() {
		if c.conn.SetReadDeadline(time.Time{}); ctx.Err() != nil { // the attempt's end may have set one of its own
			err = context.Cause(ctx)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = errNotConnected
		}
	}()
	for {
		p, err = c.r.ReadServer(t.call.Revision)
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

// upload writes the rows of an INSERT.
func (t *nativeAttempt) upload(c *nativeConn) error {
	for _, packet := range t.call.Data {
		if _, err := c.w.Write(packet); err != nil {
			return err
		}
	}
	return c.w.Flush()
}

// forwardAnswer passes the node's answer on. One that is there as a whole is the result: it goes out with the final answer, and
// until then another node's may take its place. Of a longer one head and progress are kept back until its first rows are
// there.
func (t *nativeAttempt) forwardAnswer(ctx context.Context, c *nativeConn) (clean bool, result any, err error) {
	held, flows := []byte{}, false
	for {
		p, err := c.r.ReadServer(t.call.Revision)
		if err != nil {
			return false, nil, err
		}
		more := c.r.Buffered()
		switch p.Code {
		case native.ServerProfileEvents:
			t.recordCost(c.r, p.Raw[p.Body:])
			continue
		case native.ServerLog, native.ServerPong, native.ServerTableColumns:
			continue // the node's own affairs
		case native.ServerProgress:
			t.reportProgress(p.Progress)
		case native.ServerException:
			return true, nil, p.Exception
		case native.ServerEndOfStream:
			if flows {
				return true, nil, nil
			}
			return true, held, nil
		}
		if !flows {
			held = append(held, p.Raw...)
			if len(held) <= maxHeldBytes && (more || p.Code != native.ServerData || p.Block.Rows == 0) {
				continue
			}
			if flows = true; t.awaitForward(ctx) != nil {
				return false, nil, context.Cause(ctx)
			}
			p.Raw, held = held, nil
		}
		if err := t.call.Sink.Pass(p.Raw, more); err != nil {
			return false, nil, err
		}
	}
}

// cleanUp implements carrier.
func (t *nativeAttempt) cleanUp() {}

// Exceptions that are no word on the statement (ErrorCodes.cpp of ClickHouse): another node may fare better.
var nodeExceptions = map[int32]bool{159: true, 173: true, 198: true, 203: true, 209: true, 210: true, 236: true, 241: true,
	243: true, 279: true, 285: true, 394: true, 425: true, 439: true, 473: true, 999: true, 1000: true, 1001: true, 1002: true}

// tooManyQueries is the exception that proves that nothing ran (TOO_MANY_SIMULTANEOUS_QUERIES).
const tooManyQueries = 202

// classify implements carrier.
func (t *nativeAttempt) classify(err error) (code policy.Code, rejected bool) {
	var e *native.Exception
	var form *native.FormatError
	switch {
	case errors.As(err, &e) && e.Code == tooManyQueries:
		return policy.Rejected, false
	case errors.As(err, &e) && !nodeExceptions[e.Code]:
		return policy.Failed, true
	case t.unsent:
		return policy.ConnectionRefused, false
	case errors.As(err, &e):
		return policy.Failed, false
	case errors.As(err, &form):
		return policy.Failed, false
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return policy.ConnectionReset, false
	}
	var op *net.OpError
	if errors.As(err, &op) {
		return policy.ConnectionReset, false
	}
	return policy.Failed, false
}
