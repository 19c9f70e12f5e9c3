// Command configcheck validates a dispatcher's configuration file and prints the effective configuration, with defaults.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"embershunt/config"
)

var cli struct {
	File  string `arg:"" type:"existingfile" help:"Configuration file (JSON with comments)."`
	Quiet bool   `short:"q" help:"Print errors only."`
}

// Exit codes: 0 valid; 1 invalid; 80 wrong usage (by kong).
func main() {
	kong.Parse(&cli, kong.Name("configcheck"), kong.Description("Checks a dispatcher's configuration."))
	cfg, err := config.Load(cli.File)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	text, err := cfg.Effective()
	if err != nil {
		fmt.Fprintln(os.Stderr, "configcheck:", err)
		os.Exit(1)
	}
	if !cli.Quiet {
		fmt.Println(string(text))
	}
}
