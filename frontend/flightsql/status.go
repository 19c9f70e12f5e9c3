package flightsql

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"
	"google.golang.org/protobuf/types/known/durationpb"

	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/internal/flightwire"
	"embershunt/session"
)

// Domain is the domain in the ErrorInfo of every query that is not served.
const Domain = "embershunt"

// statuses maps each reason to its gRPC status code and message (docs/operators.md has the table).
var statuses = map[dispatch.Reason]struct {
	code codes.Code
	text string
}{
	dispatch.ReasonOverload:           {codes.ResourceExhausted, "refused: no room to answer in time; trying again does no harm"},
	dispatch.ReasonFull:               {codes.ResourceExhausted, "refused: this dispatcher holds all it may; trying again does no harm"},
	dispatch.ReasonClassRemoved:       {codes.Unavailable, "refused: the settings changed while it was on its way; trying again does no harm"},
	dispatch.ReasonDraining:           {codes.Unavailable, "refused: this dispatcher stops; another one may be tried at once"},
	dispatch.ReasonAttemptFailed:      {codes.Aborted, "failed: the query may have run or not"},
	dispatch.ReasonResponseBroken:     {codes.DataLoss, "failed: the answer broke off after it had begun"},
	dispatch.ReasonDeadline:           {codes.DeadlineExceeded, "failed: the deadline came before the end of the answer"},
	dispatch.ReasonStatement:          {codes.InvalidArgument, "failed: the query node turned the statement down"},
	dispatch.ReasonInternal:           {codes.Internal, "failed: the dispatcher is at fault"},
	dispatch.ReasonClientDisconnected: {codes.Canceled, "failed: called off by the client"},
	dispatch.ReasonStopped:            {codes.Unavailable, "failed: the dispatcher was stopped before the answer was in"},
}

// outcomeError returns the gRPC status of an outcome; nil if the query was served.
func outcomeError(outcome dispatch.Outcome) error {
	if outcome.Kind == dispatch.Served {
		return nil
	}
	e := statuses[outcome.Reason]
	text := e.text
	if outcome.Cause != nil {
		s, _ := status.FromError(outcome.Cause) // has a message for an error without a status too
		if outcome.Reason == dispatch.ReasonStatement {
			e.code, text = s.Code(), s.Message() // code and message of the node
		} else {
			text += " (last attempt: " + s.Message() + ")"
		}
	}
	var retryAfter time.Duration
	if outcome.Kind == dispatch.Shed {
		retryAfter = time.Duration(outcome.RetryAfter) * time.Microsecond
	}
	return detailedError(e.code, text, &errdetails.ErrorInfo{Reason: string(outcome.Reason), Domain: Domain,
		Metadata: map[string]string{"final": outcome.Kind.String(), "attempts": strconv.Itoa(outcome.Attempts)}}, retryAfter)
}

// sessionError returns the gRPC status of a statement that its session rejected, or that failed because its session ended.
func sessionError(e *frontend.SessionError) error {
	code, final := codes.Aborted, "failed"
	switch e.Reason {
	case session.ReasonTooManySessions, session.ReasonTooManyTables:
		code, final = codes.ResourceExhausted, "refused"
	case session.ReasonNodesUnknown:
		code, final = codes.Unavailable, "refused"
	case session.ReasonBusy, session.ReasonNoTransaction, session.ReasonTransactionOpen, session.ReasonTransactionDone:
		code, final = codes.FailedPrecondition, "refused"
	case session.ReasonClosed:
		code = codes.Canceled
	}
	commit := "known not to have run"
	if !e.NothingCommitted() {
		commit = "unknown"
	}
	return detailedError(code, final+": "+e.Error(), &errdetails.ErrorInfo{Reason: string(e.Reason), Domain: Domain,
		Metadata: map[string]string{"final": final, "session": e.State.String(), "commit": commit}}, e.RetryAfter)
}

// detailedError returns a gRPC status with an ErrorInfo, and with a RetryInfo if retryAfter is positive.
func detailedError(code codes.Code, text string, info *errdetails.ErrorInfo, retryAfter time.Duration) error {
	details := []protoadapt.MessageV1{info}
	if retryAfter > 0 {
		details = append(details, &errdetails.RetryInfo{RetryDelay: durationpb.New(retryAfter)})
	}
	s, err := status.New(code, text).WithDetails(details...)
	if err != nil { // does not happen: these details can always be marshaled
		return status.Error(code, text)
	}
	return s.Err()
}

// malformed returns the gRPC status of a client's message that cannot be decoded.
func malformed(err error) error {
	return status.Error(codes.InvalidArgument, strings.TrimPrefix(err.Error(), "proto: "))
}

// malformedMessage returns the status of malformed with the name of the message in front.
func malformedMessage(name string, err error) error {
	return malformed(fmt.Errorf("%s: %w", name, err))
}

// errStatementSize returns the gRPC status of a statement that is too long; both sizes are in bytes.
func errStatementSize(size, maxSize int) error {
	return status.Errorf(codes.InvalidArgument, "statement of %d bytes, allowed are %d", size, maxSize)
}

// errUnknownCommand returns the gRPC status of a command that is not supported.
func errUnknownCommand(cmd flightwire.Command) error {
	return status.Errorf(codes.Unimplemented, "command %s is not supported", cmd.Name)
}
