package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"embershunt/internal/flightwire"
	"embershunt/permit"
	"embershunt/policy"
)

// stats is what the transport knows of an attempt's calls. It tells "may have run" from "never sent".
type callStats struct {
	headerSent      atomic.Bool // a request header went to the transport, at any call of the attempt
	trailerReceived atomic.Bool // the node ended the last call itself
}

type callStatsKey struct{}

// callStatsHandler notes the fate of each call.
type callStatsHandler struct{}

func (callStatsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }
func (callStatsHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	f, ok := ctx.Value(callStatsKey{}).(*callStats)
	if !ok {
		return
	}
	switch s.(type) {
	case *stats.OutHeader:
		f.headerSent.Store(true)
		f.trailerReceived.Store(false)
	case *stats.InTrailer:
		f.trailerReceived.Store(true)
	}
}
func (callStatsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}
func (callStatsHandler) HandleConn(context.Context, stats.ConnStats) {}

// flightAttempt makes an attempt over Flight SQL.
type flightAttempt struct {
	*attempt
	call   *flightwire.Call
	stats  callStats
	conn   *grpc.ClientConn
	handle []byte // of a prepared statement made on the node; nil: none
}

// SetResources implements dispatch.Fleet.
func (f *Fleet) SetResources(id string, memoryMB float64, priority int) {
	body := flightwire.AppendBytes(nil, 1, id)
	body = flightwire.AppendVarint(body, 2, uint64(priority)+1)
	body = flightwire.AppendVarint(body, 3, uint64(max(0, memoryMB)))
	frame := flightwire.Action{Type: flightwire.ActionTerms, Body: body}.Encode()
	f.mu.Lock()
	var nodes []string
	for _, t := range f.attempts[id] {
		if l, ok := t.protocol.(*platformAttempt); ok {
			f.group.Go(func() error { l.setPriority(priority); return nil })
			continue
		}
		nodes = append(nodes, t.spec.Node)
	}
	f.mu.Unlock()
	for _, id := range nodes {
		f.group.Go(func() error {
			ctx, cancel := context.WithTimeout(f.ctx, f.options.ProbeTimeout)
			defer cancel()
			n := f.acquire(id)
			if n == nil {
				return nil
			}
			defer f.release(n)
			if conn, err := n.flightDial(&f.options); err == nil && conn != nil { // advice: a loss costs little
				callDiscardingAnswer(ctx, conn, flightwire.MethodDoAction, frame)
			}
			return nil
		})
	}
}

// classify implements carrier.
func (t *flightAttempt) classify(err error) (code policy.Code, rejected bool) {
	if !t.stats.headerSent.Load() {
		return policy.ConnectionRefused, false
	}
	s, ok := status.FromError(err)
	if !ok || !t.stats.trailerReceived.Load() {
		if ok && s.Code() == codes.Unavailable || errors.Is(err, io.ErrUnexpectedEOF) {
			return policy.ConnectionReset, false
		}
		return policy.Failed, false
	}
	switch s.Code() { // the node's own word on the statement: another node would say the same
	case codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.PermissionDenied,
		codes.FailedPrecondition, codes.OutOfRange, codes.Unimplemented:
		return policy.Failed, true
	}
	return policy.Failed, false
}

// run implements carrier.
func (t *flightAttempt) run(ctx context.Context, n *node) (any, error) {
	conn, err := n.flightReady(ctx, &t.fleet.options)
	if err != nil {
		return nil, err
	}
	if t.checkSendPermitted(ctx, n) != permit.Permitted { // the connection may have taken long to come up
		return nil, errNeverSent
	}
	t.conn = conn
	ctx = context.WithValue(ctx, callStatsKey{}, &t.stats)
	ctx = metadata.NewOutgoingContext(ctx, t.headers())
	command, params := t.call.Command, [][]byte(nil)
	if t.call.Params != nil {
		if command, params, err = t.bind(ctx); err != nil {
			return nil, err
		}
	}
	switch t.call.Kind {
	case flightwire.Get:
		return nil, t.query(ctx, command)
	case flightwire.Update:
		return t.update(ctx, command, params)
	case flightwire.Do:
		s, err := t.stream(ctx, flightwire.MethodDoAction, t.call.Action.Encode())
		if err != nil {
			return nil, err
		}
		answer, err := t.receiveOne(s)
		if errors.Is(err, errNoSchema) { // an answer without a Result is one
			return []byte{}, nil
		}
		if err != nil {
			return nil, err
		}
		return flightwire.Field(answer, 1)
	case flightwire.Prepare:
		return t.prepare(ctx)
	case flightwire.Schema:
		return t.unary(ctx, flightwire.MethodGetSchema, flightwire.Descriptor(command))
	}
	return nil, fmt.Errorf("backend: unknown kind of call %d", t.call.Kind)
}

