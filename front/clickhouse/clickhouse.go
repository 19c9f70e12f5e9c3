// Package clickhouse is the front for the ClickHouse native protocol over TCP (docs/design-native.md has the subset). It
// turns a client's query into one dispatch.Query and hands back the one final answer; blocks pass as bytes.
package clickhouse

import (
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
	"embershunt/front"
	"embershunt/internal/native"
	"embershunt/nodelist"
)

// Options are the front's settings; zero values mean the defaults.
type Options struct {
	Log         *slog.Logger
	Auth        front.Authenticator
	MaxPacket   int           // bytes; default 16 MiB
	HelloWithin time.Duration // a client that has not shaken hands by then is closed; default 5 s
	MaxConns    int           // default 20000
}

// Front serves the protocol on a listener.
type Front struct {
	opt  Options
	desk *front.Desk

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// New returns a front that hands its queries over at a desk.
func New(o Options, d *front.Desk) *Front {
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
	return &Front{opt: o, desk: d, conns: map[net.Conn]bool{}}
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
				s := &session{front: f, conn: conn, r: native.NewReader(conn, f.opt.MaxPacket)}
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
}

// Conns is the number of open connections.
func (f *Front) Conns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// session is one client's connection.
type session struct {
	front    *Front
	conn     net.Conn
	r        *native.Reader
	revision int
	hello    native.Hello

	mu      sync.Mutex // of what is written
	over    bool       // the answer has its end: nothing of it may be written any more
	partial bool       // a packet was written in part
}

// step is what the reader saw.
type step struct {
	code  uint64
	query native.Query
	err   error
}

func (s *session) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := s.shake(); err != nil {
		return err
	}
	steps := make(chan step)
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error { return s.read(inner, steps) })
	group.Go(func() error {
		defer s.conn.SetReadDeadline(time.Unix(1, 0)) // ends the reader
		return s.play(inner, steps)
	})
	return group.Wait()
}

// shake takes the client's Hello and answers it.
func (s *session) shake() (err error) {
	s.conn.SetReadDeadline(time.Now().Add(s.front.opt.HelloWithin))
	if s.hello, err = s.r.ReadHello(); err != nil {
		s.refuse(101, err.Error()) // UNEXPECTED_PACKET_FROM_CLIENT
		return err
	}
	if !s.front.opt.Auth.Check(s.hello.User, s.hello.Password) {
		s.refuse(516, s.hello.User+": Authentication failed: name or password is wrong") // AUTHENTICATION_FAILED
		return errors.New("name or password is wrong")
	}
	s.revision = min(s.hello.Revision, native.Newest)
	if err = s.write(native.Server{Name: "embershunt", Major: 1, Revision: native.Newest, Timezone: "UTC", DisplayName: "embershunt"}.Encode()); err != nil {
		return err
	}
	if err = s.r.ReadAddendum(s.revision); err != nil {
		return err
	}
	return s.conn.SetReadDeadline(time.Time{})
}

func (s *session) write(b []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.conn.Write(b)
	return err
}

func (s *session) refuse(code int32, text string) {
	s.write((&native.Exception{Code: code, Name: "DB::Exception", Message: "DB::Exception: " + text}).Encode())
}

// read reads the client's packets. While a query runs it goes on, so that a cancel and the client's end are seen at once.
func (s *session) read(ctx context.Context, steps chan<- step) error {
	defer close(steps)
	for {
		var st step
		if st.code, st.err = s.r.ReadClient(); st.err == nil {
			switch st.code {
			case native.ClientQuery:
				if st.query, st.err = s.r.ReadQuery(s.revision); st.err == nil && !st.query.Compression {
					st.err = s.noTables()
				}
			case native.ClientPing, native.ClientCancel:
			default:
				st.err = fmt.Errorf("packet %d has no place here: external tables and the data of INSERT are not served", st.code)
			}
		}
		select {
		case steps <- st:
		case <-ctx.Done():
			return nil
		}
		if st.err != nil || st.query.Compression {
			return nil
		}
	}
}

// noTables reads the empty block behind a query.
func (s *session) noTables() error {
	code, err := s.r.ReadClient()
	if err != nil {
		return err
	}
	if code != native.ClientData {
		return fmt.Errorf("packet %d behind a query: wanted is 2 (Data)", code)
	}
	b, err := s.r.ReadClientData(s.revision)
	if err == nil && !b.End() {
		err = errors.New("external tables are not served")
	}
	return err
}

// play answers what the reader saw, one query at a time.
func (s *session) play(ctx context.Context, steps <-chan step) error {
	for {
		st, ok := <-steps
		if !ok {
			return nil
		}
		switch {
		case errors.Is(st.err, io.EOF):
			return nil
		case st.err != nil:
			if ctx.Err() == nil {
				s.refuse(101, st.err.Error())
			}
			return st.err
		case st.code == native.ClientPing:
			if err := s.write([]byte{native.ServerPong}); err != nil {
				return err
			}
		case st.code == native.ClientQuery:
			if st.query.Compression {
				s.refuse(48, "compressed blocks are not served yet: connect without compression") // NOT_IMPLEMENTED
				return nil
			}
			if err := s.query(ctx, st.query, steps); err != nil {
				return err
			}
		}
	}
}

