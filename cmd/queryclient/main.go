// Command queryclient sends statements to a dispatcher over Arrow Flight SQL or the ClickHouse native protocol and prints their answers as tables.
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
	Native     bool              `help:"Speak the ClickHouse native protocol in place of Arrow Flight SQL."`
	User       string            `short:"u" default:"demo" help:"User name."`
	Password   string            `short:"p" env:"EMBERQUERY_PASSWORD" default:"demo" help:"Password."`
	Timeout    time.Duration     `short:"t" help:"Deadline of each statement; 0 leaves it to the dispatcher."`
	Update     bool              `help:"Send as updates."`
	Header     map[string]string `short:"H" help:"Call headers; with --native settings of the query."`
	Rows       int               `short:"n" default:"50" help:"Most rows printed of an answer."`
}

// Addresses at which a dispatcher listens by default.
const (
	defaultFlightSQL = "127.0.0.1:32010"
	defaultNative    = "127.0.0.1:32011"
)

// Exit codes. Of several statements the highest counts.
const (
	exitServed       = 0
	exitFailed       = 1 // a statement failed
	exitNoConnection = 2 // wrong usage or no connection
	exitShed         = 3 // a statement was refused: a retry does no harm
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

// noConnection reports that the dispatcher cannot be reached.
func noConnection(err error) int {
	fmt.Fprintf(os.Stderr, "queryclient: %s: %v\n", cli.Address, err)
	return exitNoConnection
}

// served reports an answer that came whole.
func served(rows int, took time.Duration) int {
	fmt.Printf("served: %d rows in %v\n", rows, took.Round(time.Microsecond))
	return exitServed
}
