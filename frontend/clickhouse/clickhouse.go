// Package clickhouse is the front for the ClickHouse native protocol over TCP (docs/design-native.md has the subset). It
// turns a client's query into one dispatch.Query and hands back the one final answer; blocks pass as bytes.
package clickhouse

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/status"

	"embershunt/classify"
	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/internal/native"
	"embershunt/nodelist"
)

// Options are the front's settings; zero values mean the defaults.
type Options struct {
	Log         *slog.Logger
	Auth        frontend.Authenticator
	MaxPacket   int           // bytes; default 16 MiB
	HelloWithin time.Duration // a client that has not shaken hands by then is closed; default 5 s
	MaxConns    int           // default 20000
	MaxInsertBytes  int           // bytes that one query may bring as rows and external tables; default 64 MiB
	MaxBufferedInsertBytes int           // bytes of all of them together; default 512 MiB
	Sessions    *frontend.Sessions
	Revision    func() int    // the newest that all nodes speak; 0: not known; nil: the newest there is
	SampleLife  time.Duration // how long the columns of an INSERT are cached; default 5 min
	MaxSamples  int           // statements cached; default 4096
}

// Front serves the protocol on a listener.
type Front struct {
	opt     Options
	desk    *frontend.Intake
	store   store
	samples *frontend.Cache

	mu    sync.Mutex
	conns map[net.Conn]bool
	left  chan struct{} // closed when one has ended
}

// New returns a front that hands its queries over at a desk.
func New(o Options, d *frontend.Intake) *Front {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.MaxPacket == 0 {
		o.MaxPacket = 16 << 20
	}
	if o.HelloWithin == 0 {
		o.HelloWithin = 5 * time.Second
	}
	if o.MaxConns == 0 {
		o.MaxConns = 20000
	}
	if o.MaxInsertBytes == 0 {
		o.MaxInsertBytes = 64 << 20
	}
	if o.MaxBufferedInsertBytes == 0 {
		o.MaxBufferedInsertBytes = 512 << 20
	}
	if o.SampleLife == 0 {
		o.SampleLife = 5 * time.Minute
	}
	if o.MaxSamples == 0 {
		o.MaxSamples = 4096
	}
	return &Front{opt: o, desk: d, conns: map[net.Conn]bool{}, left: make(chan struct{}), samples: frontend.NewCache(o.MaxSamples, o.SampleLife),
		store: store{books: dispatch.NewPayloadBudget(int64(o.MaxInsertBytes), int64(o.MaxBufferedInsertBytes)), begin: time.Now()}}
}

// Serve takes connections until ctx ends or the listener fails, and returns when all of them are closed.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return l.Close()
	})
	group.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				return err
			}
			if !f.enter(conn) {
				conn.Close() // no room to say why: a native client waits for a Hello first
				continue
			}
			group.Go(func() error {
				defer f.leave(conn)
				s := &client{front: f, conn: conn, r: native.NewReaderSize(conn, f.opt.MaxPacket, idleBuffer), out: bufio.NewWriterSize(conn, idleBuffer)}
				if err := s.serve(ctx); err != nil {
					f.opt.Log.Debug("native connection ended", "client", conn.RemoteAddr(), "error", err)
				}
				return nil
			})
		}
	})
	return group.Wait()
}

func (f *Front) enter(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.conns) >= f.opt.MaxConns {
		return false
	}
	f.conns[c] = true
	return true
}

func (f *Front) leave(c net.Conn) {
	c.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
	close(f.left)
	f.left = make(chan struct{})
}

