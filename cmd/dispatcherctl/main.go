// Command dispatcherctl is the operators' command line for a running dispatcher: it speaks to its admin socket.
package main

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"embershunt/server"
)

var cli struct {
	Socket string    `short:"s" default:"emberdispatch.sock" help:"Admin socket of the dispatcher (listen.admin)."`
	Config configCmd `cmd:"" help:"Streamed settings: what is in force, what was, and what an operator may do about it."`
	Key    keyCmd    `cmd:"" help:"Make an operator's key pair for overrides."`
}

type configCmd struct {
	Show     showCmd     `cmd:"" help:"Print the set in force, what was refused and why, and the settings in effect."`
	History  historyCmd  `cmd:"" help:"List the sets in the store."`
	Diff     diffCmd     `cmd:"" help:"Compare two sets of the store, line by line."`
	Pin      pinCmd      `cmd:"" help:"Hold the set in force, or let go of it with --off."`
	Override overrideCmd `cmd:"" help:"Let one number pass the checks for harm, once; signed."`
	Rollback rollbackCmd `cmd:"" help:"Put an earlier set in force and hold it."`
}

// Exit codes: 0 done, 1 turned down or not reached, 2 wrong usage.
func main() {
	ctx := kong.Parse(&cli, kong.Name("dispatcherctl"), kong.Description("Operates a running dispatcher."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "dispatcherctl:", err)
		os.Exit(1)
	}
}

// call speaks HTTP on the socket.
func call(method, path string, form url.Values, into any) error {
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "unix", cli.Socket)
		}}}
	r, err := http.NewRequest(method, "http://dispatcher"+path, strings.NewReader(form.Encode()))
	if err != nil {
		return err
	}
	r.Header.Set("content-type", "application/x-www-form-urlencoded")
	answer, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }() // all of it has been read
	text, err := io.ReadAll(io.LimitReader(answer.Body, 64<<20))
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		var failed struct{ Error string }
		if json.Unmarshal(text, &failed) == nil && failed.Error != "" {
			return fmt.Errorf("%s", failed.Error)
		}
		return fmt.Errorf("%s", answer.Status)
	}
	return json.Unmarshal(text, into)
}

func state(method, path string, form url.Values) error {
	var s server.ConfigState
	if err := call(method, path, form, &s); err != nil {
		return err
	}
	printState(s)
	return nil
}

func printState(s server.ConfigState) {
	from := fmt.Sprintf("set %d", s.Status.Number)
	if s.Status.Number == 0 {
		from = "the file"
	}
	fmt.Printf("%s runs by %s", s.Dispatcher, from)
	if s.Status.Pinned {
		fmt.Print(", pinned")
	}
	fmt.Println()
	if s.Status.Updating > 0 {
		fmt.Printf("on its way: set %d\n", s.Status.Updating)
	}
	if len(s.Status.Incomplete) > 0 {
		fmt.Printf("waiting for the rest of a set: %s\n", strings.Join(s.Status.Incomplete, ", "))
	}
	for _, r := range s.Status.Rejected {
		fmt.Println("refused last:", r)
	}
}

type showCmd struct {
	Effective bool `help:"Print the settings in effect too."`
}

// Run prints the version in force, what is on its way and what was refused last.
func (c *showCmd) Run() error {
	var s server.ConfigState
	if err := call("GET", "/config", nil, &s); err != nil {
		return err
	}
	printState(s)
	if c.Effective {
		text, err := indented(s.Effective)
		fmt.Println(text)
		return err
	}
	return nil
}

// indented lays JSON out with a field a line.
func indented(text json.RawMessage) (string, error) {
	var b bytes.Buffer
	err := json.Indent(&b, text, "", "  ")
	return b.String(), err
}

type historyCmd struct{}

// Run lists the versions in the store, the oldest first.
func (historyCmd) Run() error {
	var s server.ConfigState
	if err := call("GET", "/config", nil, &s); err != nil {
		return err
	}
	for _, n := range s.History {
		mark := ""
		if n == s.Status.Number {
			mark = "  in force"
		}
		fmt.Printf("set %d%s\n", n, mark)
	}
	return nil
}

type diffCmd struct {
	From uint64 `arg:"" help:"Number of a set."`
	To   uint64 `arg:"" help:"Number of another."`
}

// Run prints the lines that differ between the effective settings of two versions.
func (c *diffCmd) Run() error {
	var lines [2][]string
	for i, n := range []uint64{c.From, c.To} {
		var text json.RawMessage
		if err := call("GET", fmt.Sprintf("/config/%d", n), nil, &text); err != nil {
			return err
		}
		wide, err := indented(text)
		if err != nil {
			return err
		}
		lines[i] = strings.Split(wide, "\n")
	}
	for _, l := range diff(lines[0], lines[1]) {
		fmt.Println(l)
	}
	return nil
}

type pinCmd struct {
	Off bool `help:"Let go."`
}

// Run holds the dispatcher at the version in force, or ends that.
func (c *pinCmd) Run() error {
	return state("POST", "/config/pin", url.Values{"on": {fmt.Sprint(!c.Off)}})
}

type overrideCmd struct {
	Number uint64 `arg:"" help:"Number of the set, or version of the node list."`
	Key    string `required:"" type:"existingfile" help:"File with the operator's private key."`
}

// Run lets one version pass the safety checks, with a signature by the operator's key.
func (c *overrideCmd) Run() error {
	text, err := os.ReadFile(c.Key)
	if err != nil {
		return err
	}
	seed, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return fmt.Errorf("%s: wanted are %d hex digits, as \"dispatcherctl key\" writes them", c.Key, 2*ed25519.SeedSize)
	}
	var s server.ConfigState
	if err := call("GET", "/config", nil, &s); err != nil {
		return err
	}
	sig := ed25519.Sign(ed25519.NewKeyFromSeed(seed), server.OverrideMessage(s.Dispatcher, c.Number))
	return state("POST", "/config/override", url.Values{"number": {fmt.Sprint(c.Number)}, "signature": {hex.EncodeToString(sig)}})
}

type rollbackCmd struct {
	Number uint64 `arg:"" help:"Number of a set in the store."`
}

// Run puts an earlier version from the store in force.
func (c *rollbackCmd) Run() error {
	return state("POST", "/config/rollback", url.Values{"number": {fmt.Sprint(c.Number)}})
}

type keyCmd struct {
	File string `arg:"" help:"File to write the private key to; the public one is printed."`
}

// Run makes an operator's key pair; an existing file is never overwritten.
func (c *keyCmd) Run() error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(c.File, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(f, hex.EncodeToString(private.Seed())); err != nil {
		return err
	}
	fmt.Printf("control.operator_key: %q\n", hex.EncodeToString(public))
	return f.Close()
}