// query runs one query to its final answer.
func (s *session) query(ctx context.Context, q native.Query, steps <-chan step) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.over, s.partial = false, false
	s.mu.Unlock()
	if needsData(q.Text) {
		s.refuse(48, "INSERT with data from the client is not served yet")
		return nil
	}
	call := front.Call{Speaks: nodelist.ClickHouse, Work: &native.Call{Query: q, Revision: s.revision, Database: s.hello.Database, Sink: s}}
	settings := map[string]string{}
	for _, set := range q.Settings {
		settings[set.Name] = set.Value
	}
	call.Facts = classify.Facts{User: s.hello.User, Statement: q.Text, Command: "native.Query",
		Header: func(string) string { return "" }, Option: func(name string) string { return settings[name] }}
	if v, err := strconv.ParseFloat(settings["max_execution_time"], 64); err == nil && v > 0 {
		call.Left = time.Duration(v * float64(time.Second))
	}
	if v, err := strconv.ParseFloat(settings["max_memory_usage"], 64); err == nil && v > 0 {
		call.MB = v / 1e6
	}
	type answer struct {
		v   dispatch.Verdict
		err error
	}
	done := make(chan answer, 1)
	var group errgroup.Group
	defer group.Wait()
	group.Go(func() error {
		v, err := s.front.desk.Ask(ctx, call)
		done <- answer{v, err}
		return nil
	})
	for {
		select {
		case a := <-done:
			if a.err != nil {
				s.refuse(36, a.err.Error()) // BAD_ARGUMENTS
				return nil
			}
			return s.finish(a.v)
		case st, ok := <-steps:
			switch {
			case !ok || st.err != nil:
				cancel()
				<-done
				if ok {
					return st.err
				}
				return nil
			case st.code == native.ClientCancel:
				cancel()
				<-done
				s.end()
				return s.write([]byte{native.ServerEndOfStream})
			case st.code == native.ClientPing:
				continue // answered by what follows
			default:
				cancel()
				<-done
				return fmt.Errorf("packet %d while a query runs", st.code)
			}
		}
	}
}

// Packet implements native.Sink.
func (s *session) Packet(p native.Packet) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return errors.New("the answer has its end")
	}
	if n, err := s.conn.Write(p.Raw); err != nil {
		s.partial = s.partial || n > 0 && n < len(p.Raw)
		return err
	}
	return nil
}

// end sees to it that nothing more of the present answer is written. A write that a slow client holds up is broken off.
func (s *session) end() {
	t := time.AfterFunc(50*time.Millisecond, func() { s.conn.SetWriteDeadline(time.Unix(1, 0)) })
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Stop()
	s.over = true
	s.conn.SetWriteDeadline(time.Time{})
}

// finish writes the final answer.
func (s *session) finish(v dispatch.Verdict) error {
	s.end()
	if s.partial {
		return errors.New("a packet was broken off: the connection cannot go on")
	}
	if v.Final == dispatch.Served {
		return s.write([]byte{native.ServerEndOfStream})
	}
	return s.write(exceptionOf(v).Encode())
}

// codes of final answers (ErrorCodes.cpp of ClickHouse; docs/operators.md has the table).
var codes = map[dispatch.Reason]int32{dispatch.ReasonOverload: 202, dispatch.ReasonFull: 202, dispatch.ReasonClassGone: 203,
	dispatch.ReasonDraining: 203, dispatch.ReasonAttempt: 1001, dispatch.ReasonBroken: 210, dispatch.ReasonDeadline: 159,
	dispatch.ReasonInternal: 1002, dispatch.ReasonGone: 394, dispatch.ReasonStopped: 236}

func exceptionOf(v dispatch.Verdict) *native.Exception {
	var own *native.Exception
	if v.Reason == dispatch.ReasonStatement && errors.As(v.Cause, &own) {
		return own // the node's own words
	}
	text := fmt.Sprintf("DB::Exception: %s (%s, %d attempts)", v.Final, v.Reason, v.Attempts)
	if v.Final == dispatch.Refused {
		text += "; trying again does no harm"
		if v.ComeBack > 0 {
			text += fmt.Sprintf(", come back in %d ms", (v.ComeBack+999)/1000)
		}
	}
	if v.Cause != nil {
		s, _ := status.FromError(v.Cause)
		text += "; last attempt: " + s.Message()
	}
	return &native.Exception{Code: codes[v.Reason], Name: "DB::Exception", Message: text}
}

// needsData tells an INSERT whose rows come from the client: one without VALUES, SELECT or FROM INFILE behind it is one,
// and so is one with VALUES alone.
func needsData(statement string) bool { return classify.InsertsClientData(statement) }
