package scenario

import (
	"context"
	"errors"
	"io"

	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/status"
)

// execute runs a statement with a real Flight SQL client and returns the number of rows that it read or updated.
func execute(ctx context.Context, client *flightsql.Client, statement string, update bool) (rows int64, err error) {
	if update {
		return client.ExecuteUpdate(ctx, statement)
	}
	info, err := client.Execute(ctx, statement)
	if err != nil {
		return 0, err
	}
	r, err := client.DoGet(ctx, info.Endpoint[0].Ticket)
	if err != nil {
		return 0, err
	}
	defer r.Release()
	for r.Next() {
		rows += r.RecordBatch().NumRows()
	}
	if err := r.Err(); err != nil && !errors.Is(err, io.EOF) {
		return rows, err
	}
	return rows, nil
}

// grpcOutcome reads the final answer from the details of a gRPC error.
func grpcOutcome(err error) (out outcome) {
	if err == nil {
		return outcome{kind: "served"}
	}
	var s interface{ GRPCStatus() *status.Status }
	if !errors.As(err, &s) {
		return outcome{}
	}
	for _, detail := range s.GRPCStatus().Details() {
		switch detail := detail.(type) {
		case *errdetails.ErrorInfo:
			out.kind, out.reason = detail.GetMetadata()["final"], detail.GetReason()
		case *errdetails.RetryInfo:
			out.retryAfter = detail.GetRetryDelay().AsDuration()
		}
	}
	return out
}
