// Package flightsql is the front for JDBC-style sessions: Arrow Flight SQL over gRPC (Flight.proto and FlightSql.proto
// of Apache Arrow 18). It turns a client's call into one dispatch.Query and hands back the one final answer. It knows
// no node and makes no choice. Result frames pass through as bytes.
package flightsql

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"embershunt/classify"
	"embershunt/dispatch"
	"embershunt/internal/flightwire"
	"embershunt/internal/seal"
)

// Poster takes queries and word of clients that left; *dispatch.Loop is one.
type Poster interface{ Post(dispatch.Event) }

// Authenticator checks a name and password.
type Authenticator interface {
	Check(user, password string) bool
}

// Options are the front's settings; zero values mean the defaults.
type Options struct {
	Log         *slog.Logger
	Clock       dispatch.Clock
	Tables      Tables
	Auth        Authenticator
	Seal        *seal.Sealer
	SchemaLife  time.Duration // how long a statement's schema is cached; default 5 min
	SchemaMost  int           // statements cached; default 4096
	PassHeaders []string      // call headers passed on to nodes
}

// Tables are what changes with the settings.
type Tables struct {
	Version      uint64 // of the settings that number the classes
	Classes      *classify.Table
	Deadlines    []time.Duration // by class, where a call states none
	WayBack      time.Duration   // kept of each deadline for the way back, a tenth of it at most
	TicketLife   time.Duration
	PreparedLife time.Duration
	BearerLife   time.Duration
	MaxStatement int // bytes; may not pass that of the start
	MaxParams    int // bytes of bound parameters; likewise
}

// SetTables puts other tables in force for the calls that come from now on.
func (f *Front) SetTables(t Tables) {
	f.tables.Store(&t)
}

func (o *Options) defaults() {
	if o.SchemaLife == 0 {
		o.SchemaLife = 5 * time.Minute
	}
	if o.SchemaMost == 0 {
		o.SchemaMost = 4096
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

// Front serves the protocol on a gRPC server made with ServerOptions.
type Front struct {
	opt     Options
	post    Poster
	prefix  string
	serial  atomic.Uint64
	schemas *schemaCache
	tables  atomic.Pointer[Tables]
	unruled atomic.Int64

	mu      sync.Mutex
	running map[string]map[string]bool // ids of running queries by their ticket's serial number
}

// New returns a front that hands its queries to p.
func New(o Options, p Poster) *Front {
	o.defaults()
	f := &Front{opt: o, post: p, prefix: fmt.Sprintf("%08x", rand.Uint32()),
		schemas: newSchemaCache(o.SchemaMost, o.SchemaLife), running: map[string]map[string]bool{}}
	f.SetTables(o.Tables)
	return f
}

// Unruled counts the queries that no rule and no hint gave a class: they fell in the default one.
func (f *Front) Unruled() int64 { return f.unruled.Load() }

// ServerOptions are what a gRPC server needs for this front. Messages are read whole, so their size is bounded: a
// statement and its parameters must fit; headers of more than 64 KiB are turned away by the transport.
func (f *Front) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.ForceServerCodecV2(flightwire.Codec{}),
		grpc.MaxRecvMsgSize(f.tables.Load().MaxStatement + f.tables.Load().MaxParams + 64<<10), grpc.MaxHeaderListSize(64 << 10),
		grpc.MaxConcurrentStreams(10000)}
}

// Register adds the service. Every method is served as a stream of raw messages, which on the wire is the same.
func (f *Front) Register(s *grpc.Server) {
	method := func(name string, run func(*Front, grpc.ServerStream) error) grpc.StreamDesc {
		return grpc.StreamDesc{StreamName: name, ServerStreams: true, ClientStreams: true,
			Handler: func(srv any, stream grpc.ServerStream) error { return run(srv.(*Front), stream) }}
	}
	s.RegisterService(&grpc.ServiceDesc{ServiceName: flightwire.Service, HandlerType: (*any)(nil),
		Streams: []grpc.StreamDesc{
			method("Handshake", (*Front).handshake),
			method("GetFlightInfo", unary((*Front).getFlightInfo)),
			method("GetSchema", unary((*Front).getSchema)),
			method("DoGet", (*Front).doGet),
			method("DoPut", (*Front).doPut),
			method("DoAction", (*Front).doAction),
			method("ListActions", (*Front).listActions),
			method("ListFlights", refuseMethod("ListFlights")),
			method("PollFlightInfo", refuseMethod("PollFlightInfo")),
			method("DoExchange", refuseMethod("DoExchange")),
		}}, f)
}

func refuseMethod(name string) func(*Front, grpc.ServerStream) error {
	return func(*Front, grpc.ServerStream) error {
		return status.Errorf(codes.Unimplemented, "%s is not part of Flight SQL as served here", name)
	}
}

// unary makes a stream handler of one request and one answer.
func unary(run func(*Front, *caller, []byte) ([]byte, error)) func(*Front, grpc.ServerStream) error {
	return func(f *Front, s grpc.ServerStream) error {
		c, err := f.caller(s)
		if err != nil {
			return err
		}
		request, err := receive(s)
		if err != nil {
			return err
		}
		answer, err := run(f, c, request)
		if err != nil {
			return err
		}
		return s.SendMsg(flightwire.NewFrame(answer))
	}
}

