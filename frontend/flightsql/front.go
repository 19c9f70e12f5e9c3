// Package flightsql is the front for JDBC-style sessions: Arrow Flight SQL over gRPC (Flight.proto and FlightSql.proto
// of Apache Arrow 18). It turns a client's call into one dispatch.Query and hands back the one final answer. It knows
// no node and makes no choice. Result frames pass through as bytes.
package flightsql

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"embershunt/classify"
	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/internal/flightwire"
	"embershunt/internal/seal"
	"embershunt/nodelist"
	"embershunt/session"
)

// Options are the front's settings; zero values mean the defaults.
type Options struct {
	Log         *slog.Logger
	Auth        frontend.Authenticator
	Seal        *seal.Sealer
	SchemaLife  time.Duration // how long a statement's schema is cached; default 5 min
	MaxSchemas  int           // statements cached; default 4096
	PassHeaders []string      // call headers passed on to nodes
	Sessions    *frontend.Sessions
	Idle        time.Duration // of a transaction without a statement
	Age         time.Duration // of a transaction at most; its token is valid for so long
}

func (o *Options) defaults() {
	if o.SchemaLife == 0 {
		o.SchemaLife = 5 * time.Minute
	}
	if o.MaxSchemas == 0 {
		o.MaxSchemas = 4096
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

// Front serves the protocol on a gRPC server made with ServerOptions.
type Front struct {
	opt     Options
	desk    *frontend.Intake
	schemas *frontend.Cache

	mu      sync.Mutex
	running map[string]map[string]bool // ids of running queries by their ticket's serial number
}

// New returns a front that hands its queries over at a desk.
func New(o Options, d *frontend.Intake) *Front {
	o.defaults()
	return &Front{opt: o, desk: d, schemas: frontend.NewCache(o.MaxSchemas, o.SchemaLife), running: map[string]map[string]bool{}}
}

// ServerOptions are what a gRPC server needs for this front. Messages are read whole, so their size is bounded: a
// statement and its parameters must fit; headers of more than 64 KiB are turned away by the transport.
func (f *Front) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.ForceServerCodecV2(flightwire.Codec{}),
		grpc.MaxRecvMsgSize(f.desk.Tables().MaxStatement + f.desk.Tables().MaxParams + 64<<10), grpc.MaxHeaderListSize(64 << 10),
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
		c, request, err := f.opened(s)
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

// opened is who makes a call, and its first message.
func (f *Front) opened(s grpc.ServerStream) (*caller, []byte, error) {
	c, err := f.caller(s)
	if err != nil {
		return nil, nil, err
	}
	request, err := receive(s)
	return c, request, err
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
	serial    string                  // of the ticket; "" where it has none
	tx        *frontend.StickySession // the transaction that it belongs to; nil: none
	use       *frontend.Statement     // of what begins and ends one
	pin       *frontend.StickySession // where a transaction was begun
}

// ask hands a query over and waits for its final answer.
func (f *Front) ask(c *caller, w *work) (dispatch.Outcome, error) {
	if most := f.desk.Tables().MaxStatement; len(w.statement) > most {
		return dispatch.Outcome{}, status.Errorf(codes.InvalidArgument, "statement of %d bytes, allowed are %d",
			len(w.statement), most)
	}
	f.read(c)
	call := frontend.Call{Protocol: nodelist.FlightSQL, Work: w.call, Facts: classify.Facts{User: c.user, Header: c.header, Option: c.option,
		Statement: w.statement, Command: w.command}}
	if d, ok := c.ctx.Deadline(); ok {
		call.Remaining = max(time.Until(d), 1)
	}
	for _, h := range f.opt.PassHeaders {
		for _, v := range c.headers.Get(h) {
			w.call.Headers = append(w.call.Headers, h, v)
		}
	}
	id := ""
	call.OnReceived = func(taken string) {
		id = taken
		f.enter(w.serial, id)
	}
	use := w.use
	if use == nil && w.tx != nil {
		use = &frontend.Statement{Kind: session.Plain, ReadOnly: classify.IsRead(w.statement), Token: w.tx}
	}
	var v dispatch.Outcome
	var err error
	if use == nil {
		v, err = f.desk.Execute(c.ctx, call)
	} else {
		name := use.ID
		if use.Token != nil {
			name = use.Token.ID
		}
		w.call.Headers = append(w.call.Headers, flightwire.HeaderSession, name)
		use.OnDraining = func(left time.Duration) {
			c.stream.SetHeader(metadata.Pairs(flightwire.HeaderDrainsIn, strconv.FormatInt(left.Milliseconds(), 10)))
		}
		v, w.pin, err = f.opt.Sessions.Execute(c.ctx, call, *use)
	}
	f.leave(w.serial, id)
	var ended *frontend.SessionError
	if errors.As(err, &ended) {
		return v, sessionError(ended)
	}
	if err != nil {
		return v, status.Error(codes.InvalidArgument, err.Error())
	}
	return v, nil
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
		f.desk.Disconnect(id)
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
