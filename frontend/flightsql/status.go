package flightsql

import (
	"strconv"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"
	"google.golang.org/protobuf/types/known/durationpb"

	"embershunt/dispatch"
)

// Domain is the ErrorInfo domain of every refused or failed answer.
const Domain = "embershunt"

// statuses maps each reason to its code and words (docs/operators.md has the table).
var statuses = map[dispatch.Reason]struct {
	code codes.Code
	text string
}{
	dispatch.ReasonOverload:           {codes.ResourceExhausted, "refused: no room to answer in time; trying again does no harm"},
	dispatch.ReasonFull:               {codes.ResourceExhausted, "refused: this dispatcher holds all it may; trying again does no harm"},
	dispatch.ReasonClassRemoved:       {codes.Unavailable, "refused: the settings changed while it was on its way; trying again does no harm"},
	dispatch.ReasonDraining:           {codes.Unavailable, "refused: this dispatcher stops; another one may be tried at once"},
	dispatch.ReasonAttempt:            {codes.Aborted, "failed: the query may have run or not"},
	dispatch.ReasonBroken:             {codes.DataLoss, "failed: the answer broke off after it had begun"},
	dispatch.ReasonDeadline:           {codes.DeadlineExceeded, "failed: the deadline came before the end of the answer"},
	dispatch.ReasonStatement:          {codes.InvalidArgument, "failed: the query node turned the statement down"},
	dispatch.ReasonInternal:           {codes.Internal, "failed: the dispatcher is at fault"},
	dispatch.ReasonClientDisconnected: {codes.Canceled, "failed: called off by the client"},
	dispatch.ReasonStopped:            {codes.Unavailable, "failed: the dispatcher was stopped before the answer was in"},
}

// verdictError is the status of a final answer; nil where it was served.
func verdictError(v dispatch.Outcome) error {
	if v.Kind == dispatch.Served {
		return nil
	}
	e := statuses[v.Reason]
	text := e.text
	if v.Cause != nil {
		s, _ := status.FromError(v.Cause)
		if v.Reason == dispatch.ReasonStatement { // the node's own words and code
			e.code, text = s.Code(), s.Message()
		} else {
			text += " (last attempt: " + s.Message() + ")"
		}
	}
	details := []protoadapt.MessageV1{&errdetails.ErrorInfo{Reason: string(v.Reason), Domain: Domain,
		Metadata: map[string]string{"final": v.Kind.String(), "attempts": strconv.Itoa(v.Attempts)}}}
	if v.Kind == dispatch.Shed && v.RetryAfter > 0 {
		details = append(details, &errdetails.RetryInfo{
			RetryDelay: durationpb.New(time.Duration(v.RetryAfter) * time.Microsecond)})
	}
	s, err := status.New(e.code, text).WithDetails(details...)
	if err != nil { // the details always marshal
		return status.Error(e.code, text)
	}
	return s.Err()
}