// headers are the call headers of the attempt, the same at each of its calls.
func (t *flightAttempt) headers() metadata.MD {
	md := metadata.MD{flightwire.HeaderQuery: {t.spec.Query.ID}, flightwire.HeaderAttempt: {strconv.Itoa(t.spec.Number)}}
	if t.spec.HasResources {
		md[flightwire.HeaderPriority] = []string{strconv.Itoa(t.spec.Priority)}
		if t.spec.MemoryMB > 0 {
			md[flightwire.HeaderMemory] = []string{strconv.FormatFloat(t.spec.MemoryMB, 'f', 0, 64)}
		}
	}
	for _, pairs := range [][]string{t.fleet.options.Headers, t.call.Headers} {
		for i := 0; i+1 < len(pairs); i += 2 {
			md.Append(pairs[i], pairs[i+1])
		}
	}
	return md
}

// unary makes one call with one answer.
func (t *flightAttempt) unary(ctx context.Context, method string, request []byte) ([]byte, error) {
	var answer flightwire.Frame
	var trailer metadata.MD
	err := t.conn.Invoke(ctx, method, flightwire.NewFrame(request), &answer, grpc.Trailer(&trailer))
	t.readTrailer(trailer)
	if err != nil {
		return nil, err
	}
	defer answer.Free()
	return append([]byte(nil), answer.Bytes()...), nil
}

// readAnswers takes what a call's trailers tell.
func (t *flightAttempt) readTrailer(trailer metadata.MD) {
	if l := flightLoad(trailer); l != nil {
		t.load = l
	}
	if v := trailer.Get(flightwire.HeaderRan); len(v) == 1 && v[0] == "no" {
		t.notRun = true
	}
}

var bidi = &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}

// stream opens a call and sends its requests.
func (t *flightAttempt) stream(ctx context.Context, method string, requests ...[]byte) (grpc.ClientStream, error) {
	s, err := t.conn.NewStream(ctx, bidi, method)
	if err != nil {
		return nil, err
	}
	for _, r := range requests {
		if err := s.SendMsg(flightwire.NewFrame(r)); err != nil {
			return nil, t.streamError(s, err)
		}
	}
	if err := s.CloseSend(); err != nil {
		return nil, t.streamError(s, err)
	}
	return s, nil
}

// connClosed reads a failed stream's own status: a send that fails with io.EOF has it in store.
func (t *flightAttempt) streamError(s grpc.ClientStream, err error) error {
	if errors.Is(err, io.EOF) {
		var f flightwire.Frame
		if err = s.RecvMsg(&f); err == nil {
			f.Free()
			err = io.ErrUnexpectedEOF
		}
	}
	t.readTrailer(s.Trailer())
	return err
}

// query runs a query: GetFlightInfo, then DoGet at the same node.
func (t *flightAttempt) query(ctx context.Context, command []byte) error {
	info, err := t.unary(ctx, flightwire.MethodGetInfo, flightwire.Descriptor(command))
	if err != nil {
		return err
	}
	ticket, places, err := flightwire.FirstTicket(info)
	if err != nil {
		return err
	}
	if places != 1 {
		return errEndpointCount
	}
	s, err := t.stream(ctx, flightwire.MethodDoGet, flightwire.AppendBytes(nil, 1, ticket))
	if err != nil {
		return err
	}
	return t.forwardFrames(ctx, s)
}

