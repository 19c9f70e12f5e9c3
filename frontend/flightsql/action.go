package flightsql

import (
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"embershunt/internal/flightwire"
)

// actions are the supported DoAction types with their descriptions, in the order in which ListActions returns them. run returns
// the body of the single Result; nil: no Result is sent.
var actions = []struct {
	name, description string
	run               func(f *Frontend, c *caller, body []byte) ([]byte, error)
}{
	{"CreatePreparedStatement", "Prepares a statement; the handle is valid at every dispatcher with the same key.",
		(*Frontend).createPrepared},
	{"ClosePreparedStatement", "Lets go of a handle; nothing is kept for it here.", (*Frontend).closePrepared},
	{"CancelFlightInfo", "Calls off what runs for a FlightInfo at this dispatcher.", (*Frontend).cancelFlightInfo},
	{"CancelQuery", "The older form of CancelFlightInfo.", (*Frontend).cancelQuery},
	{"SetSessionOptions", "Sets session options; they are kept in the session cookie.", (*Frontend).setOptions},
	{"GetSessionOptions", "Tells the session options.", (*Frontend).getOptions},
	{"BeginTransaction", "Begins a transaction; it stays with one node.", (*Frontend).beginTransaction},
	{"EndTransaction", "Commits or rolls back.", (*Frontend).endTransaction},
	{"BeginSavepoint", "Sets a savepoint within a transaction.", (*Frontend).beginSavepoint},
	{"EndSavepoint", "Releases it, or rolls back to it.", (*Frontend).endSavepoint},
	{"CloseSession", "Ends the session: its cookie is taken back.", (*Frontend).closeSession},
}

// listActions sends the supported actions.
func (f *Frontend) listActions(stream grpc.ServerStream) error {
	if _, err := f.authenticate(stream); err != nil {
		return err
	}
	for _, a := range actions {
		if err := send(stream, flightwire.AppendBytes(flightwire.AppendBytes(nil, 1, a.name), 2, a.description)); err != nil {
			return err
		}
	}
	return nil
}

// doAction runs an action.
func (f *Frontend) doAction(stream grpc.ServerStream) error {
	c, request, err := f.receiveFirst(stream)
	if err != nil {
		return err
	}
	requested, err := flightwire.ParseAction(request)
	if err != nil {
		return malformed(err)
	}
	for _, a := range actions {
		if a.name != requested.Type {
			continue
		}
		answer, err := a.run(f, c, requested.Body)
		if err != nil || answer == nil {
			return err
		}
		return send(stream, flightwire.AppendBytes(nil, 1, answer))
	}
	known := make([]string, len(actions))
	for i := range actions {
		known[i] = actions[i].name
	}
	return status.Errorf(codes.Unimplemented, "action %.60q is not known, served are: %s", requested.Type,
		strings.Join(known, ", "))
}

// parseAction unpacks the body of an action, which must be a message of this name.
func parseAction(body []byte, name string) (flightwire.Command, error) {
	cmd, err := flightwire.ParseCommand(body)
	if err != nil {
		return cmd, malformed(err)
	}
	if cmd.Name != name {
		return cmd, status.Errorf(codes.InvalidArgument, "action body: message %s, expected %s", cmd.Name, name)
	}
	return cmd, nil
}
