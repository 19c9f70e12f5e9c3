package clickhouse

import (
	"errors"
	"io"

	"embershunt/internal/native"
)

// state is what a connection waits for.
type state int

const (
	awaitingQuery state = iota // no query is in flight
	executing                  // a query waits for its final answer
	awaitingRows               // an INSERT waits for its client's rows
	stateCount
)

// event is what a client did.
type event int

const (
	eventQuery event = iota
	eventData
	eventPing
	eventCancel
	eventClosed     // the client closed its connection between two packets
	eventUnreadable // a packet could not be read, has no place in the protocol, or is too large to be buffered
	eventCount
)

// action is what a connection does about an event.
type action int

const (
	ignore action = iota
	answerPing
	startQuery       // leads to executing; an INSERT goes from there to awaitingRows and back
	bufferRows       // leads back to executing when the rows are complete
	cancelQuery      // leads to awaitingQuery
	endConnection    // the client closed it in order
	dropConnection   // closed without an answer: the client has disconnected
	rejectUnreadable // an Exception says what could not be read or buffered; then the connection is closed
	rejectUnexpected // an Exception says that the packet is not expected; then the connection is closed
	dropUnexpected   // closed without an answer for a packet that is not expected: an Exception would be read as the answer's
)

// actions is the state machine of a connection. Events of the server (an answer, a deadline, a shutdown) end the state that
// they occur in, see query.go and insert.go.
var actions = [stateCount][eventCount]action{
	awaitingQuery: {
		eventQuery: startQuery, eventData: rejectUnexpected, eventPing: answerPing, eventCancel: ignore,
		eventClosed: endConnection, eventUnreadable: rejectUnreadable,
	},
	executing: { // what is written now belongs to the query's answer, so a ping is answered by what follows it
		eventQuery: dropUnexpected, eventData: dropUnexpected, eventPing: ignore, eventCancel: cancelQuery,
		eventClosed: dropConnection, eventUnreadable: dropConnection,
	},
	awaitingRows: {
		eventQuery: rejectUnexpected, eventData: bufferRows, eventPing: answerPing, eventCancel: cancelQuery,
		eventClosed: rejectUnreadable, eventUnreadable: rejectUnreadable,
	},
}

// eventOf classifies what was read: a packet's code, or the error in its place.
func eventOf(code uint64, err error) event {
	switch {
	case errors.Is(err, io.EOF):
		return eventClosed
	case err != nil:
		return eventUnreadable
	}
	switch code {
	case native.ClientQuery:
		return eventQuery
	case native.ClientData:
		return eventData
	case native.ClientPing:
		return eventPing
	case native.ClientCancel:
		return eventCancel
	}
	return eventUnreadable
}