// forwardFrames passes an answer on. The first frame is kept back until the next one or the end is there: a schema alone
// commits to nothing, and while the client has seen nothing another node may still answer.
func (t *flightAttempt) forwardFrames(ctx context.Context, s grpc.ClientStream) error {
	var first, next flightwire.Frame
	defer first.Free()
	defer func() { next.Free() }()
	if err := t.receiveFrame(s, &first); err != nil {
		if err == io.EOF {
			err = errNoSchema
		}
		return err
	}
	err := t.receiveFrame(s, &next)
	if err != nil && err != io.EOF {
		return err
	}
	if err := t.awaitForward(ctx); err != nil {
		return err
	}
	if sinkErr := t.call.Sink.Frame(&first); sinkErr != nil {
		return sinkErr
	}
	for err == nil {
		if sinkErr := t.call.Sink.Frame(&next); sinkErr != nil {
			return sinkErr
		}
		next.Free()
		err = t.receiveFrame(s, &next)
	}
	if err == io.EOF {
		return nil
	}
	return err
}

// receiveFrame takes one frame and checks its envelope.
func (t *flightAttempt) receiveFrame(s grpc.ClientStream, f *flightwire.Frame) error {
	err := s.RecvMsg(f)
	if err != nil {
		t.readTrailer(s.Trailer())
		return err
	}
	_, err = f.Envelope()
	return err
}

// writeLocked runs an update: DoPut with the command in the first message.
func (t *flightAttempt) update(ctx context.Context, command []byte, params [][]byte) ([]byte, error) {
	s, err := t.stream(ctx, flightwire.MethodDoPut, withDescriptor(command, params)...)
	if err != nil {
		return nil, err
	}
	return t.receiveOne(s)
}

// receiveOne takes exactly one answer and the clean end behind it.
func (t *flightAttempt) receiveOne(s grpc.ClientStream) ([]byte, error) {
	var answer []byte
	for i := 0; ; i++ {
		var f flightwire.Frame
		err := s.RecvMsg(&f)
		if err != nil {
			t.readTrailer(s.Trailer())
			if err == io.EOF && i > 0 {
				return answer, nil
			}
			if err == io.EOF {
				err = errNoSchema
			}
			return nil, err
		}
		if i == 0 {
			answer = append([]byte(nil), f.Bytes()...)
		}
		f.Free()
	}
}

// withDescriptor puts a command's descriptor in front of FlightData messages.
func withDescriptor(command []byte, data [][]byte) [][]byte {
	head := flightwire.AppendBytes(nil, 1, flightwire.Descriptor(command))
	if len(data) == 0 {
		return [][]byte{head}
	}
	out := append([][]byte(nil), data...)
	out[0] = append(head, data[0]...)
	return out
}

// prepare makes a prepared statement on the node for what the node says of it: the body of its
// ActionCreatePreparedStatementResult. The node's own handle lives as long as the attempt.
func (t *flightAttempt) prepare(ctx context.Context) ([]byte, error) {
	create := flightwire.Action{Type: "CreatePreparedStatement",
		Body: flightwire.NewCommand("ActionCreatePreparedStatementRequest", flightwire.AppendBytes(flightwire.AppendBytes(nil, 1, t.call.Text), 2, t.call.Tx))}
	s, err := t.stream(ctx, flightwire.MethodDoAction, create.Encode())
	if err != nil {
		return nil, err
	}
	answer, err := t.receiveOne(s)
	if err != nil {
		return nil, err
	}
	body, err := flightwire.Field(answer, 1)
	if err != nil {
		return nil, fmt.Errorf("prepared statement of the node: %w", err)
	}
	c, err := flightwire.ParseCommand(body)
	if err != nil {
		return nil, fmt.Errorf("prepared statement of the node: %w", err)
	}
	t.handle, err = flightwire.Field(c.Body, 1)
	return c.Body, err
}

