package postgres

import (
	"fmt"

	"embershunt/dispatch"
	"embershunt/internal/lineproto"
	"embershunt/internal/pgwire"
	"embershunt/policy"
)

// SQLSTATEs. Class 53 and 57P03 tell a client that a retry does no harm: no other error may have one of them.
const (
	codeTooManyConnections = "53300"
	codeOverload           = "53000"
	codeDraining           = "57P03"
	codeCancelled          = "57014" // by the client, or at the deadline
	codeStopped            = "57P01"
	codeProtocolViolation  = "08P01"
	codeBadField           = "22023"
	codeIDInUse            = "55006" // a query with the same id is open
	codeTooLong            = "54000"
	codeAttemptFailed      = "58000"
	codeResponseBroken     = "58030" // the response broke off
	codeInternal           = "XX000"
	codeUnsupported        = "0A000"
)

// encodeError encodes an error after which the session continues.
func encodeError(code, message string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, pgwire.Error, code, message))
}

// encodeOutcome encodes a query's outcome as the messages of its answer.
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
	code := codeOverload
	if o.Reason == dispatch.ReasonDraining {
		code = codeDraining
	}
	return encodeRefusal(code, string(o.Reason), o.RetryAfter)
}

// encodeRefusal encodes the refusal of a query that has not run; retryAfter is how long the client is asked to wait, or 0.
func encodeRefusal(code, reason string, retryAfter policy.Micros) []byte {
	message := "refused, trying again does no harm: " + reason
	if pauseMillis := retryAfter / 1000; pauseMillis > 0 {
		message += fmt.Sprintf("; pause=%d", pauseMillis)
	}
	return encodeError(code, message)
}

// encodeFailure encodes the failure of a query that may have run.
func encodeFailure(reason dispatch.Reason) []byte {
	return encodeError(failureCode(reason), "failed: "+string(reason))
}

// failureCode returns the SQLSTATE of a failure.
func failureCode(r dispatch.Reason) string {
	switch r {
	case dispatch.ReasonClientDisconnected, dispatch.ReasonDeadline:
		return codeCancelled
	case dispatch.ReasonStopped:
		return codeStopped
	case dispatch.ReasonResponseBroken:
		return codeResponseBroken
	case dispatch.ReasonInternal:
		return codeInternal
	}
	return codeAttemptFailed
}

// Estimated bytes of an encoded result in addition to the text of its rows, to allocate its buffer once.
const (
	rowOverheadBytes    = 20
	resultOverheadBytes = 160
)

// encodeRows encodes a result as the messages of its answer.
func encodeRows(r *lineproto.Result) []byte {
	rows := 0
	r.Rows(func([][]byte) { rows++ })
	b := make([]byte, 0, r.Size()+rows*rowOverheadBytes+resultOverheadBytes)
	b = pgwire.AppendColumns(b, "c1", "c2", "c3")
	r.Rows(func(columns [][]byte) { b = pgwire.AppendRow(b, columns...) })
	return pgwire.AppendReady(pgwire.AppendComplete(b, fmt.Sprintf("SELECT %d", rows)))
}
