package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"strings"
	"time"

	"embershunt/internal/native"
)

// sendNative sends the statements over the ClickHouse native protocol and returns the exit code.
func sendNative(ctx context.Context) int {
	settings := maps.Clone(cli.Header)
	if settings == nil {
		settings = map[string]string{}
	}
	if cli.Timeout > 0 {
		settings["max_execution_time"] = fmt.Sprint(cli.Timeout.Seconds())
	}
	code := exitServed
	var client *native.Client
	for _, statement := range cli.Statements {
		if client == nil {
			var err error
			hello := native.Hello{Name: "queryclient", User: cli.User, Password: cli.Password}
			if client, err = native.Dial(ctx, cli.Address, hello); err != nil {
				return connectionFailed(err)
			}
		}
		statementCode, err := sendNativeStatement(ctx, client, statement, settings)
		code = max(code, statementCode)
		if err != nil { // the next statement gets a new connection
			_ = client.Close()
			client = nil
		}
	}
	if client != nil {
		_ = client.Close() // the program ends
	}
	return code
}

// sendNativeStatement sends one statement and prints its result or error; err is why there is no complete result.
func sendNativeStatement(ctx context.Context, client *native.Client, statement string, settings map[string]string) (code int, err error) {
	start, rows := time.Now(), 0
	t := newTable(os.Stdout)
	err = client.Query(ctx, statement, settings, func(block *native.Values) error {
		if block.Rows() == 0 && len(block.Names) > 0 {
			t.header(block.Names)
		}
		for i := range block.Rows() {
			if rows++; rows > cli.Rows {
				continue
			}
			var cells []string
			for _, column := range block.Columns {
				cells = append(cells, column[i])
			}
			t.row(cells)
		}
		return nil
	})
	if printErr := t.flush(); err == nil && printErr != nil {
		return exitFailed, printErr
	}
	took := time.Since(start)
	if err == nil {
		return printServed(rows, took), nil
	}
	return printNativeFailure(err, took), err
}

// printNativeFailure prints why a statement was not served, the dispatcher's exception or the error of the connection, and
// returns the exit code.
func printNativeFailure(err error, took time.Duration) int {
	took = took.Round(time.Microsecond)
	var exception *native.Exception
	if !errors.As(err, &exception) {
		fmt.Fprintf(os.Stderr, "no complete reply after %v: %v\n", took, err)
		return exitFailed
	}
	outcome, code := "failed", exitFailed
	if strings.Contains(exception.Message, ": refused (") {
		outcome, code = "refused", exitShed
	}
	fmt.Fprintf(os.Stderr, "%s after %v: code %d: %s\n", outcome, took, exception.Code, exception.Message)
	return code
}
