package server_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"golang.org/x/crypto/bcrypt"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"embershunt/config"
	"embershunt/nodelist"
	"embershunt/server"
	"embershunt/simulated"
)

// rig runs a dispatcher in front of simulated nodes on loopback.
type rig struct {
	t      testing.TB
	cfg    *config.Config
	d      *server.Dispatcher
	nodes  []*simulated.Node
	client *flightsql.Client
	ended  chan error         // receives the result of each Run
	cancel context.CancelFunc // ends the current Run
}

// rigConfig is a format string: classes put first, the node list, further settings.
const rigConfig = `{
  "listen": {"flightsql": "127.0.0.1:0", "native": "127.0.0.1:0"},
  "classes": [%s
    {"name": "lookup", "aim": "750ms", "aim_stretch": 1.5, "deadline": "4s", "window": "1m"},
    {"name": "report", "worth": 10, "aim": "2s", "deadline": "15s", "threads": 4, "late_worth": 0.4}
  ],
  "sending": {"grants": true, "priorities": true, "probes": true},
  "nodes": %s %s
}`

// newRig starts nodes, a dispatcher that lists them, and a client. extraConfig is appended to the configuration.
func newRig(t testing.TB, nodes int, extraConfig string) *rig {
	t.Helper()
	return newRigWith(t, nodes, func(rows string) string { return `{"list": [` + rows + `]}` }, extraConfig)
}

// newRigWith is newRig with a node list setting of the caller: source returns it, given the rows of all nodes as JSON. classes are put in
// front of the classes of rigConfig. Nodes have 64 cores if extraConfig contains "large" as a JSON string, else 8.
func newRigWith(t testing.TB, nodes int, source func(rows string) string, extraConfig string, classes ...string) *rig {
	t.Helper()
	r := &rig{t: t, ended: make(chan error, 1)}
	cores := 8
	if strings.Contains(extraConfig, `"large"`) {
		cores = 64
	}
	var rows []string
	for i := range nodes {
		n := simulated.NewNode(fmt.Sprintf("node-%d", i), simulated.MachineModel{Cores: cores}, uint64(i))
		if err := n.Start("127.0.0.1:0", false); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Crash)
		r.nodes = append(r.nodes, n)
		rows = append(rows, fmt.Sprintf(`{"name": %q, "address": %q, "native": %q}`, n.Name, n.Address, n.NativeAddress))
	}
	extraConfig += fmt.Sprintf(`, "kinds": [{"name": "standin", "cores": %d, "memory_mb": 16384}]`, cores)
	if !strings.Contains(extraConfig, `"users"`) {
		extraConfig += `, "any_user": true`
	}
	cfg, err := config.Parse("rig", fmt.Appendf(nil, rigConfig, strings.Join(classes, ""), source(strings.Join(rows, ",")), extraConfig))
	if err != nil {
		t.Fatal(err)
	}
	r.cfg = cfg
	r.start("")
	r.client = r.connect()
	t.Cleanup(func() {
		closeQuietly(r.client)
		r.cancel()
		_ = awaitEnd(r.ended) // r.cancel has stopped the dispatcher, so its error does not matter
	})
	return r
}

// start starts a dispatcher. With an address it waits for the end of the previous one and serves Flight SQL at that address.
func (r *rig) start(address string) {
	r.t.Helper()
	if address != "" {
		r.cfg.File.Listen.FlightSQL = address
		_ = awaitEnd(r.ended) // of the previous dispatcher
	}
	var err error
	if r.d, err = server.New(r.cfg, server.Options{Seed: 7}); err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(r.t.Context())
	r.cancel = cancel
	go func() { r.ended <- r.d.Run(ctx) }()
}

// closeQuietly closes c and ignores the error: the test has finished with c, or closes it in order to break it.
func closeQuietly(c io.Closer) { _ = c.Close() }

// awaitEnd waits until a stopped server or dispatcher has ended and returns its error, which most tests ignore.
func awaitEnd(ended <-chan error) error { return <-ended }

// hashOf returns the bcrypt hash of a password, at the lowest cost.
func hashOf(t testing.TB, password string) string {
	h, err := bcrypt.GenerateFromPassword([]byte(password), bcrypt.MinCost)
	if err != nil {
		t.Fatal(err)
	}
	return string(h)
}

// connect returns a new Flight SQL client of the dispatcher. Its calls wait while the dispatcher restarts; without WaitForReady they would
// fail at once.
func (r *rig) connect() *flightsql.Client {
	c, err := flightsql.NewClient(r.d.Address(), nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second, Backoff: backoff.Config{BaseDelay: 10 * time.Millisecond,
			Multiplier: 1.5, MaxDelay: 100 * time.Millisecond}}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64<<20), grpc.WaitForReady(true)))
	if err != nil {
		r.t.Fatal(err)
	}
	return c
}

// listAllNodes sets a node list of all nodes at their current addresses; change, unless it is nil, may alter each row.
func (r *rig) listAllNodes(change func(i int, n *nodelist.Node)) {
	rows := make([]nodelist.Node, len(r.nodes))
	for i, n := range r.nodes {
		rows[i] = nodelist.Node{ID: n.Name, FlightSQLAddress: n.Address}
		if change != nil {
			change(i, &rows[i])
		}
	}
	if err := r.d.Fleet().SetNodes(rows); err != nil {
		r.t.Fatal(err)
	}
}

// query runs one statement and returns the number of rows received.
func (r *rig) query(ctx context.Context, statement string) (rows int64, err error) {
	info, err := r.client.Execute(ctx, statement)
	if err != nil {
		return 0, err
	}
	reader, err := r.client.DoGet(ctx, info.Endpoint[0].Ticket)
	if err != nil {
		return 0, err
	}
	defer reader.Release()
	for reader.Next() {
		rows += reader.RecordBatch().NumRows()
	}
	return rows, reader.Err()
}

// outcomeOf describes the outcome of a query: "served", or else the value of "final" and the reason of the error's ErrorInfo, joined by a
// space. It returns the gRPC code of an error without an ErrorInfo, and the text of an error that is not a gRPC error.
func outcomeOf(err error) string {
	if err == nil {
		return "served"
	}
	var s interface{ GRPCStatus() *status.Status }
	if !errors.As(err, &s) {
		return err.Error()
	}
	for _, d := range s.GRPCStatus().Details() {
		if info, ok := d.(*errdetails.ErrorInfo); ok {
			return info.GetMetadata()["final"] + " " + info.GetReason()
		}
	}
	return s.GRPCStatus().Code().String()
}

// hasRetryDelay reports whether an error carries a RetryInfo with a positive delay.
func hasRetryDelay(err error) bool {
	for _, d := range status.Convert(err).Details() {
		if r, ok := d.(*errdetails.RetryInfo); ok {
			return r.GetRetryDelay().AsDuration() > 0
		}
	}
	return false
}
