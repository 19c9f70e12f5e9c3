// Package flightsql is the frontend for Arrow Flight SQL over gRPC (Flight.proto and FlightSql.proto of Apache Arrow 18), which
// JDBC drivers use. It turns a client's call into one dispatch.Query and returns the query's final answer. It does not choose
// nodes, retry or shed: the dispatcher does. Result frames are forwarded as bytes.
//
// Between two calls it keeps only caches and the running queries: tickets, prepared handles, transaction ids and the session
// cookie are sealed tokens (sealed.go) that any dispatcher with the same key can read. Package session tracks the states of
// transactions; transaction.go turns calls into session statements.
package flightsql

import (
	"cmp"
	"log/slog"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"embershunt/frontend"
	"embershunt/internal/flightwire"
	"embershunt/internal/seal"
)

// Defaults of Options, and limits of the transport.
const (
	defaultSchemaLife    = 5 * time.Minute
	defaultMaxSchemas    = 4096
	maxEnvelopeBytes     = 64 << 10 // of a message, apart from its statement and parameters
	maxHeaderBytes       = 64 << 10 // of a call
	maxConcurrentStreams = 10000    // of one connection
)

// Options are the frontend's settings. A zero AnswerTTL or MaxCachedAnswers means the default.
type Options struct {
	Log                    *slog.Logger           // nil: nothing is logged
	Auth                   frontend.Authenticator // checks names and passwords; with AnyUser, calls need no credentials
	Seal                   *seal.Sealer           // seals tickets, handles, transaction ids, cookies and bearer tokens
	AnswerTTL              time.Duration          // how long a node's answer about a statement is cached; default 5 min
	MaxCachedAnswers       int                    // maximum number of cached answers; default 4096
	PassHeaders            []string               // names of call headers that are forwarded to nodes
	Sessions               *frontend.Sessions     // nil: transactions are not supported
	TransactionIdleTimeout time.Duration          // of a transaction without a statement; 0: nodes set no timeout
	TransactionMaxAge      time.Duration          // how long a transaction may last; its id is valid for so long
}

// setDefaults replaces zero values by the defaults.
func (o *Options) setDefaults() {
	o.AnswerTTL = cmp.Or(o.AnswerTTL, defaultSchemaLife)
	o.MaxCachedAnswers = cmp.Or(o.MaxCachedAnswers, defaultMaxSchemas)
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

// Frontend serves Flight SQL on a gRPC server that was created with ServerOptions.
type Frontend struct {
	options     Options
	intake      *frontend.Intake
	answerCache *frontend.AnswerCache // schemas and prepared statements, see cachedAnswer
	running     runningQueries
}

// New returns a frontend that submits its queries to an intake.
func New(o Options, intake *frontend.Intake) *Frontend {
	o.setDefaults()
	return &Frontend{options: o, intake: intake, answerCache: frontend.NewAnswerCache(o.MaxCachedAnswers, o.AnswerTTL),
		running: newRunningQueries()}
}

// ServerOptions returns the options that a gRPC server needs for this frontend. Messages are read as a whole, so their size is
// bounded: the bound leaves room for the longest statement and its parameters. The transport rejects headers of more than
// 64 KiB.
func (f *Frontend) ServerOptions() []grpc.ServerOption {
	settings := f.intake.Settings()
	return []grpc.ServerOption{grpc.ForceServerCodecV2(flightwire.Codec{}),
		grpc.MaxRecvMsgSize(settings.MaxStatementBytes + settings.MaxParameterBytes + maxEnvelopeBytes),
		grpc.MaxHeaderListSize(maxHeaderBytes), grpc.MaxConcurrentStreams(maxConcurrentStreams)}
}

// Register adds the service to a gRPC server. Every method, unary ones included, is registered as a stream of raw messages: on the
// wire the two are the same.
func (f *Frontend) Register(s *grpc.Server) {
	method := func(name string, run func(*Frontend, grpc.ServerStream) error) grpc.StreamDesc {
		return grpc.StreamDesc{StreamName: name, ServerStreams: true, ClientStreams: true,
			Handler: func(srv any, stream grpc.ServerStream) error { return run(srv.(*Frontend), stream) }}
	}
	s.RegisterService(&grpc.ServiceDesc{ServiceName: flightwire.Service, HandlerType: (*any)(nil),
		Streams: []grpc.StreamDesc{
			method("Handshake", (*Frontend).handshake),
			method("GetFlightInfo", unary((*Frontend).getFlightInfo)),
			method("GetSchema", unary((*Frontend).getSchema)),
			method("DoGet", (*Frontend).doGet),
			method("DoPut", (*Frontend).doPut),
			method("DoAction", (*Frontend).doAction),
			method("ListActions", (*Frontend).listActions),
			method("ListFlights", unsupported("ListFlights")),
			method("PollFlightInfo", unsupported("PollFlightInfo")),
			method("DoExchange", unsupported("DoExchange")),
		}}, f)
}

// unsupported returns a handler that rejects every call of a method.
func unsupported(name string) func(*Frontend, grpc.ServerStream) error {
	return func(*Frontend, grpc.ServerStream) error {
		return status.Errorf(codes.Unimplemented, "method %s is not supported", name)
	}
}

// unary adapts a function with one request and one answer to a stream handler.
func unary(run func(*Frontend, *caller, []byte) ([]byte, error)) func(*Frontend, grpc.ServerStream) error {
	return func(f *Frontend, s grpc.ServerStream) error {
		c, request, err := f.receiveFirst(s)
		if err != nil {
			return err
		}
		answer, err := run(f, c, request)
		if err != nil {
			return err
		}
		return send(s, answer)
	}
}

// receiveFirst authenticates a call and receives its first message.
func (f *Frontend) receiveFirst(s grpc.ServerStream) (*caller, []byte, error) {
	c, err := f.authenticate(s)
	if err != nil {
		return nil, nil, err
	}
	request, err := receive(s)
	return c, request, err
}

// receive receives one message and returns a copy of it, so that its buffers can be freed.
func receive(s grpc.ServerStream) ([]byte, error) {
	var m flightwire.Frame
	if err := s.RecvMsg(&m); err != nil {
		return nil, err
	}
	defer m.Free()
	return append([]byte(nil), m.Bytes()...), nil
}

// send sends one message.
func send(s grpc.ServerStream, message []byte) error { return s.SendMsg(flightwire.NewFrame(message)) }
