package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"embershunt/internal/flightwire"
	"embershunt/permit"
	"embershunt/policy"
)

// Errors of a node's answers over Flight SQL.
var (
	errNoSchema      = errors.New("the answer ended before its schema")
	errEndpointCount = errors.New("the node answers from several endpoints or from none, which is not supported")
)

// flightAttempt carries out an attempt over Flight SQL.
type flightAttempt struct {
	*attempt
	call           *flightwire.Call
	stats          callStats // of all its calls
	conn           *grpc.ClientConn
	preparedHandle []byte // of the prepared statement that the attempt created on the node; nil: none
}

// run implements protocolAttempt.
func (t *flightAttempt) run(ctx context.Context, n *node) (any, error) {
	conn, err := n.awaitFlightConn(ctx, &t.fleet.options)
	if err != nil {
		return nil, err
	}
	if t.checkSendPermitted(ctx, n) != permit.Permitted { // establishing the connection may have taken long
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
	case flightwire.DoAction:
		return t.action(ctx)
	case flightwire.Prepare:
		return t.prepare(ctx)
	case flightwire.Schema:
		return t.unary(ctx, flightwire.MethodGetSchema, flightwire.Descriptor(command))
	}
	return nil, fmt.Errorf("backend: unknown kind of call %d", t.call.Kind)
}

// classify implements protocolAttempt.
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
	switch s.Code() { // these reject the statement itself: another node would answer the same
	case codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.PermissionDenied,
		codes.FailedPrecondition, codes.OutOfRange, codes.Unimplemented:
		return policy.Failed, true
	}
	return policy.Failed, false
}

// cleanUp implements protocolAttempt. It closes the prepared statement that the attempt created on the node, if any.
func (t *flightAttempt) cleanUp() {
	if t.preparedHandle == nil {
		return
	}
	ctx, cancel := context.WithTimeout(t.fleet.ctx, t.fleet.options.HealthCheckTimeout)
	defer cancel()
	callDiscardingAnswer(ctx, t.conn, flightwire.MethodDoAction, flightwire.Action{Type: "ClosePreparedStatement",
		Body: flightwire.StatementCommand("ActionClosePreparedStatementRequest", t.preparedHandle)}.Encode())
}

// headers returns the call headers of the attempt, which are the same in each of its calls.
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

// query runs a query and forwards its answer to the client: GetFlightInfo, then DoGet on the same node.
func (t *flightAttempt) query(ctx context.Context, command []byte) error {
	info, err := t.unary(ctx, flightwire.MethodGetInfo, flightwire.Descriptor(command))
	if err != nil {
		return err
	}
	ticket, endpoints, err := flightwire.FirstTicket(info)
	if err != nil {
		return err
	}
	if endpoints != 1 {
		return errEndpointCount
	}
	s, err := t.stream(ctx, flightwire.MethodDoGet, flightwire.AppendBytes(nil, 1, ticket))
	if err != nil {
		return err
	}
	return t.forwardFrames(ctx, s)
}

// update runs an update and returns its PutResult: DoPut with the command in the first message.
func (t *flightAttempt) update(ctx context.Context, command []byte, params [][]byte) ([]byte, error) {
	s, err := t.stream(ctx, flightwire.MethodDoPut, withDescriptor(command, params)...)
	if err != nil {
		return nil, err
	}
	return t.receiveOne(s)
}

// action runs an action and returns the body of its Result, which is empty if the node sends no Result.
func (t *flightAttempt) action(ctx context.Context) (any, error) {
	s, err := t.stream(ctx, flightwire.MethodDoAction, t.call.Action.Encode())
	if err != nil {
		return nil, err
	}
	answer, err := t.receiveOne(s)
	if errors.Is(err, errNoSchema) { // an answer without a Result is valid
		return []byte{}, nil
	}
	if err != nil {
		return nil, err
	}
	return flightwire.Field(answer, 1)
}

// prepare creates a prepared statement on the node and returns the body of its ActionCreatePreparedStatementResult. cleanUp closes
// the statement when the attempt has ended.
func (t *flightAttempt) prepare(ctx context.Context) ([]byte, error) {
	request := flightwire.AppendBytes(flightwire.AppendBytes(nil, 1, t.call.Text), 2, t.call.TransactionHandle)
	create := flightwire.Action{Type: "CreatePreparedStatement",
		Body: flightwire.NewCommand("ActionCreatePreparedStatementRequest", request)}
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
	t.preparedHandle, err = flightwire.Field(c.Body, 1)
	return c.Body, err
}

// bind creates a prepared statement on the node and returns the command that runs it. For a query it binds the parameters on the
// node; for an update it returns the parameters, which are sent with the command.
func (t *flightAttempt) bind(ctx context.Context) (command []byte, params [][]byte, err error) {
	if _, err = t.prepare(ctx); err != nil {
		return nil, nil, err
	}
	if t.call.Kind == flightwire.Update {
		return flightwire.StatementCommand("CommandPreparedStatementUpdate", t.preparedHandle), t.call.Params, nil
	}
	command = flightwire.StatementCommand("CommandPreparedStatementQuery", t.preparedHandle)
	s, err := t.stream(ctx, flightwire.MethodDoPut, withDescriptor(command, t.call.Params)...)
	if err != nil {
		return nil, nil, err
	}
	answer, err := t.receiveOne(s)
	if err != nil && !errors.Is(err, errNoSchema) { // an answer is optional here
		return nil, nil, err
	}
	if handle := replacementHandle(answer); handle != nil {
		command = flightwire.StatementCommand("CommandPreparedStatementQuery", handle)
	}
	return command, nil, nil
}

// replacementHandle returns the statement handle in a node's answer to a binding of parameters, which replaces the handle that they
// were bound to; nil if the node keeps that handle.
func replacementHandle(answer []byte) []byte {
	result, err := flightwire.Field(answer, 1)
	if err != nil || len(result) == 0 {
		return nil
	}
	handle, err := flightwire.Field(result, 1)
	if err != nil || len(handle) == 0 {
		return nil
	}
	return handle
}

// withDescriptor adds a command's descriptor to the first of the FlightData messages, or returns a message with the descriptor alone.
func withDescriptor(command []byte, data [][]byte) [][]byte {
	head := flightwire.AppendBytes(nil, 1, flightwire.Descriptor(command))
	if len(data) == 0 {
		return [][]byte{head}
	}
	out := append([][]byte(nil), data...)
	out[0] = append(head, data[0]...)
	return out
}
