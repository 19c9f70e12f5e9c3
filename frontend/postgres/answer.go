package postgres

import (
	"fmt"

	"embershunt/dispatch"
	"embershunt/internal/lineproto"
	"embershunt/internal/pgwire"
)

// SQLSTATEs. Those of class 53 and 57P03 tell a client that a retry does no harm: no other error may have one of them.
const (
	codeFull      = "53300"
	codeOverload  = "53000"
	codeDraining  = "57P03"
	codeCancelled = "57014"
	codeStopped   = "57P01"
	codeProtocol  = "08P01"
	codeBadField  = "22023"
	codeOpen      = "55006"
	codeTooLong   = "54000"
	codeAttempt   = "58000"
	codeBroken    = "58030"
	codeInternal  = "XX000"
	codeUnknown   = "0A000"
)

// appendError appends an error after which the session goes on.
func appendError(b []byte, code, message string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(b, pgwire.Error, code, message))
}

// encodeOutcome encodes a query's outcome as messages.
func encodeOutcome(o dispatch.Outcome) []byte {
	switch o.Kind {
	case dispatch.Served:
		if result, ok := o.Result.(*lineproto.Result); ok {
			return encodeRows(result)
		}
		return encodeFailure(dispatch.ReasonInternal)
	case dispatch.Failed:
		return encodeFailure(o.Reason)
	}
	code, message := codeOverload, "refused, trying again does no harm: "+string(o.Reason)
	if o.Reason == dispatch.ReasonDraining {
		code = codeDraining
	}
	if pauseMillis := o.RetryAfter / 1000; pauseMillis > 0 {
		message += fmt.Sprintf("; pause=%d", pauseMillis)
	}
	return appendError(nil, code, message)
}

// encodeFailure encodes the outcome of a query that may have run.
func encodeFailure(reason dispatch.Reason) []byte {
	return appendError(nil, failureCode(reason), "failed: "+string(reason))
}

// failureCode is the SQLSTATE of a failure.
func failureCode(r dispatch.Reason) string {
	switch r {
	case dispatch.ReasonClientDisconnected, dispatch.ReasonDeadline:
		return codeCancelled
	case dispatch.ReasonStopped:
		return codeStopped
	case dispatch.ReasonBroken:
		return codeBroken
	case dispatch.ReasonInternal:
		return codeInternal
	}
	return codeAttempt
}

// Estimates of an encoded result's size in bytes, beside the text of its rows.
const (
	rowOverheadBytes    = 20
	resultOverheadBytes = 160
)

// encodeRows encodes a result.
func encodeRows(r *lineproto.Result) []byte {
	rows := 0
	r.Rows(func([][]byte) { rows++ })
	b := make([]byte, 0, r.Size()+rows*rowOverheadBytes+resultOverheadBytes)
	b = pgwire.AppendColumns(b, "c1", "c2", "c3")
	r.Rows(func(columns [][]byte) { b = pgwire.AppendRow(b, columns...) })
	return pgwire.AppendReady(pgwire.AppendComplete(b, fmt.Sprintf("SELECT %d", rows)))
}