// bind makes a prepared statement on the node and binds the parameters there; it returns the command that runs it.
func (t *flightAttempt) bind(ctx context.Context) (command []byte, params [][]byte, err error) {
	if _, err = t.prepare(ctx); err != nil {
		return nil, nil, err
	}
	if t.call.Kind == flightwire.Update {
		return flightwire.StatementCommand("CommandPreparedStatementUpdate", t.handle), t.call.Params, nil
	}
	command = flightwire.StatementCommand("CommandPreparedStatementQuery", t.handle)
	s, err := t.stream(ctx, flightwire.MethodDoPut, withDescriptor(command, t.call.Params)...)
	if err != nil {
		return nil, nil, err
	}
	answer, err := t.receiveOne(s)
	if err != nil && !errors.Is(err, errNoSchema) { // an answer is optional here
		return nil, nil, err
	}
	if moved, err := flightwire.Field(answer, 1); err == nil && len(moved) > 0 {
		if h, err := flightwire.Field(moved, 1); err == nil && len(h) > 0 {
			command = flightwire.StatementCommand("CommandPreparedStatementQuery", h)
		}
	}
	return command, nil, nil
}

// cleanUp implements carrier: it lets go of the prepared statement made on the node, if there is one.
func (t *flightAttempt) cleanUp() {
	if t.handle == nil {
		return
	}
	ctx, cancel := context.WithTimeout(t.fleet.ctx, t.fleet.options.ProbeTimeout)
	defer cancel()
	callDiscardingAnswer(ctx, t.conn, flightwire.MethodDoAction, flightwire.Action{Type: "ClosePreparedStatement",
		Body: flightwire.StatementCommand("ActionClosePreparedStatementRequest", t.handle)}.Encode())
}

// callDiscardingAnswer makes a call whose answer is of no interest.
func callDiscardingAnswer(ctx context.Context, conn *grpc.ClientConn, method string, request []byte) {
	s, err := conn.NewStream(ctx, bidi, method)
	if err != nil || s.SendMsg(flightwire.NewFrame(request)) != nil || s.CloseSend() != nil {
		return
	}
	for {
		var f flightwire.Frame
		if s.RecvMsg(&f) != nil {
			return
		}
		f.Free()
	}
}

// Release asks a node to end what it holds of a session: its transaction by its own name for it, else all that came under the
// session's. done is told whether the node said so; it is not called when the fleet closes.
func (f *Fleet) Release(node, session string, handle []byte, done func(ok bool)) {
	if f.dropSession(session) {
		f.spawn(func() { done(true) })
		return
	}
	action := flightwire.Action{Type: flightwire.ActionRelease, Body: []byte(session)}
	if handle != nil {
		body := flightwire.AppendVarint(flightwire.AppendBytes(nil, 1, handle), 2, flightwire.EndRollback)
		action = flightwire.Action{Type: "EndTransaction", Body: flightwire.NewCommand("ActionEndTransactionRequest", body)}
	}
	f.spawn(func() { done(f.doAction(node, session, action) == nil) })
}

// doAction makes one action at a node and waits for its end.
func (f *Fleet) doAction(node, session string, a flightwire.Action) error {
	n := f.acquire(node)
	if n == nil {
		return errUnknownNode
	}
	defer f.release(n)
	ctx, cancel := context.WithTimeout(f.ctx, releaseTimeout)
	defer cancel()
	conn, err := n.flightReady(ctx, &f.options)
	if err != nil {
		return err
	}
	ctx = metadata.AppendToOutgoingContext(ctx, flightwire.HeaderSession, session)
	s, err := conn.NewStream(ctx, bidi, flightwire.MethodDoAction)
	if err != nil {
		return err
	}
	if err = s.SendMsg(flightwire.NewFrame(a.Encode())); err == nil {
		err = s.CloseSend()
	}
	for err == nil || errors.Is(err, io.EOF) {
		var m flightwire.Frame
		if err = s.RecvMsg(&m); err == io.EOF {
			return nil
		}
		m.Free()
	}
	if status.Code(err) == codes.NotFound { // it holds nothing of it any more
		return nil
	}
	return err
}

// releaseTimeout bounds the time for a node to end a session's state.
const releaseTimeout = 2 * time.Second