// AwaitConns returns when no more than so many connections are open, or with the context's error.
func (f *Front) AwaitConns(ctx context.Context, most int) error {
	for {
		f.mu.Lock()
		n, left := len(f.conns), f.left
		f.mu.Unlock()
		if n <= most {
			return nil
		}
		select {
		case <-left:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// idleBuffer is the size of each of a connection's two buffers: thousands of clients hold theirs without asking anything, and
// what is larger passes them by.
const idleBuffer = 4 << 10

// Conns is the number of open connections.
func (f *Front) Conns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// client is one connection of a client.
type client struct {
	front    *Front
	conn     net.Conn
	r        *native.Reader
	revision int
	hello    native.Hello
	life     connection
	steps    chan step // what a read in the background saw
	reading  bool      // there is one
	group    errgroup.Group
	patience *time.Timer
	held     dispatch.PayloadReservation // of the present query's rows and tables; the store's lock guards it

	mu      sync.Mutex // of what is written
	spoke   bool       // the last word may have been an Exception of the front's own
	out     *bufio.Writer
	over    bool // the answer has its end: nothing of it may be written any more
	partial bool // a packet was written in part
}

// step is what the reader saw.
type step struct {
	code   uint64
	query  native.Query
	tables []byte       // of a query: its external tables and the empty block behind them
	data   []byte       // of Data: the packet
	block  native.Block // of Data
	err    error
}

func (s *client) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := s.shake(); err != nil {
		return err
	}
	s.steps = make(chan step, 1)
	err := s.play(ctx)
	s.life.close(s.front.opt.Sessions)
	s.conn.SetReadDeadline(time.Unix(1, 0)) // ends a read in the background
	s.group.Wait()
	if s.spoke {
		s.linger()
	}
	return err
}

// linger lets the client read the last word: closed at once, with bytes unread, the connection would be reset.
func (s *client) linger() {
	if c, ok := s.conn.(*net.TCPConn); ok && c.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerFor))
		io.Copy(io.Discard, io.LimitReader(c, lingerMost))
	}
}

// Bounds of what is read and thrown away behind the last word.
const (
	lingerFor  = 500 * time.Millisecond
	lingerMost = 64 << 20
)

// shake takes the client's Hello and answers it.
func (s *client) shake() (err error) {
	s.conn.SetReadDeadline(time.Now().Add(s.front.opt.HelloWithin))
	if s.hello, err = s.r.ReadHello(); err != nil {
		s.refuse(101, err.Error()) // UNEXPECTED_PACKET_FROM_CLIENT
		return err
	}
	if !s.front.opt.Auth.Check(s.hello.User, s.hello.Password) {
		s.refuse(516, s.hello.User+": Authentication failed: name or password is wrong") // AUTHENTICATION_FAILED
		return errors.New("name or password is wrong")
	}
	newest := native.NewestRevision
	if s.front.opt.Revision != nil {
		if r := s.front.opt.Revision(); r >= native.OldestRevision {
			newest = min(newest, r)
		}
	}
	s.revision = min(s.hello.Revision, newest)
	if err = s.write(native.Server{Name: "embershunt", Major: 1, Revision: newest, Timezone: "UTC", DisplayName: "embershunt"}.Encode()); err != nil {
		return err
	}
	if err = s.r.ReadAddendum(s.revision); err != nil {
		return err
	}
	return s.conn.SetReadDeadline(time.Time{})
}

func (s *client) write(b []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.out.Write(b); err != nil {
		return err
	}
	return s.out.Flush()
}

// refuse writes an Exception of the front's own.
func (s *client) refuse(code int32, text string) {
	s.spoke = true
	s.write((&native.Exception{Code: code, Name: "DB::Exception", Message: "DB::Exception: " + text}).Encode())
}

// next is the client's next packet.
func (s *client) next() step {
	if s.reading {
		s.reading = false
		return <-s.steps
	}
	return s.read()
}

// watch reads the client's next packet in the background, so that a cancel and the client's end are seen while a query runs;
// steps gets it.
func (s *client) watch() {
	if s.reading {
		return
	}
	s.reading = true
	s.group.Go(func() error {
		s.steps <- s.read() // there is room: one read at a time
		return nil
	})
}

// read reads one packet.
func (s *client) read() (st step) {
	if st.code, st.err = s.r.ReadClient(); st.err != nil {
		return st
	}
	switch st.code {
	case native.ClientQuery:
		if st.query, st.err = s.r.ReadQuery(s.revision); st.err == nil {
			s.r.Compressed = st.query.Compression
			st.tables, st.err = s.tables()
		}
	case native.ClientData:
		if _, st.block, st.err = s.r.ReadClientData(s.revision); st.err == nil {
			if st.err = s.holds(len(s.r.Raw())); st.err == nil {
				st.data = bytes.Clone(s.r.Raw())
			}
		}
	case native.ClientPing, native.ClientCancel:
	default:
		st.err = fmt.Errorf("packet %d has no place here", st.code)
	}
	return st
}

