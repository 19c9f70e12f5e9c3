// Command queryclient sends statements to a dispatcher over Arrow Flight SQL or the ClickHouse native protocol and prints
// the results as tables.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"
)

var cli struct {
	Statements []string          `arg:"" help:"SQL statements, sent one after another."`
	Address    string            `short:"a" help:"Dispatcher, as host:port; default 127.0.0.1:32010, with --native 127.0.0.1:32011."`
	Native     bool              `help:"Use the ClickHouse native protocol instead of Arrow Flight SQL."`
	User       string            `short:"u" default:"demo" help:"User name."`
	Password   string            `short:"p" env:"EMBERQUERY_PASSWORD" default:"demo" help:"Password."`
	Timeout    time.Duration     `short:"t" help:"Time limit of each statement; 0: the dispatcher's."`
	Update     bool              `help:"Send the statements as updates (Flight SQL only)."`
	Header     map[string]string `short:"H" help:"Call headers as NAME=VALUE; with --native, settings of the query."`
	Rows       int               `short:"n" default:"50" help:"Maximum number of rows printed of each result."`
}

// Default addresses of a dispatcher.
const (
	defaultFlightSQL = "127.0.0.1:32010"
	defaultNative    = "127.0.0.1:32011"
)

// Exit codes. With several statements, the highest of their codes is returned. kong exits with 80 for wrong usage.
const (
	exitServed       = 0
	exitFailed       = 1 // a statement failed
	exitNoConnection = 2 // no connection
	exitShed         = 3 // a statement was refused: a retry is safe
)

func main() {
	kong.Parse(&cli, kong.Name("queryclient"), kong.Description("Sends statements to a dispatcher."))
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	send, address := sendFlightSQL, defaultFlightSQL
	if cli.Native {
		send, address = sendNative, defaultNative
	}
	if cli.Address == "" {
		cli.Address = address
	}
	return send(ctx)
}

// connectionFailed prints why the dispatcher cannot be reached, and returns the exit code.
func connectionFailed(err error) int {
	fmt.Fprintf(os.Stderr, "queryclient: %s: %v\n", cli.Address, err)
	return exitNoConnection
}

// printServed prints that a complete result was received, and returns the exit code.
func printServed(rows int, took time.Duration) int {
	fmt.Printf("served: %d rows in %v\n", rows, took.Round(time.Microsecond))
	return exitServed
}
