// Package flightsql is the frontend for JDBC-style sessions: Arrow Flight SQL over gRPC (Flight.proto and FlightSql.proto
// of Apache Arrow 18). It turns a client's call into one dispatch.Query and hands back the one final answer. It knows no
// node and decides nothing. Result frames are forwarded as bytes.
//
// It keeps no state between two calls but caches and the list of running queries: tickets, prepared handles, transaction
// ids and the session cookie are sealed tokens (sealed.go) that any dispatcher with the same key can read. The states of a
// transaction are those of package session; transaction.go only makes its events out of calls.
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
	maxEnvelopeBytes     = 64 << 10 // of a message around its statement and parameters
	maxHeaderBytes       = 64 << 10
	maxConcurrentStreams = 10000 // of one connection
)

// Options are the frontend's settings; zero values mean the defaults.
type Options struct {
	Log                    *slog.Logger           // nil: nothing is logged
	Auth                   frontend.Authenticator // checks names and passwords; with AnyUser a call needs none
	Seal                   *seal.Sealer           // of tickets, handles, transaction ids and cookies
	SchemaTTL              time.Duration          // how long a statement's schema is cached; default 5 min
	MaxSchemas             int                    // statements cached; default 4096
	PassHeaders            []string               // call headers passed on to nodes
	Sessions               *frontend.Sessions     // nil: transactions are not served
	TransactionIdleTimeout time.Duration          // of a transaction without a statement
	TransactionMaxAge      time.Duration          // the longest of a transaction; its token is valid for so long
}

// setDefaults replaces zero values.
func (o *Options) setDefaults() {
	o.SchemaTTL = cmp.Or(o.SchemaTTL, defaultSchemaLife)
	o.MaxSchemas = cmp.Or(o.MaxSchemas, defaultMaxSchemas)
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

// Front serves the protocol on a gRPC server made with ServerOptions.
type Front struct {
	options Options
	intake  *frontend.Intake
	schemas *frontend.Cache // what nodes answered about statements, see cached
	running runningQueries
}

// New returns a frontend that submits its queries to an intake.
func New(o Options, intake *frontend.Intake) *Front {
	o.setDefaults()
	return &Front{options: o, intake: intake, schemas: frontend.NewCache(o.MaxSchemas, o.SchemaTTL), running: newRunningQueries()}
}

// ServerOptions are what a gRPC server needs for this frontend. Messages are read as a whole, so their size is bounded: a
// statement and its parameters must fit; headers of more than 64 KiB are rejected by the transport.
func (f *Front) ServerOptions() []grpc.ServerOption {
	tables := f.intake.Tables()
	return []grpc.ServerOption{grpc.ForceServerCodecV2(flightwire.Codec{}),
		grpc.MaxRecvMsgSize(tables.MaxStatement + tables.MaxParams + maxEnvelopeBytes), grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.MaxConcurrentStreams(maxConcurrentStreams)}
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
			method("ListFlights", unserved("ListFlights")),
			method("PollFlightInfo", unserved("PollFlightInfo")),
			method("DoExchange", unserved("DoExchange")),
		}}, f)
}

func unserved(name string) func(*Front, grpc.ServerStream) error {
	return func(*Front, grpc.ServerStream) error {
		return status.Errorf(codes.Unimplemented, "%s is not part of Flight SQL as served here", name)
	}
}

// unary makes a stream handler of a function from one request to one answer.
func unary(run func(*Front, *caller, []byte) ([]byte, error)) func(*Front, grpc.ServerStream) error {
	return func(f *Front, s grpc.ServerStream) error {
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
func (f *Front) receiveFirst(s grpc.ServerStream) (*caller, []byte, error) {
	c, err := f.authenticate(s)
	if err != nil {
		return nil, nil, err
	}
	request, err := receive(s)
	return c, request, err
}

// receive receives one message, copied out of its buffers.
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
