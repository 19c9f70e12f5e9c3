// Package clickhouse is the frontend for the ClickHouse native protocol over TCP (docs/design-native.md names the subset
// that is served). It turns a client's query into one dispatch.Query and writes the one final answer; blocks are forwarded
// as bytes.
//
// A connection's states, the events of its client and what each means are the table in state.go; what a client's statements
// leave on its connection is in session.go. Both are free of I/O.
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

// Defaults of Options.
const (
	defaultMaxPacketBytes         = 16 << 20
	defaultHelloTimeout           = 5 * time.Second
	defaultMaxConns               = 20000
	defaultMaxInsertBytes         = 64 << 20
	defaultMaxBufferedInsertBytes = 512 << 20
	defaultSampleLife             = 5 * time.Minute
	defaultMaxSamples             = 4096
)

// Options are the frontend's settings; zero values mean the defaults.
type Options struct {
	Log                    *slog.Logger           // nil: nothing is logged
	Auth                   frontend.Authenticator // checks the name and password of a Hello
	MaxPacketBytes         int                    // bytes; default 16 MiB
	HelloTimeout           time.Duration          // a connection without a complete Hello by then is closed; default 5 s
	MaxConns               int                    // further connections are closed at once; default 20000
	MaxInsertBytes         int                    // rows and external tables of one query; default 64 MiB
	MaxBufferedInsertBytes int                    // those of all queries together; default 512 MiB
	Sessions               *frontend.Sessions     // nil: temporary tables are not served
	Revision               func() int             // the newest that all nodes speak; 0: not known; nil: the newest there is
	SampleTTL              time.Duration          // how long the columns of an INSERT are cached; default 5 min
	MaxSamples             int                    // INSERT statements whose columns are cached; default 4096
}

// setDefaults replaces zero values.
func (o *Options) setDefaults() {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	o.MaxPacketBytes = cmp.Or(o.MaxPacketBytes, defaultMaxPacketBytes)
	o.HelloTimeout = cmp.Or(o.HelloTimeout, defaultHelloTimeout)
	o.MaxConns = cmp.Or(o.MaxConns, defaultMaxConns)
	o.MaxInsertBytes = cmp.Or(o.MaxInsertBytes, defaultMaxInsertBytes)
	o.MaxBufferedInsertBytes = cmp.Or(o.MaxBufferedInsertBytes, defaultMaxBufferedInsertBytes)
	o.SampleTTL = cmp.Or(o.SampleTTL, defaultSampleLife)
	o.MaxSamples = cmp.Or(o.MaxSamples, defaultMaxSamples)
}

// Front serves the protocol on a listener.
type Front struct {
	options  Options
	intake   *frontend.Intake
	payloads payloadAccount
	samples  *frontend.Cache // columns of INSERT statements, as the packets that a node answered with

	mu         sync.Mutex
	conns      map[net.Conn]bool
	connClosed chan struct{} // closed, and replaced, whenever a connection has ended
}

// New returns a frontend that submits its queries to an intake.
func New(o Options, intake *frontend.Intake) *Front {
	o.setDefaults()
	return &Front{options: o, intake: intake, conns: map[net.Conn]bool{}, connClosed: make(chan struct{}),
		samples: frontend.NewCache(o.MaxSamples, o.SampleTTL), payloads: newPayloadAccount(o.MaxInsertBytes, o.MaxBufferedInsertBytes)}
}

// Serve accepts connections until ctx ends or the listener fails, and returns when all of them are closed.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return l.Close()
	})
	group.Go(func() error { return f.accept(ctx, l, group) })
	return group.Wait()
}

// accept starts one goroutine of the group for each connection. A failure of one connection is no failure of the group.
func (f *Front) accept(ctx context.Context, l net.Listener, group *errgroup.Group) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if !f.addConn(conn) {
			_ = conn.Close() // nothing was written, and no Exception could say why: a native client expects a Hello first
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

// addConn registers a connection; false: there are as many as allowed.
func (f *Front) addConn(conn net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.conns) >= f.options.MaxConns {
		return false
	}
	f.conns[conn] = true
	return true
}

// closeConn closes a connection and notifies AwaitConns.
func (f *Front) closeConn(conn net.Conn) {
	_ = conn.Close() // what was to be written is written, or failed before
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, conn)
	close(f.connClosed)
	f.connClosed = make(chan struct{})
}

// AwaitConns returns when at most maxConns connections are open, or with the context's error.
func (f *Front) AwaitConns(ctx context.Context, maxConns int) error {
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

// Conns is the number of open connections.
func (f *Front) Conns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// BufferedInserts returns the bytes of clients' rows and external tables that are buffered, and how many queries were rejected
// because they alone brought too much (large), or because all of them together would have (full).
func (f *Front) BufferedInserts() (bytes int64, large, full uint64) { return f.payloads.usage() }
