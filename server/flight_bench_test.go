package server_test

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"embershunt/control"
	"embershunt/control/stream"
	"embershunt/internal/flightwire"
	"embershunt/simulated"
)

// byteProxy starts a proxy that forwards every call to one node without decoding its messages, and returns its address. It is the lower
// bound of what a process between client and node costs.
func byteProxy(b *testing.B, node string) string {
	conn, err := grpc.NewClient("passthrough:///"+node, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(flightwire.Codec{}), grpc.MaxCallRecvMsgSize(64<<20)))
	if err != nil {
		b.Fatal(err)
	}
	forward := func(_ any, s grpc.ServerStream) error {
		method, _ := grpc.MethodFromServerStream(s)
		md, _ := metadata.FromIncomingContext(s.Context())
		c, err := conn.NewStream(metadata.NewOutgoingContext(s.Context(), md),
			&grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, method)
		if err != nil {
			return err
		}
		var f flightwire.Frame
		for {
			if err := s.RecvMsg(&f); errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				return err
			}
			_ = c.SendMsg(&f) // RecvMsg returns the error
			f.Free()
		}
		_ = c.CloseSend() // RecvMsg returns the error
		for {
			if err := c.RecvMsg(&f); errors.Is(err, io.EOF) {
				return nil
			} else if err != nil {
				return err
			}
			if err := s.SendMsg(&f); err != nil {
				return err
			}
			f.Free()
		}
	}
	server := grpc.NewServer(grpc.ForceServerCodecV2(flightwire.Codec{}), grpc.UnknownServiceHandler(forward))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(l) }() // ends with server.Stop
	b.Cleanup(func() { server.Stop(); closeQuietly(conn) })
	return l.Addr().String()
}

// newPathClients returns a client for each of three paths to one node: "direct", through "proxy" (byteProxy) and through "dispatcher".
func newPathClients(b *testing.B) map[string]*flightsql.Client {
	r := newRig(b, 1, `, "name": "large"`)
	out := map[string]*flightsql.Client{}
	for name, address := range map[string]string{"direct": r.nodes[0].Address, "proxy": byteProxy(b, r.nodes[0].Address),
		"dispatcher": r.d.Address()} {
		c, err := flightsql.NewClient(address, nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64<<20)))
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { closeQuietly(c) })
		out[name] = c
	}
	return out
}

// runQuery runs a statement and reads its whole answer.
func runQuery(b *testing.B, c *flightsql.Client, statement string) {
	info, err := c.Execute(context.Background(), statement)
	if err != nil {
		b.Error(err)
		return
	}
	reader, err := c.DoGet(context.Background(), info.Endpoint[0].Ticket)
	if err != nil {
		b.Error(err)
		return
	}
	for reader.Next() {
	}
	if reader.Err() != nil {
		b.Error(reader.Err())
	}
	reader.Release()
}

const smallQuery = "SELECT 1 /* work_ms=0 rows=10 cost_ms=1 */"

// BenchmarkSmall compares the throughput of small queries, 8 at a time: an iteration is 64 queries on each path in turn. It reports the
// dispatcher's throughput as a share of the proxy's and of the direct path's.
func BenchmarkSmall(b *testing.B) {
	clients := newPathClients(b)
	reportThroughput(b, 8, func(name string, _ int) { runQuery(b, clients[name], smallQuery) })
}

// reportThroughput runs 8 queries of each worker on each path in turn, and reports the dispatcher's throughput as a share of the proxy's
// and of the direct path's.
func reportThroughput(b *testing.B, workers int, query func(path string, worker int)) {
	took := map[string]time.Duration{}
	round := func() {
		for _, name := range []string{"direct", "proxy", "dispatcher"} {
			var wg sync.WaitGroup
			begin := time.Now()
			for w := range workers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for range 8 {
						query(name, w)
					}
				}()
			}
			wg.Wait()
			took[name] += time.Since(begin)
		}
	}
	round() // opens the connections; not counted
	clear(took)
	for b.Loop() {
		round()
	}
	b.ReportMetric(float64(took["proxy"])/float64(took["dispatcher"]), "of-proxy")
	b.ReportMetric(float64(took["direct"])/float64(took["dispatcher"]), "of-direct")
}

