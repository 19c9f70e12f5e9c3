package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"embershunt/internal/native"
)

// overNative sends the statements over the ClickHouse native protocol.
func overNative(ctx context.Context) int {
	settings := map[string]string{}
	for k, v := range cli.Header {
		settings[k] = v
	}
	if cli.Timeout > 0 {
		settings["max_execution_time"] = fmt.Sprint(cli.Timeout.Seconds())
	}
	code := 0
	var c *native.Client
	for _, s := range cli.Statements {
		if c == nil {
			var err error
			if c, err = native.Dial(ctx, cli.Address, native.Hello{Name: "queryclient", User: cli.User, Password: cli.Password}); err != nil {
				fmt.Fprintf(os.Stderr, "queryclient: %s: %v\n", cli.Address, err)
				return 2
			}
		}
		begin, rows := time.Now(), 0
		w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		err := c.Query(ctx, s, settings, func(v *native.Values) error {
			if v.Rows() == 0 && len(v.Names) > 0 {
				fmt.Fprintln(w, strings.Join(v.Names, "\t")+"\t")
			}
			for i := range v.Rows() {
				if rows++; rows > cli.Rows {
					continue
				}
				for _, cells := range v.Cells {
					fmt.Fprintf(w, "%.40s\t", cells[i])
				}
				fmt.Fprintln(w)
			}
			return nil
		})
		w.Flush()
		took := time.Since(begin).Round(time.Microsecond)
		var e *native.Exception
		switch {
		case err == nil:
			fmt.Printf("served: %d rows in %v\n", rows, took)
		case errors.As(err, &e):
			code = max(code, 1)
			final := "failed"
			if strings.Contains(e.Message, ": refused (") {
				code, final = 3, "refused"
			}
			fmt.Fprintf(os.Stderr, "%s after %v: code %d: %s\n", final, took, e.Code, e.Message)
		default:
			code = max(code, 1)
			fmt.Fprintf(os.Stderr, "no word after %v: %v\n", took, err)
		}
		if err != nil { // the next one gets a fresh connection
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
	return code
}
