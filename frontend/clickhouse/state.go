package clickhouse

import (
	"errors"
	"io"

	"embershunt/internal/native"
)

// state is the protocol state of a connection.
type state int

const (
	awaitingQuery state = iota // no query is in flight
	executing                  // a query is waiting for its final answer
	awaitingRows               // an INSERT is waiting for the client's rows
	stateCount
)

// event is a client's packet or the end of its packets, as an input of the state machine.
type event int

const (
	eventQuery event = iota
	eventData
	eventPing
	eventCancel
	eventClosed     // the client closed the connection between two packets
	eventUnreadable // a packet could not be read or buffered, or its code is unknown
	eventCount
)

// action is the connection's response to an event.
type action int

const (
	ignore action = iota
	answerPing
	startQuery       // next state is executing; an INSERT moves from there to awaitingRows and back
	bufferRows       // next state is executing once the rows are complete
	cancelQuery      // next state is awaitingQuery
	endConnection    // end it without an error: the client closed it between queries
	dropConnection   // close it without a response: the client has disconnected or its packet cannot be read
	rejectUnreadable // send an Exception that names what could not be read or buffered, then close the connection
	rejectUnexpected // send an Exception that names the unexpected packet, then close the connection
	dropUnexpected   // close it without an Exception, which the client would take for a part of the running query's answer
)

// actions is the state machine of a connection. Events of the server (an answer, a deadline, a shutdown) end the state in
// which they occur; query.go and insert.go handle them.
var actions = [stateCount][eventCount]action{
	awaitingQuery: {
		eventQuery: startQuery, eventData: rejectUnexpected, eventPing: answerPing, eventCancel: ignore,
		eventClosed: endConnection, eventUnreadable: rejectUnreadable,
	},
	executing: { // everything written now belongs to the query's answer, so a ping gets no Pong
		eventQuery: dropUnexpected, eventData: dropUnexpected, eventPing: ignore, eventCancel: cancelQuery,
		eventClosed: dropConnection, eventUnreadable: dropConnection,
	},
	awaitingRows: {
		eventQuery: rejectUnexpected, eventData: bufferRows, eventPing: answerPing, eventCancel: cancelQuery,
		eventClosed: rejectUnreadable, eventUnreadable: rejectUnreadable,
	},
}

// eventOf returns the event of a read that returned a packet code or an error.
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
