// Command queryclient sends statements to a dispatcher over Arrow Flight SQL or the ClickHouse native protocol and prints their answers as tables.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
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

// Exit codes: 0 all served, 1 one failed, 2 wrong usage or no connection, 3 one refused (trying again does no harm).
func main() {
	kong.Parse(&cli, kong.Name("queryclient"), kong.Description("Sends statements to a dispatcher."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if cli.Address == "" {
		cli.Address = "127.0.0.1:32010"
		if cli.Native {
			cli.Address = "127.0.0.1:32011"
		}
	}
	if cli.Native {
		os.Exit(overNative(ctx))
	}
	client, err := flightsql.NewClient(cli.Address, nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64<<20)))
	if err != nil {
		fmt.Fprintln(os.Stderr, "queryclient:", err)
		os.Exit(2)
	}
	defer client.Close()
	ctx, err = client.Client.AuthenticateBasicToken(ctx, cli.User, cli.Password)
	if err != nil {
		fmt.Fprintf(os.Stderr, "queryclient: %s: %v\n", cli.Address, err)
		os.Exit(2)
	}
	for k, v := range cli.Header {
		ctx = metadata.AppendToOutgoingContext(ctx, k, v)
	}
	code := 0
	for _, s := range cli.Statements {
		code = max(code, one(ctx, client, s))
	}
	os.Exit(code)
}

func one(ctx context.Context, client *flightsql.Client, statement string) int {
	if cli.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, cli.Timeout)
		defer cancel()
	}
	begin := time.Now()
	rows, err := send(ctx, client, statement)
	took := time.Since(begin).Round(time.Microsecond)
	if err == nil {
		fmt.Printf("served: %d rows in %v\n", rows, took)
		return 0
	}
	final, words := "failed", []string{}
	s, _ := status.FromError(err)
	for _, d := range s.Details() {
		switch d := d.(type) {
		case *errdetails.ErrorInfo:
			final = d.GetMetadata()["final"]
			words = append(words, "reason "+d.GetReason(), d.GetMetadata()["attempts"]+" attempts")
		case *errdetails.RetryInfo:
			words = append(words, "come back in "+d.GetRetryDelay().AsDuration().String())
		}
	}
	fmt.Fprintf(os.Stderr, "%s after %v: %s: %s (%s)\n", final, took, s.Code(), s.Message(), strings.Join(words, ", "))
	if final == "refused" {
		return 3
	}
	return 1
}

func send(ctx context.Context, client *flightsql.Client, statement string) (int64, error) {
	if cli.Update {
		return client.ExecuteUpdate(ctx, statement)
	}
	info, err := client.Execute(ctx, statement)
	if err != nil {
		return 0, err
	}
	rows := int64(0)
	for _, e := range info.Endpoint {
		r, err := client.DoGet(ctx, e.Ticket)
		if err != nil {
			return rows, err
		}
		n, err := show(os.Stdout, r, rows)
		r.Release()
		rows += n
		if err != nil {
			return rows, err
		}
	}
	return rows, nil
}

// show prints the first rows of an answer; before counts those of earlier endpoints.
func show(out io.Writer, r *flight.Reader, before int64) (rows int64, err error) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	if before == 0 {
		for _, f := range r.Schema().Fields() {
			fmt.Fprintf(w, "%s\t", f.Name)
		}
		fmt.Fprintln(w)
	}
	for r.Next() {
		b := r.RecordBatch()
		for i := range int(b.NumRows()) {
			if rows++; before+rows > int64(cli.Rows) {
				continue
			}
			for c := range int(b.NumCols()) {
				fmt.Fprintf(w, "%.40s\t", b.Column(c).ValueStr(i))
			}
			fmt.Fprintln(w)
		}
	}
	if err := r.Err(); err != nil && !errors.Is(err, io.EOF) {
		return rows, err
	}
	return rows, nil
}
