package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// maxMessageBytes is the maximum size of a message of a result.
const maxMessageBytes = 64 << 20

// sendFlightSQL sends the statements over Arrow Flight SQL and returns the exit code.
func sendFlightSQL(ctx context.Context) int {
	client, err := flightsql.NewClient(cli.Address, nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		fmt.Fprintln(os.Stderr, "queryclient:", err)
		return exitNoConnection
	}
	defer func() { _ = client.Close() }() // the program ends
	ctx, err = client.Client.AuthenticateBasicToken(ctx, cli.User, cli.Password)
	if err != nil {
		return connectionFailed(err)
	}
	for name, value := range cli.Header {
		ctx = metadata.AppendToOutgoingContext(ctx, name, value)
	}
	code := exitServed
	for _, statement := range cli.Statements {
		code = max(code, sendStatement(ctx, client, statement))
	}
	return code
}

// sendStatement sends one statement, prints its result or error, and returns the exit code.
func sendStatement(ctx context.Context, client *flightsql.Client, statement string) int {
	if cli.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, cli.Timeout)
		defer cancel()
	}
	start := time.Now()
	rows, err := execute(ctx, client, statement)
	took := time.Since(start)
	if err == nil {
		return printServed(rows, took)
	}
	return printFailure(err, took)
}

// printFailure prints the status of a statement that was not served, with the dispatcher's details, and returns the exit
// code.
func printFailure(err error, took time.Duration) int {
	outcome, details := "failed", []string{}
	s, _ := status.FromError(err)
	for _, detail := range s.Details() {
		switch detail := detail.(type) {
		case *errdetails.ErrorInfo:
			outcome = detail.GetMetadata()["final"]
			details = append(details, "reason "+detail.GetReason(), detail.GetMetadata()["attempts"]+" attempts")
		case *errdetails.RetryInfo:
			details = append(details, "retry after "+detail.GetRetryDelay().AsDuration().String())
		}
	}
	fmt.Fprintf(os.Stderr, "%s after %v: %s: %s (%s)\n", outcome, took.Round(time.Microsecond), s.Code(), s.Message(),
		strings.Join(details, ", "))
	if outcome == "refused" {
		return exitShed
	}
	return exitFailed
}

// execute runs a statement and prints the result, which may come in parts from several Flight endpoints.
func execute(ctx context.Context, client *flightsql.Client, statement string) (rows int, err error) {
	if cli.Update {
		updated, err := client.ExecuteUpdate(ctx, statement)
		return int(updated), err
	}
	info, err := client.Execute(ctx, statement)
	if err != nil {
		return 0, err
	}
	for _, endpoint := range info.Endpoint {
		reader, err := client.DoGet(ctx, endpoint.Ticket)
		if err != nil {
			return rows, err
		}
		n, err := printPart(os.Stdout, reader, rows)
		reader.Release()
		rows += n
		if err != nil {
			return rows, err
		}
	}
	return rows, nil
}

// printPart reads one Flight endpoint's part of a result and prints its rows up to cli.Rows. before is the number of rows of
// the parts before it. It returns the number of rows read.
func printPart(out io.Writer, reader *flight.Reader, before int) (rows int, err error) {
	t := newTable(out)
	if before == 0 {
		var names []string
		for _, field := range reader.Schema().Fields() {
			names = append(names, field.Name)
		}
		t.header(names)
	}
	for reader.Next() {
		batch := reader.RecordBatch()
		for i := range int(batch.NumRows()) {
			if rows++; before+rows > cli.Rows {
				continue
			}
			cells := make([]string, batch.NumCols())
			for c := range cells {
				cells[c] = batch.Column(c).ValueStr(i)
			}
			t.row(cells)
		}
	}
	err = t.flush()
	if failed := reader.Err(); failed != nil && !errors.Is(failed, io.EOF) {
		err = failed
	}
	return rows, err
}
