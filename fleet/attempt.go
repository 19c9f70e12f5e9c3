package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"embershunt/choice"
	"embershunt/dispatch"
	"embershunt/internal/flightwire"
)

// Errors of attempts; nodes' own words come as gRPC statuses.
var (
	errNotConnected = errors.New("no connection to the node in time")
	errUnknownNode  = errors.New("the node is not in the list")
	errCancelled    = errors.New("called off")
	errTimedOut     = errors.New("no answer in time")
	errNoSchema     = errors.New("the answer ended before its schema")
	errPlaces       = errors.New("the node answers from several endpoints or from none, which is not supported")
)

// fate is what the transport knows of an attempt's calls. It tells "may have run" from "never sent".
type fate struct {
	written atomic.Bool // a request header went to the transport, at any call of the attempt
	trailer atomic.Bool // the node ended the last call itself
}

type fateKey struct{}

// fateHandler notes the fate of each call.
type fateHandler struct{}

func (fateHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }
func (fateHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	f, ok := ctx.Value(fateKey{}).(*fate)
	if !ok {
		return
	}
	switch s.(type) {
	case *stats.OutHeader:
		f.written.Store(true)
		f.trailer.Store(false)
	case *stats.InTrailer:
		f.trailer.Store(true)
	}
}
func (fateHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (fateHandler) HandleConn(context.Context, stats.ConnStats)                       {}

// attempt is one send that is out.
type attempt struct {
	f      *Fleet
	a      dispatch.Attempt
	call   *flightwire.Call
	begun  time.Time
	cancel context.CancelCauseFunc
	open   chan struct{} // closed when the answer may flow
	timer  *time.Timer
	fate   fate
	conn   *grpc.ClientConn
	load   *choice.Load
	notRun bool   // the node proved that nothing ran
	handle []byte // of a prepared statement made on the node; nil: none
}

// Send implements dispatch.Fleet.
func (f *Fleet) Send(a dispatch.Attempt) {
	f.drains.sent(a.Node)
	ctx, cancel := context.WithCancelCause(f.ctx)
	t := &attempt{f: f, a: a, call: a.Query.Work.(*flightwire.Call), begun: time.Now(), cancel: cancel,
		open: make(chan struct{})}
	wait := time.Duration(a.Until-f.clock.Now()) * time.Microsecond
	t.timer = time.AfterFunc(wait, func() { cancel(errTimedOut) })
	f.mu.Lock()
	f.attempts[a.Query.ID] = append(f.attempts[a.Query.ID], t)
	f.mu.Unlock()
	f.group.Go(func() error {
		ev := t.run(ctx)
		t.timer.Stop()
		cancel(nil)
		f.forget(t)
		f.post.Post(ev)
		t.closeHandle()
		return nil
	})
}

func (f *Fleet) attempt(id string, n int) *attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.attempts[id] {
		if t.a.N == n {
			return t
		}
	}
	return nil
}

func (f *Fleet) forget(t *attempt) {
	id := t.a.Query.ID
	f.mu.Lock()
	defer f.mu.Unlock()
	if left := slices.DeleteFunc(f.attempts[id], func(o *attempt) bool { return o == t }); len(left) > 0 {
		f.attempts[id] = left
	} else {
		delete(f.attempts, id)
	}
}

// Open implements dispatch.Fleet: from now on the query's deadline alone counts, which the ledger keeps.
func (f *Fleet) Open(id string, n int) {
	if t := f.attempt(id, n); t != nil {
		t.timer.Stop()
		close(t.open)
	}
}

// Cancel implements dispatch.Fleet.
func (f *Fleet) Cancel(id string, n int) {
	if t := f.attempt(id, n); t != nil {
		t.cancel(errCancelled)
	}
}

// Terms implements dispatch.Fleet.
func (f *Fleet) Terms(id string, memoryMB float64, priority int) {
	body := flightwire.AppendBytes(nil, 1, id)
	body = flightwire.AppendVarint(body, 2, uint64(priority)+1)
	body = flightwire.AppendVarint(body, 3, uint64(max(0, memoryMB)))
	frame := flightwire.Action{Type: flightwire.ActionTerms, Body: body}.Encode()
	f.mu.Lock()
	var nodes []string
	for _, t := range f.attempts[id] {
		nodes = append(nodes, t.a.Node)
	}
	f.mu.Unlock()
	for _, id := range nodes {
		f.group.Go(func() error {
			ctx, cancel := context.WithTimeout(f.ctx, f.opt.ProbeTimeout)
			defer cancel()
			n := f.use(id)
			if n == nil {
				return nil
			}
			defer f.release(n)
			if conn, err := n.dial(&f.opt); err == nil && conn != nil { // advice: a loss costs little
				drainCall(ctx, conn, flightwire.MethodDoAction, frame)
			}
			return nil
		})
	}
}

