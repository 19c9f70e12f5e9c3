// Command querynode is a simulated query node for trying out a dispatcher. It serves Flight SQL and the ClickHouse native
// protocol, shares modelled cores between queries and replies with generated rows. Its costs are a model, not a measurement of
// any engine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"embershunt/simulated"
)

// cli holds the flags.
var cli struct {
	Listen   string        `short:"l" default:"127.0.0.1:33011" help:"Address of Flight SQL, as host:port."`
	Native   string        `default:"127.0.0.1:0" help:"Address of the ClickHouse native protocol, as host:port; port 0 picks a free port."`
	Name     string        `short:"n" default:"node-1" help:"Name of the node, shown in the column \"node\"."`
	Cores    int           `default:"8" help:"Modelled cores, shared by the queries."`
	MemoryMB float64       `name:"memory-mb" default:"16384" help:"Memory, in MB."`
	Cold     bool          `help:"Start cold, with reduced capacity until warmed up."`
	ColdFor  time.Duration `default:"15s" help:"Time that a cold node takes to warm up."`
	Seed     uint64        `default:"1" help:"Seed of the random faults."`
	Hang     bool          `help:"Accept queries and never reply."`
	Lose     bool          `help:"Run queries and lose their results."`
	Full     bool          `help:"Reject all queries before they run."`
	Fail     float64       `help:"Share of queries that fail immediately, 0 to 1."`
	Slow     float64       `help:"Divisor of the node's speed."`
	Stall    int           `help:"Stop sending each result after this many rows, without an end."`
	Cut      int           `help:"Break each result off after this many rows."`
}

// Exit codes: 0 ended by SIGINT or SIGTERM; 1 cannot listen on an address; 80 wrong usage (by kong).
func main() {
	kong.Parse(&cli, kong.Name("querynode"), kong.Description("A simulated query node. Statements state their cost: "+
		"/* work_ms=120 threads=1 rows=1000 row_bytes=0 memory_mb=0 */"))
	node := simulated.NewNode(cli.Name, simulated.MachineModel{Cores: cli.Cores, MemoryMB: cli.MemoryMB, WarmUpTime: cli.ColdFor}, cli.Seed)
	node.SetFaults(simulated.Faults{Hang: cli.Hang, LoseAnswers: cli.Lose, RejectQueries: cli.Full,
		FailShare: cli.Fail, SlowFactor: cli.Slow,
		StallAfterRows: cli.Stall, CutAfterRows: cli.Cut})
	node.NativeAddress = cli.Native
	if err := node.Start(cli.Listen, cli.Cold); err != nil {
		fmt.Fprintln(os.Stderr, "querynode:", err)
		os.Exit(1)
	}
	fmt.Println(cli.Name, "serves", node.Address, "and natively", node.NativeAddress)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	node.Crash()
}
