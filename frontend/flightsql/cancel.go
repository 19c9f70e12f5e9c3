package flightsql

import (
	"embershunt/internal/flightwire"
	"embershunt/internal/seal"
)

// Values of CancelFlightInfoResult.status (Flight.proto).
const (
	cancelling     = 2 // CANCEL_STATUS_CANCELLING: the query is being cancelled
	notCancellable = 3 // CANCEL_STATUS_NOT_CANCELLABLE: no query of the ticket runs at this dispatcher
)

// cancelFlightInfo cancels the queries that run at this dispatcher for the ticket in a CancelFlightInfoRequest.
func (f *Frontend) cancelFlightInfo(c *caller, body []byte) ([]byte, error) {
	info, err := flightwire.Field(body, 1)
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
		return flightwire.AppendVarint(nil, 1, notCancellable), nil
	}
	statement, err := f.openStatement(seal.Ticket, c, s.Text)
	if err != nil {
		return nil, err
	}
	ids := f.running.idsOf(statement.serial)
	for _, id := range ids {
		f.intake.Disconnect(id)
	}
	if len(ids) > 0 {
		return flightwire.AppendVarint(nil, 1, cancelling), nil
	}
	return flightwire.AppendVarint(nil, 1, notCancellable), nil
}

// cancelQuery answers CancelQuery, the predecessor of CancelFlightInfo: its body is an ActionCancelQueryRequest in an Any, of which
// field 1 is a FlightInfo too.
func (f *Frontend) cancelQuery(c *caller, body []byte) ([]byte, error) {
	cmd, err := flightwire.ParseCommand(body)
	if err != nil {
		return nil, malformed(err)
	}
	answer, err := f.cancelFlightInfo(c, cmd.Body)
	if err != nil {
		return nil, err
	}
	return flightwire.NewCommand("ActionCancelQueryResult", answer), nil
}