// run makes the attempt and tells how it ended.
func (t *attempt) run(ctx context.Context) dispatch.Ended {
	result, err := t.try(ctx)
	ev := dispatch.Ended{ID: t.a.Query.ID, N: t.a.N, Took: time.Since(t.begun).Microseconds(), Load: t.load,
		Result: result, Err: err}
	ev.Code, ev.Rejected = t.code(ctx, err)
	return ev
}

// code tells how an attempt ended, with care for what may have run: only a connection that was never up, a request
// that was never written and a node's explicit word prove that nothing ran.
func (t *attempt) code(ctx context.Context, err error) (code choice.Code, rejected bool) {
	cause := context.Cause(ctx)
	switch {
	case err == nil:
		return choice.OK, false
	case t.notRun:
		return choice.Full, false
	case errors.Is(err, errNotConnected), errors.Is(err, errUnknownNode):
		return choice.Refused, false
	case errors.Is(cause, errTimedOut):
		return choice.TimedOut, false
	case cause != nil: // called off, or the fleet closes
		return choice.Cancelled, false
	case !t.fate.written.Load():
		return choice.Refused, false
	}
	s, ok := status.FromError(err)
	if !ok || !t.fate.trailer.Load() {
		if ok && s.Code() == codes.Unavailable || errors.Is(err, io.ErrUnexpectedEOF) {
			return choice.Reset, false
		}
		return choice.Failed, false
	}
	switch s.Code() { // the node's own word on the statement: another node would say the same
	case codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.PermissionDenied,
		codes.FailedPrecondition, codes.OutOfRange, codes.Unimplemented:
		return choice.Failed, true
	}
	return choice.Failed, false
}

func (t *attempt) try(ctx context.Context) (any, error) {
	n := t.f.use(t.a.Node)
	if n == nil {
		return nil, errUnknownNode
	}
	defer t.f.release(n)
	conn, err := n.ready(ctx, &t.f.opt)
	if err != nil {
		return nil, err
	}
	t.conn = conn
	ctx = context.WithValue(ctx, fateKey{}, &t.fate)
	ctx = metadata.NewOutgoingContext(ctx, t.headers())
	command, params := t.call.Command, [][]byte(nil)
	if t.call.Params != nil {
		if command, params, err = t.bind(ctx); err != nil {
			return nil, err
		}
	}
	switch t.call.Kind {
	case flightwire.Get:
		return nil, t.get(ctx, command)
	case flightwire.Update:
		return t.put(ctx, command, params)
	case flightwire.Prepare:
		return t.prepare(ctx)
	case flightwire.Schema:
		return t.unary(ctx, flightwire.MethodGetSchema, flightwire.Descriptor(command))
	}
	return nil, fmt.Errorf("fleet: unknown kind of call %d", t.call.Kind)
}

// headers are the call headers of the attempt, the same at each of its calls.
func (t *attempt) headers() metadata.MD {
	md := metadata.MD{flightwire.HeaderQuery: {t.a.Query.ID}, flightwire.HeaderAttempt: {strconv.Itoa(t.a.N)}}
	if t.a.HasTerms {
		md[flightwire.HeaderPriority] = []string{strconv.Itoa(t.a.Priority)}
		if t.a.MemoryMB > 0 {
			md[flightwire.HeaderMemory] = []string{strconv.FormatFloat(t.a.MemoryMB, 'f', 0, 64)}
		}
	}
	for _, pairs := range [][]string{t.f.opt.Headers, t.call.Headers} {
		for i := 0; i+1 < len(pairs); i += 2 {
			md.Append(pairs[i], pairs[i+1])
		}
	}
	return md
}

// unary makes one call with one answer.
func (t *attempt) unary(ctx context.Context, method string, request []byte) ([]byte, error) {
	var answer flightwire.Frame
	var trailer metadata.MD
	err := t.conn.Invoke(ctx, method, flightwire.NewFrame(request), &answer, grpc.Trailer(&trailer))
	t.read(trailer)
	if err != nil {
		return nil, err
	}
	defer answer.Free()
	return append([]byte(nil), answer.Bytes()...), nil
}

// read takes what a call's trailers tell.
func (t *attempt) read(trailer metadata.MD) {
	if l := loadFrom(trailer); l != nil {
		t.load = l
	}
	if v := trailer.Get(flightwire.HeaderRan); len(v) == 1 && v[0] == "no" {
		t.notRun = true
	}
}

var bidi = &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}

// stream opens a call and sends its requests.
func (t *attempt) stream(ctx context.Context, method string, requests ...[]byte) (grpc.ClientStream, error) {
	s, err := t.conn.NewStream(ctx, bidi, method)
	if err != nil {
		return nil, err
	}
	for _, r := range requests {
		if err := s.SendMsg(flightwire.NewFrame(r)); err != nil {
			return nil, t.end(s, err)
		}
	}
	if err := s.CloseSend(); err != nil {
		return nil, t.end(s, err)
	}
	return s, nil
}