// receive takes one message, copied out of its buffers.
func receive(s grpc.ServerStream) ([]byte, error) {
	var m flightwire.Frame
	if err := s.RecvMsg(&m); err != nil {
		return nil, err
	}
	defer m.Free()
	return append([]byte(nil), m.Bytes()...), nil
}

// caller is who makes a call, and with what.
type caller struct {
	ctx     context.Context
	stream  grpc.ServerStream
	user    string
	headers metadata.MD
	options map[string]string // session options; nil until read
}

func (c *caller) header(name string) string {
	if v := c.headers.Get(name); len(v) > 0 {
		return v[0]
	}
	return ""
}

// work is one query as the front makes it.
type work struct {
	call      *flightwire.Call
	statement string
	command   string
	serial    string // of the ticket; "" where it has none
}

// asked is one query that waits for its final answer.
type asked struct{ done chan dispatch.Verdict }

// Answer implements dispatch.Client.
func (a *asked) Answer(v dispatch.Verdict) { a.done <- v }

// ask hands a query to the dispatcher and waits for its final answer. The client's leaving is passed on; the answer
// then comes at once.
func (f *Front) ask(c *caller, w work) (dispatch.Verdict, error) {
	tables := f.tables.Load()
	if len(w.statement) > tables.MaxStatement {
		return dispatch.Verdict{}, status.Errorf(codes.InvalidArgument, "statement of %d bytes, allowed are %d",
			len(w.statement), tables.MaxStatement)
	}
	f.read(c)
	traits, err := tables.Classes.Classify(classify.Facts{User: c.user, Header: c.header, Option: c.option,
		Statement: w.statement, Command: w.command})
	if err != nil {
		return dispatch.Verdict{}, status.Error(codes.InvalidArgument, err.Error())
	}
	f.count(traits)
	now := f.opt.Clock.Now()
	left := tables.Deadlines[traits.Class]
	if d, ok := c.ctx.Deadline(); ok {
		left = time.Until(d)
	}
	left -= min(tables.WayBack, left/10)
	for _, h := range f.opt.PassHeaders {
		for _, v := range c.headers.Get(h) {
			w.call.Headers = append(w.call.Headers, h, v)
		}
	}
	a := &asked{done: make(chan dispatch.Verdict, 1)}
	q := &dispatch.Query{ID: fmt.Sprintf("%s-%d", f.prefix, f.serial.Add(1)), Version: tables.Version, Class: traits.Class,
		Tenant: traits.Tenant, Cost: traits.Cost.Microseconds(), MemoryMB: traits.MemoryMB, Tables: traits.Tables,
		Key: traits.Key, HasKey: traits.HasKey, Retry: traits.Retry, Due: now + left.Microseconds(), Work: w.call,
		Client: a}
	f.enter(w.serial, q.ID)
	defer f.leave(w.serial, q.ID)
	f.post.Post(dispatch.Taken{Query: q})
	select {
	case v := <-a.done:
		return v, nil
	case <-c.ctx.Done():
		f.post.Post(dispatch.Left{ID: q.ID})
		return <-a.done, nil
	}
}

// count counts what no rule and no hint gave a class.
func (f *Front) count(t classify.Traits) {
	if t.Hinted || t.Rule != "" {
		return
	}
	f.unruled.Add(1)
}

func (f *Front) enter(serial, id string) {
	if serial == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[serial] == nil {
		f.running[serial] = map[string]bool{}
	}
	f.running[serial][id] = true
}

func (f *Front) leave(serial, id string) {
	if serial == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if delete(f.running[serial], id); len(f.running[serial]) == 0 {
		delete(f.running, serial)
	}
}

// cancelled calls off what runs for a ticket at this dispatcher, and tells whether anything did.
func (f *Front) cancelled(serial string) bool {
	f.mu.Lock()
	var ids []string
	for id := range f.running[serial] {
		ids = append(ids, id)
	}
	f.mu.Unlock()
	for _, id := range ids {
		f.post.Post(dispatch.Left{ID: id})
	}
	return len(ids) > 0
}

// frames passes an answer's frames to the client.
type frames struct{ stream grpc.ServerStream }

// Frame implements flightwire.Sink.
func (s frames) Frame(f *flightwire.Frame) error { return s.stream.SendMsg(f) }

// open reads a sealed token; what cannot be read is the client's mistake.
func (f *Front) open(p seal.Purpose, token []byte) ([]byte, error) {
	b, err := f.opt.Seal.Open(p, time.Now(), token)
	if errors.Is(err, seal.ErrExpired) {
		return nil, status.Errorf(codes.NotFound, "%v: ask for a new one", err)
	}
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return b, nil
}

func malformed(err error) error {
	return status.Error(codes.InvalidArgument, strings.TrimPrefix(err.Error(), "proto: "))
}
