package flightsql

import (
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"embershunt/internal/flightwire"
	"embershunt/internal/seal"
)

// actions are the DoAction types served, with their descriptions for ListActions.
var actions = []struct{ name, text string }{
	{"CreatePreparedStatement", "Prepares a statement; the handle is valid at every dispatcher with the same key."},
	{"ClosePreparedStatement", "Lets go of a handle; nothing is kept for it here."},
	{"CancelFlightInfo", "Calls off what runs for a FlightInfo at this dispatcher."},
	{"CancelQuery", "The older form of CancelFlightInfo."},
	{"SetSessionOptions", "Sets session options; they are kept in the session cookie."},
	{"GetSessionOptions", "Tells the session options."},
	{"BeginTransaction", "Begins a transaction; it stays with one node."},
	{"EndTransaction", "Commits or rolls back."},
	{"BeginSavepoint", "Sets a savepoint within a transaction."},
	{"EndSavepoint", "Releases it, or rolls back to it."},
	{"CloseSession", "Ends the session: its cookie is taken back."},
}

func (f *Front) listActions(stream grpc.ServerStream) error {
	if _, err := f.caller(stream); err != nil {
		return err
	}
	for _, a := range actions {
		b := flightwire.AppendBytes(flightwire.AppendBytes(nil, 1, a.name), 2, a.text)
		if err := stream.SendMsg(flightwire.NewFrame(b)); err != nil {
			return err
		}
	}
	return nil
}

func (f *Front) doAction(stream grpc.ServerStream) error {
	c, request, err := f.opened(stream)
	if err != nil {
		return err
	}
	a, err := flightwire.ParseAction(request)
	if err != nil {
		return malformed(err)
	}
	var answer []byte // body of the one Result; nil: none is sent
	switch a.Type {
	case "CreatePreparedStatement":
		answer, err = f.createPrepared(c, a.Body)
	case "ClosePreparedStatement":
		err = f.closePrepared(c, a.Body)
	case "CancelFlightInfo":
		answer, err = f.cancelInfo(c, a.Body, 1)
	case "CancelQuery":
		answer, err = f.cancelQuery(c, a.Body)
	case "SetSessionOptions":
		answer, err = f.setOptions(c, a.Body)
	case "GetSessionOptions":
		answer, err = f.getOptions(c)
	case "BeginTransaction":
		answer, err = f.beginTransaction(c, a.Body)
	case "EndTransaction":
		err = f.endTransaction(c, a.Body)
	case "BeginSavepoint":
		answer, err = f.beginSavepoint(c, a.Body)
	case "EndSavepoint":
		err = f.endSavepoint(c, a.Body)
	case "CloseSession":
		answer, err = f.closeSession(c)
	default:
		known := make([]string, len(actions))
		for i := range actions {
			known[i] = actions[i].name
		}
		return status.Errorf(codes.Unimplemented, "action %.60q is not known, served are: %s", a.Type,
			strings.Join(known, ", "))
	}
	if err != nil || answer == nil {
		return err
	}
	return stream.SendMsg(flightwire.NewFrame(flightwire.AppendBytes(nil, 1, answer)))
}

// createPrepared asks a node what the statement is (through the module, or from the cache) and seals a handle that is
// bound to no node.
func (f *Front) createPrepared(c *caller, body []byte) ([]byte, error) {
	cmd, err := flightwire.ParseCommand(body)
	if err != nil {
		return nil, malformed(err)
	}
	if cmd.Name != "ActionCreatePreparedStatementRequest" {
		return nil, status.Errorf(codes.InvalidArgument, "body is a %s, wanted is an "+
			"ActionCreatePreparedStatementRequest", cmd.Name)
	}
	s, err := f.statement(cmd, false)
	if err != nil {
		return nil, err
	}
	if _, err := f.transaction(c, s.Transaction); err != nil {
		return nil, err
	}
	text := string(s.Text)
	said, err := f.cached(c, "prepare\x00"+text, work{command: cmd.Name,
		call: &flightwire.Call{Kind: flightwire.Prepare, Text: text}})
	if err != nil {
		return nil, err
	}
	fields, varints, err := flightwire.Fields(said)
	if err != nil {
		return nil, status.Errorf(codes.Internal, "what the node says of the statement cannot be read: %v", err)
	}
	handle := f.opt.Seal.Seal(seal.Prepared, time.Now().Add(f.desk.Tables().PreparedLife),
		sealed{user: c.user, text: text, tx: s.Transaction}.encode())
	result := flightwire.AppendBytes(nil, 1, handle)
	for _, field := range fields { // dataset and parameter schema, as the node gave them
		if field.Number == 2 || field.Number == 3 {
			result = flightwire.AppendBytes(result, field.Number, field.Value)
		}
	}
	result = flightwire.AppendVarint(result, 4, varints[4])
	return flightwire.NewCommand("ActionCreatePreparedStatementResult", result), nil
}

func (f *Front) closePrepared(c *caller, body []byte) error {
	cmd, err := flightwire.ParseCommand(body)
	if err != nil {
		return malformed(err)
	}
	s, err := flightwire.ParseStatement(cmd.Body, true)
	if err != nil {
		return malformed(err)
	}
	_, err = f.unseal(seal.Prepared, c, s.Text)
	return err
}

// Cancel states of CancelFlightInfoResult (Flight.proto).
const (
	cancelDone    = 2 // CANCEL_STATUS_CANCELLING: it is being called off
	cancelNothing = 3 // CANCEL_STATUS_NOT_CANCELLABLE: nothing runs for it here
)

// cancelInfo reads a CancelFlightInfoRequest; field holds the FlightInfo.
func (f *Front) cancelInfo(c *caller, body []byte, field int) ([]byte, error) {
	info, err := flightwire.Field(body, field)
	if err != nil {
		return nil, malformed(err)
	}
	ticket, _, err := flightwire.FirstTicket(info)
	if err != nil {
		return nil, malformed(err)
	}
	cmd, err := flightwire.ParseCommand(ticket)
	if err != nil {
		return nil, malformed(err)
	}
	s, err := flightwire.ParseStatement(cmd.Body, true)
	if err != nil || cmd.Name != "TicketStatementQuery" {
		return flightwire.AppendVarint(nil, 1, cancelNothing), nil
	}
	p, err := f.unseal(seal.Ticket, c, s.Text)
	if err != nil {
		return nil, err
	}
	if f.cancelled(p.serial) {
		return flightwire.AppendVarint(nil, 1, cancelDone), nil
	}
	return flightwire.AppendVarint(nil, 1, cancelNothing), nil
}

// cancelQuery reads an ActionCancelQueryRequest (an Any; its field 1 is a FlightInfo).
func (f *Front) cancelQuery(c *caller, body []byte) ([]byte, error) {
	cmd, err := flightwire.ParseCommand(body)
	if err != nil {
		return nil, malformed(err)
	}
	answer, err := f.cancelInfo(c, cmd.Body, 1)
	if err != nil {
		return nil, err
	}
	return flightwire.NewCommand("ActionCancelQueryResult", answer), nil
}