// end reads a failed stream's own status: a send that fails with io.EOF has it in store.
func (t *attempt) end(s grpc.ClientStream, err error) error {
	if errors.Is(err, io.EOF) {
		var f flightwire.Frame
		if err = s.RecvMsg(&f); err == nil {
			f.Free()
			err = io.ErrUnexpectedEOF
		}
	}
	t.read(s.Trailer())
	return err
}

// get runs a query: GetFlightInfo, then DoGet at the same node.
func (t *attempt) get(ctx context.Context, command []byte) error {
	info, err := t.unary(ctx, flightwire.MethodGetInfo, flightwire.Descriptor(command))
	if err != nil {
		return err
	}
	ticket, places, err := flightwire.FirstTicket(info)
	if err != nil {
		return err
	}
	if places != 1 {
		return errPlaces
	}
	s, err := t.stream(ctx, flightwire.MethodDoGet, flightwire.AppendBytes(nil, 1, ticket))
	if err != nil {
		return err
	}
	return t.pump(ctx, s)
}

// pump passes an answer on. The first frame is kept back until the next one or the end is there: a schema alone
// commits to nothing, and while the client has seen nothing another node may still answer.
func (t *attempt) pump(ctx context.Context, s grpc.ClientStream) error {
	var first, next flightwire.Frame
	defer first.Free()
	defer func() { next.Free() }()
	if err := t.recv(s, &first); err != nil {
		if err == io.EOF {
			err = errNoSchema
		}
		return err
	}
	err := t.recv(s, &next)
	if err != nil && err != io.EOF {
		return err
	}
	t.f.post.Post(dispatch.Begun{ID: t.a.Query.ID, N: t.a.N})
	select {
	case <-t.open:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if sinkErr := t.call.Sink.Frame(&first); sinkErr != nil {
		return sinkErr
	}
	for err == nil {
		if sinkErr := t.call.Sink.Frame(&next); sinkErr != nil {
			return sinkErr
		}
		next.Free()
		err = t.recv(s, &next)
	}
	if err == io.EOF {
		return nil
	}
	return err
}

// recv takes one frame and checks its envelope.
func (t *attempt) recv(s grpc.ClientStream, f *flightwire.Frame) error {
	err := s.RecvMsg(f)
	if err != nil {
		t.read(s.Trailer())
		return err
	}
	_, err = f.Envelope()
	return err
}

// put runs an update: DoPut with the command in the first message.
func (t *attempt) put(ctx context.Context, command []byte, params [][]byte) ([]byte, error) {
	s, err := t.stream(ctx, flightwire.MethodDoPut, described(command, params)...)
	if err != nil {
		return nil, err
	}
	return t.one(s)
}

// one takes exactly one answer and the clean end behind it.
func (t *attempt) one(s grpc.ClientStream) ([]byte, error) {
	var answer []byte
	for i := 0; ; i++ {
		var f flightwire.Frame
		err := s.RecvMsg(&f)
		if err != nil {
			t.read(s.Trailer())
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

// described puts a command's descriptor in front of FlightData messages.
func described(command []byte, data [][]byte) [][]byte {
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
func (t *attempt) prepare(ctx context.Context) ([]byte, error) {
	create := flightwire.Action{Type: "CreatePreparedStatement",
		Body: flightwire.StatementCommand("ActionCreatePreparedStatementRequest", t.call.Text)}
	s, err := t.stream(ctx, flightwire.MethodDoAction, create.Encode())
	if err != nil {
		return nil, err
	}
	answer, err := t.one(s)
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
func (t *attempt) bind(ctx context.Context) (command []byte, params [][]byte, err error) {
	if _, err = t.prepare(ctx); err != nil {
		return nil, nil, err
	}
	if t.call.Kind == flightwire.Update {
		return flightwire.StatementCommand("CommandPreparedStatementUpdate", t.handle), t.call.Params, nil
	}
	command = flightwire.StatementCommand("CommandPreparedStatementQuery", t.handle)
	s, err := t.stream(ctx, flightwire.MethodDoPut, described(command, t.call.Params)...)
	if err != nil {
		return nil, nil, err
	}
	answer, err := t.one(s)
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

// closeHandle lets go of the prepared statement made on the node, if there is one.
func (t *attempt) closeHandle() {
	if t.handle == nil {
		return
	}
	ctx, cancel := context.WithTimeout(t.f.ctx, t.f.opt.ProbeTimeout)
	defer cancel()
	drainCall(ctx, t.conn, flightwire.MethodDoAction, flightwire.Action{Type: "ClosePreparedStatement",
		Body: flightwire.StatementCommand("ActionClosePreparedStatementRequest", t.handle)}.Encode())
}

// drainCall makes a call whose answer is of no interest.
func drainCall(ctx context.Context, conn *grpc.ClientConn, method string, request []byte) {
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