// holds asks for room for what is read, and gives all of it back once the query is over.
func (s *client) holds(n int) error { return s.front.store.grow(&s.held, n) }

// tables reads the external tables behind a query and the empty block that ends them.
func (s *client) tables() ([]byte, error) {
	var out []byte
	for {
		code, err := s.r.ReadClient()
		if err != nil {
			return nil, err
		}
		if code != native.ClientData {
			return nil, fmt.Errorf("packet %d behind a query: wanted is 2 (Data)", code)
		}
		_, b, err := s.r.ReadClientData(s.revision)
		if err != nil {
			return nil, err
		}
		if !b.End() || len(out) > 0 { // the empty block alone is no matter of room
			if err := s.holds(len(s.r.Raw())); err != nil {
				return nil, err
			}
		}
		if out = append(out, s.r.Raw()...); b.End() {
			return out, nil
		}
	}
}

// play answers what the reader saw, one query at a time.
func (s *client) play(ctx context.Context) error {
	defer s.front.store.release(&s.held)
	for {
		st := s.next()
		switch {
		case errors.Is(st.err, io.EOF):
			return nil
		case st.err != nil:
			if ctx.Err() == nil {
				s.refuseFor(st.err)
			}
			return st.err
		case st.code == native.ClientPing:
			if err := s.write([]byte{native.ServerPong}); err != nil {
				return err
			}
		case st.code == native.ClientData:
			s.refuse(101, "rows that no INSERT waits for")
			return errUnasked
		case st.code == native.ClientQuery:
			err := s.query(ctx, st)
			s.front.store.release(&s.held)
			if err != nil {
				return err
			}
		}
	}
}

var errUnasked = errors.New("rows that no INSERT waits for")

// refuseFor answers what could not be read, or not be held.
func (s *client) refuseFor(err error) {
	var room *dispatch.CapacityError
	switch {
	case errors.As(err, &room) && room.Large:
		s.refuse(241, "refused (QUERY_TOO_LARGE): "+room.Error()) // MEMORY_LIMIT_EXCEEDED
	case errors.As(err, &room):
		s.refuse(202, fmt.Sprintf("refused (%s): %v; trying again does no harm, come back in %d ms", dispatch.ReasonFull, room,
			max(room.RetryAfter/1000, 50)))
	default:
		s.refuse(101, err.Error())
	}
}

// call is a query as the desk takes it.
func (s *client) call(st step) frontend.Call {
	q := st.query
	q.Settings = s.life.replay(q.Settings)
	settings := map[string]string{}
	for _, set := range q.Settings {
		settings[set.Name] = set.Value
	}
	c := frontend.Call{Protocol: nodelist.ClickHouse, Work: &native.Call{Query: q, Revision: s.revision, Database: s.hello.Database,
		Tables: st.tables, Sink: s}}
	c.Facts = classify.Facts{User: s.hello.User, Statement: q.Text, Command: "native.Query", Token: settings["insert_deduplication_token"],
		Header: func(string) string { return "" }, Option: func(name string) string { return settings[name] }}
	c.Remaining = time.Duration(positive(settings["max_execution_time"]) * float64(time.Second))
	c.MemoryMB = positive(settings["max_memory_usage"]) / 1e6
	return c
}

// positive reads a setting's number; 0 where it is absent, none, or not above 0.
func positive(value string) float64 {
	if value == "" {
		return 0
	}
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || !(v > 0 && v < 1e18) {
		return 0
	}
	return v
}

// query runs one query to its final answer.
func (s *client) query(ctx context.Context, st step) error {
	s.mu.Lock()
	s.over, s.partial = false, false
	s.mu.Unlock()
	if done, err := s.own(st.query.Text); done {
		return err
	}
	call := s.call(st)
	if classify.InsertsClientData(st.query.Text) {
		return s.insert(ctx, call)
	}
	v, how, err := s.ask(ctx, call)
	return s.close(v, how, err)
}

// ending tells how asking ended.
type ending int

const (
	answered  ending = iota
	cancelled        // the client called it off and stays
	gone             // the client is gone, or is to go
)

// watchAfter is the time that a query takes before its client is watched: most are answered by then.
const watchAfter = 2 * time.Millisecond

