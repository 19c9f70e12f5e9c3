// Command querynode is a simulated query node: it speaks Flight SQL and the ClickHouse native protocol, shares modelled cores
// between queries and answers with generated rows. It is for trying a dispatcher out; its costs are a model, not a measurement
// of any engine.
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

// cli are the flags.
var cli struct {
	Listen   string        `short:"l" default:"127.0.0.1:33011" help:"Address, as host:port."`
	Native   string        `default:"127.0.0.1:0" help:"Address of the ClickHouse native protocol, as host:port; port 0 is any."`
	Name     string        `short:"n" default:"node-1" help:"Name, shown in the column \"node\"."`
	Cores    int           `default:"8" help:"Cores shared."`
	MemoryMB float64       `name:"memory-mb" default:"16384" help:"Memory granted."`
	Cold     bool          `help:"Start cold."`
	ColdFor  time.Duration `default:"15s" help:"Time to warm up."`
	Seed     uint64        `default:"1" help:"Seed of faults by chance."`
	Hang     bool          `help:"Take queries and answer none."`
	Lose     bool          `help:"Do the work and lose the answers."`
	Full     bool          `help:"Turn all queries away unseen."`
	Fail     float64       `help:"Share of queries failed at once."`
	Slow     float64       `help:"Divide the speed by this."`
	Stall    int           `help:"Stop each answer after this many rows."`
	Cut      int           `help:"Break each answer off after this many rows."`
}

// Exit codes: 0 after SIGINT or SIGTERM, 1 where an address cannot be listened on, 80 for wrong usage.
func main() {
	kong.Parse(&cli, kong.Name("querynode"), kong.Description("A stand-in query node. Statements state their cost: "+
		"/* work_ms=120 threads=1 rows=1000 row_bytes=0 memory_mb=0 */"))
	node := simulated.NewNode(cli.Name, simulated.Model{Cores: cli.Cores, MemoryMB: cli.MemoryMB, ColdFor: cli.ColdFor}, cli.Seed)
	node.SetFaults(simulated.Faults{Hang: cli.Hang, LoseAnswers: cli.Lose, Full: cli.Full, Fail: cli.Fail, Slow: cli.Slow,
		StallRow: cli.Stall, CutRow: cli.Cut})
	node.Native = cli.Native
	if err := node.Start(cli.Listen, cli.Cold); err != nil {
		fmt.Fprintln(os.Stderr, "querynode:", err)
		os.Exit(1)
	}
	fmt.Println(cli.Name, "serves", node.Address, "and natively", node.Native)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	node.Crash()
}