// reportSequentialLatency runs one query at a time, on each path in turn, and reports the median latency of the direct path and the
// dispatcher's excess over proxy and direct path, in microseconds.
func reportSequentialLatency(b *testing.B, query func(path string)) {
	times := map[string][]time.Duration{}
	for b.Loop() {
		for _, name := range []string{"direct", "proxy", "dispatcher"} {
			begin := time.Now()
			query(name)
			times[name] = append(times[name], time.Since(begin))
		}
	}
	median := func(name string) float64 {
		slices.Sort(times[name])
		return float64(times[name][len(times[name])/2].Microseconds())
	}
	b.ReportMetric(median("direct"), "us-direct")
	b.ReportMetric(median("dispatcher")-median("proxy"), "us-over-proxy")
	b.ReportMetric(median("dispatcher")-median("direct"), "us-over-direct")
}

// BenchmarkSmallAlone compares the latency of small queries, one at a time on each path in turn.
func BenchmarkSmallAlone(b *testing.B) {
	clients := newPathClients(b)
	b.ReportAllocs()
	reportSequentialLatency(b, func(name string) { runQuery(b, clients[name], smallQuery) })
}

// BenchmarkLarge compares the throughput of answers of 64 MB.
func BenchmarkLarge(b *testing.B) {
	clients := newPathClients(b)
	took := map[string]time.Duration{}
	const large = "SELECT 1 /* work_ms=0 rows=65536 row_bytes=1024 class=report cost_ms=1 */"
	for b.Loop() {
		for _, name := range []string{"direct", "proxy", "dispatcher"} {
			begin := time.Now()
			runQuery(b, clients[name], large)
			took[name] += time.Since(begin)
		}
	}
	b.ReportMetric(float64(took["proxy"])/float64(took["dispatcher"]), "of-proxy")
	b.ReportMetric(float64(took["direct"])/float64(took["dispatcher"]), "of-direct")
}

// BenchmarkAllocations measures the allocations of one small query on each path; client, dispatcher or proxy, and node run in this process.
func BenchmarkAllocations(b *testing.B) {
	clients := newPathClients(b)
	for _, name := range []string{"direct", "proxy", "dispatcher"} {
		b.Run(strings.ToLower(name), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				runQuery(b, clients[name], smallQuery)
			}
		})
	}
}

// BenchmarkTenVersions compares the same load with and without ten versions of the settings that come into force during it, in turn. It
// reports the shares of queries served and the ratio of the 99th percentiles of latency.
func BenchmarkTenVersions(b *testing.B) {
	c := simulated.NewControl("nodes")
	if err := c.Start(); err != nil {
		b.Fatal(err)
	}
	defer c.Stop()
	r := newControlledRig(b, c, 2, "")
	c.SetEndpoints(listedNodes(r), "")
	r.awaitControlStatus("the node list", func(s control.Status) bool { return s.Versions["nodes"] != "" })
	number := uint64(0)
	push := func() {
		number++
		c.SetResources(stream.SettingsName, settingsResources(b, number,
			func(s *control.Set) { s.Limits.Attempts = int32(2 + number%2) })...)
		r.awaitControlStatus("a version in force", func(s control.Status) bool { return s.Number == number })
	}
	push()
	load := func(versions int) (served, sent int, p99 time.Duration) {
		done := make(chan time.Duration, 1000)
		const n, interval = 600, 4 * time.Millisecond
		for i := range n {
			if versions > 0 && i%(n/versions) == n/versions/2 {
				push()
			}
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				begin := time.Now()
				if _, err := r.query(ctx, "SELECT 1 /* work_ms=10 cost_ms=10 */"); err != nil {
					done <- -1 // not served
					return
				}
				done <- time.Since(begin)
			}()
			<-time.After(interval)
		}
		var took []time.Duration
		for range n {
			if d := <-done; d >= 0 {
				took = append(took, d)
			}
		}
		slices.Sort(took)
		return len(took), n, took[len(took)*99/100]
	}
	var served, sent [2]int // without and with versions
	var p99 [2]time.Duration
	for b.Loop() {
		for i, versions := range []int{0, 10} {
			s, n, p := load(versions)
			served[i], sent[i], p99[i] = served[i]+s, sent[i]+n, p99[i]+p
		}
	}
	b.ReportMetric(float64(served[0])/float64(sent[0]), "served-without")
	b.ReportMetric(float64(served[1])/float64(sent[1]), "served-with")
	b.ReportMetric(float64(p99[1])/float64(p99[0]), "p99-with/without")
}