// ask hands a call over and waits for its final answer; meanwhile it heeds what the client sends.
func (s *client) ask(ctx context.Context, call frontend.Call) (v dispatch.Outcome, how ending, err error) {
	if use := s.life.use(call); use != nil {
		return s.askPinned(ctx, call, use)
	}
	asked, err := s.front.desk.Submit(call)
	if err != nil {
		return v, answered, err
	}
	off := func(how ending, err error) (dispatch.Outcome, ending, error) {
		asked.Disconnect()
		return <-asked.Done, how, err
	}
	if s.patience == nil {
		s.patience = time.NewTimer(watchAfter)
	} else {
		s.patience.Reset(watchAfter)
	}
	defer s.patience.Stop()
	for {
		select {
		case v := <-asked.Done:
			return v, answered, nil
		case <-ctx.Done():
			return off(gone, nil)
		case <-s.patience.C:
			s.watch()
		case st := <-s.steps:
			s.reading = false
			switch {
			case st.err != nil:
				return off(gone, st.err)
			case st.code == native.ClientCancel:
				return off(cancelled, nil)
			case st.code == native.ClientPing: // answered by what follows
				s.watch()
			default:
				return off(gone, fmt.Errorf("packet %d while a query runs", st.code))
			}
		}
	}
}

// close writes the end of an answer. An error ends the connection.
func (s *client) close(v dispatch.Outcome, how ending, err error) error {
	switch {
	case how == gone:
		return err
	case how == cancelled:
		s.end()
		if s.partial {
			return errPartial
		}
		return s.write([]byte{native.ServerEndOfStream})
	case err != nil:
		s.refuseOf(err)
		return nil
	}
	return s.finish(v)
}

var errPartial = errors.New("a packet was broken off: the connection cannot go on")

// Pass implements native.Sink.
func (s *client) Pass(packets []byte, more bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return errors.New("the answer has its end")
	}
	_, err := s.out.Write(packets)
	if err == nil && !more {
		err = s.out.Flush()
	}
	s.partial = s.partial || err != nil
	return err
}

// end sees to it that nothing more of the present answer is written. A write that a slow client holds up is broken off.
func (s *client) end() {
	t := time.AfterFunc(50*time.Millisecond, func() { s.conn.SetWriteDeadline(time.Unix(1, 0)) })
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Stop()
	s.over = true
	s.conn.SetWriteDeadline(time.Time{})
}

// finish writes the final answer.
func (s *client) finish(v dispatch.Outcome) error {
	s.end()
	if s.partial {
		return errPartial
	}
	if v.Kind == dispatch.Served {
		whole, _ := v.Result.([]byte) // what was not streamed
		return s.write(append(whole, native.ServerEndOfStream))
	}
	return s.write(exceptionOf(v).Encode())
}

// codes of final answers (ErrorCodes.cpp of ClickHouse; docs/operators.md has the table).
var codes = map[dispatch.Reason]int32{dispatch.ReasonOverload: 202, dispatch.ReasonFull: 202, dispatch.ReasonClassRemoved: 203,
	dispatch.ReasonDraining: 203, dispatch.ReasonAttempt: 1001, dispatch.ReasonBroken: 210, dispatch.ReasonDeadline: 159,
	dispatch.ReasonInternal: 1002, dispatch.ReasonClientDisconnected: 394, dispatch.ReasonStopped: 236}

func exceptionOf(v dispatch.Outcome) *native.Exception {
	var own *native.Exception
	if v.Reason == dispatch.ReasonStatement && errors.As(v.Cause, &own) {
		return own // the node's own words
	}
	text := fmt.Sprintf("DB::Exception: %s (%s, %d attempts)", v.Kind, v.Reason, v.Attempts)
	if v.Kind == dispatch.Shed {
		text += "; trying again does no harm"
		if v.RetryAfter > 0 {
			text += fmt.Sprintf(", come back in %d ms", (v.RetryAfter+999)/1000)
		}
	}
	if v.Cause != nil {
		s, _ := status.FromError(v.Cause)
		text += "; last attempt: " + s.Message()
	}
	return &native.Exception{Code: codes[v.Reason], Name: "DB::Exception", Message: text}
}
