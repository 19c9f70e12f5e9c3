// Package clickhouse is the frontend for the ClickHouse native protocol over TCP. docs/design-native.md describes the supported
// subset. The frontend turns each query of a client into one dispatch.Query and writes its one final answer; blocks are
// forwarded as bytes.
//
// The state machine of a connection is the table in state.go. The state that a client's statements leave on its connection is
// in session.go. Neither file does any I/O.
package clickhouse

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"embershunt/frontend"
)

// Default values of Options.
const (
	defaultMaxPacketBytes         = 16 << 20
	defaultHelloTimeout           = 5 * time.Second
	defaultMaxConns               = 20000
	defaultMaxInsertBytes         = 64 << 20
	defaultMaxBufferedInsertBytes = 512 << 20
	defaultSampleTTL              = 5 * time.Minute
	defaultMaxSamples             = 4096
)

// Options holds the frontend's settings. A zero value stands for the default.
type Options struct {
	Log                    *slog.Logger           // nil: nothing is logged
	Auth                   frontend.Authenticator // checks the name and password of a Hello
	MaxPacketBytes         int                    // limit of a client's packet; default 16 MiB
	HelloTimeout           time.Duration          // a connection that sends no complete Hello in this time is closed; default 5 s
	MaxConns               int                    // further connections are closed at once; default 20000
	MaxInsertBytes         int                    // limit of one query's rows and external tables; default 64 MiB
	MaxBufferedInsertBytes int                    // limit of the rows and external tables of all queries; default 512 MiB
	Sessions               *frontend.Sessions     // nil: temporary tables are not served
	Revision               func() int             // newest revision that all nodes speak, 0 if unknown; nil: native.NewestRevision
	SampleTTL              time.Duration          // how long the columns of an INSERT are cached; default 5 min
	MaxSamples             int                    // number of INSERT statements whose columns are cached; default 4096
}

// setDefaults replaces zero values by the defaults.
func (o *Options) setDefaults() {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	o.MaxPacketBytes = cmp.Or(o.MaxPacketBytes, defaultMaxPacketBytes)
	o.HelloTimeout = cmp.Or(o.HelloTimeout, defaultHelloTimeout)
	o.MaxConns = cmp.Or(o.MaxConns, defaultMaxConns)
	o.MaxInsertBytes = cmp.Or(o.MaxInsertBytes, defaultMaxInsertBytes)
	o.MaxBufferedInsertBytes = cmp.Or(o.MaxBufferedInsertBytes, defaultMaxBufferedInsertBytes)
	o.SampleTTL = cmp.Or(o.SampleTTL, defaultSampleTTL)
	o.MaxSamples = cmp.Or(o.MaxSamples, defaultMaxSamples)
}

// Frontend serves the protocol on a listener.
type Frontend struct {
	options  Options
	intake   *frontend.Intake
	payloads payloadAccount
	samples  *frontend.AnswerCache // columns of INSERT statements, as the packets that a node sent

	mu         sync.Mutex
	conns      map[net.Conn]bool
	connClosed chan struct{} // closed and replaced whenever a connection closes
}

// New returns a frontend that submits its queries to the given intake.
func New(o Options, intake *frontend.Intake) *Frontend {
	o.setDefaults()
	return &Frontend{options: o, intake: intake, conns: map[net.Conn]bool{}, connClosed: make(chan struct{}),
		samples:  frontend.NewAnswerCache(o.MaxSamples, o.SampleTTL),
		payloads: newPayloadAccount(o.MaxInsertBytes, o.MaxBufferedInsertBytes)}
}

// Serve accepts connections until ctx ends or the listener fails, and returns when all connections are closed.
func (f *Frontend) Serve(ctx context.Context, l net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return l.Close()
	})
	group.Go(func() error { return f.accept(ctx, l, group) })
	return group.Wait()
}

// accept starts a goroutine of the group for each connection. A failed connection doesn't fail the group.
func (f *Frontend) accept(ctx context.Context, l net.Listener, group *errgroup.Group) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if !f.addConn(conn) {
			_ = conn.Close() // without an Exception: a native client expects a Hello first
			continue
		}
		group.Go(func() error {
			defer f.closeConn(conn)
			if err := newConnection(f, conn).serve(ctx); err != nil {
				f.options.Log.Debug("native connection ended", "client", conn.RemoteAddr(), "error", err)
			}
			return nil
		})
	}
}

// addConn registers a connection. It returns false if MaxConns connections are open already.
func (f *Frontend) addConn(conn net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.conns) >= f.options.MaxConns {
		return false
	}
	f.conns[conn] = true
	return true
}

// closeConn closes a connection and notifies AwaitConns.
func (f *Frontend) closeConn(conn net.Conn) {
	_ = conn.Close() // every write has been flushed or has failed already
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, conn)
	close(f.connClosed)
	f.connClosed = make(chan struct{})
}

// AwaitConns waits until at most maxConns connections are open, or returns the context's error.
func (f *Frontend) AwaitConns(ctx context.Context, maxConns int) error {
	for {
		f.mu.Lock()
		n, connClosed := len(f.conns), f.connClosed
		f.mu.Unlock()
		if n <= maxConns {
			return nil
		}
		select {
		case <-connClosed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Conns returns the number of open connections.
func (f *Frontend) Conns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// BufferedInserts returns the buffered bytes of clients' rows and external tables, the number of queries that were rejected
// because they exceeded MaxInsertBytes (large), and of those that were rejected because too many bytes of all queries were
// buffered (full).
func (f *Frontend) BufferedInserts() (bytes int64, large, full uint64) { return f.payloads.usage() }
