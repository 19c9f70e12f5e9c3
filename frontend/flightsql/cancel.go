package flightsql

import (
	"embershunt/internal/flightwire"
	"embershunt/internal/seal"
)

// Cancel states of CancelFlightInfoResult (Flight.proto).
const (
	cancelling     = 2 // CANCEL_STATUS_CANCELLING: it is being cancelled
	notCancellable = 3 // CANCEL_STATUS_NOT_CANCELLABLE: nothing runs for it here
)

// cancelFlightInfo cancels what runs here for the ticket in a CancelFlightInfoRequest.
func (f *Front) cancelFlightInfo(c *caller, body []byte) ([]byte, error) {
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
	ids := f.running.of(statement.serial)
	for _, id := range ids {
		f.intake.Disconnect(id)
	}
	if len(ids) > 0 {
		return flightwire.AppendVarint(nil, 1, cancelling), nil
	}
	return flightwire.AppendVarint(nil, 1, notCancellable), nil
}

// cancelQuery reads an ActionCancelQueryRequest (an Any; its field 1 is a FlightInfo).
func (f *Front) cancelQuery(c *caller, body []byte) ([]byte, error) {
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
