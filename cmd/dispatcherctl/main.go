// Command dispatcherctl operates a running dispatcher through its admin socket.
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
	Config configCmd `cmd:"" help:"Show and control the settings that the control service streams."`
	Key    keyCmd    `cmd:"" help:"Generate an operator's key pair for overrides."`
}

type configCmd struct {
	Show     showCmd     `cmd:"" help:"Print the active set and the last rejection, with --effective also the settings."`
	History  historyCmd  `cmd:"" help:"List the sets in the store."`
	Diff     diffCmd     `cmd:"" help:"Compare the effective settings of two sets in the store."`
	Pin      pinCmd      `cmd:"" help:"Keep the active set until unpinned with --off."`
	Override overrideCmd `cmd:"" help:"Let one set or node list version pass the safety checks once; signed."`
	Rollback rollbackCmd `cmd:"" help:"Activate an earlier set and pin it."`
}

// Exit codes: 0 done; 1 rejected by the dispatcher, or another error; 80 wrong usage (by kong).
func main() {
	ctx := kong.Parse(&cli, kong.Name("dispatcherctl"), kong.Description("Operates a running dispatcher."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "dispatcherctl:", err)
		os.Exit(1)
	}
}

// call sends an HTTP request on the admin socket and decodes the JSON reply into result.
func call(method, path string, form url.Values, result any) error {
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
	return json.Unmarshal(text, result)
}

// postState sends a request and prints the state that the dispatcher replies with.
func postState(method, path string, form url.Values) error {
	var s server.ConfigState
	if err := call(method, path, form, &s); err != nil {
		return err
	}
	printState(s)
	return nil
}

func printState(s server.ConfigState) {
	source := fmt.Sprintf("set %d", s.Status.Number)
	if s.Status.Number == 0 {
		source = "its configuration file"
	}
	fmt.Printf("%s uses %s", s.Dispatcher, source)
	if s.Status.Pinned {
		fmt.Print(", pinned")
	}
	fmt.Println()
	if s.Status.Updating > 0 {
		fmt.Printf("update in progress: set %d\n", s.Status.Updating)
	}
	if len(s.Status.Incomplete) > 0 {
		fmt.Printf("incomplete set, received so far: %s\n", strings.Join(s.Status.Incomplete, ", "))
	}
	for _, r := range s.Status.Rejected {
		fmt.Println("last rejection:", r)
	}
}

type showCmd struct {
	Effective bool `help:"Also print the effective settings."`
}

// Run prints the active set, updates in progress and the last rejection.
func (c *showCmd) Run() error {
	var s server.ConfigState
	if err := call("GET", "/config", nil, &s); err != nil {
		return err
	}
	printState(s)
	if c.Effective {
		text, err := indentJSON(s.Effective)
		fmt.Println(text)
		return err
	}
	return nil
}

// indentJSON formats JSON with one field per line.
func indentJSON(text json.RawMessage) (string, error) {
	var b bytes.Buffer
	err := json.Indent(&b, text, "", "  ")
	return b.String(), err
}

type historyCmd struct{}

// Run lists the sets in the store, the oldest first.
func (historyCmd) Run() error {
	var s server.ConfigState
	if err := call("GET", "/config", nil, &s); err != nil {
		return err
	}
	for _, n := range s.History {
		mark := ""
		if n == s.Status.Number {
			mark = "  active"
		}
		fmt.Printf("set %d%s\n", n, mark)
	}
	return nil
}

type diffCmd struct {
	From uint64 `arg:"" help:"Number of a set."`
	To   uint64 `arg:"" help:"Number of the set to compare it with."`
}

// Run prints the lines that differ between the effective settings of two sets.
func (c *diffCmd) Run() error {
	var lines [2][]string
	for i, n := range []uint64{c.From, c.To} {
		var text json.RawMessage
		if err := call("GET", fmt.Sprintf("/config/%d", n), nil, &text); err != nil {
			return err
		}
		indented, err := indentJSON(text)
		if err != nil {
			return err
		}
		lines[i] = strings.Split(indented, "\n")
	}
	for _, l := range diff(lines[0], lines[1]) {
		fmt.Println(l)
	}
	return nil
}

type pinCmd struct {
	Off bool `help:"Unpin."`
}

// Run pins the dispatcher to the active set, or unpins it.
func (c *pinCmd) Run() error {
	return postState("POST", "/config/pin", url.Values{"on": {fmt.Sprint(!c.Off)}})
}

type overrideCmd struct {
	Number uint64 `arg:"" help:"Number of the set, or version of the node list."`
	Key    string `required:"" type:"existingfile" help:"File with the operator's private key."`
}

// Run lets one set or node list version pass the safety checks, with a signature by the operator's key.
func (c *overrideCmd) Run() error {
	text, err := os.ReadFile(c.Key)
	if err != nil {
		return err
	}
	seed, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return fmt.Errorf("%s: no private key: allowed are %d hex digits, as written by \"dispatcherctl key\"", c.Key, 2*ed25519.SeedSize)
	}
	var s server.ConfigState
	if err := call("GET", "/config", nil, &s); err != nil {
		return err
	}
	sig := ed25519.Sign(ed25519.NewKeyFromSeed(seed), server.OverrideSigningMessage(s.Dispatcher, c.Number))
	return postState("POST", "/config/override", url.Values{"number": {fmt.Sprint(c.Number)}, "signature": {hex.EncodeToString(sig)}})
}

type rollbackCmd struct {
	Number uint64 `arg:"" help:"Number of a set in the store."`
}

// Run activates an earlier set from the store.
func (c *rollbackCmd) Run() error {
	return postState("POST", "/config/rollback", url.Values{"number": {fmt.Sprint(c.Number)}})
}

type keyCmd struct {
	File string `arg:"" help:"New file for the private key. The public key is printed."`
}

// Run generates an operator's key pair. It never overwrites an existing file.
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
