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

// byteProxy passes every call on to one node, unopened: the least that anything between a client and a node can do.
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
			_ = c.SendMsg(&f) // RecvMsg has the error
			f.Free()
		}
		_ = c.CloseSend() // RecvMsg has the error
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
	go func() { _ = server.Serve(l) }() // it ends with Stop
	b.Cleanup(func() { server.Stop(); closeQuietly(conn) })
	return l.Addr().String()
}

// paths are three ways from one client to one node.
func paths(b *testing.B) map[string]*flightsql.Client {
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

const small = "SELECT 1 /* work_ms=0 rows=10 cost_ms=1 */"

// BenchmarkSmall compares small queries, 8 at a time: an iteration is 64 queries on each path in turn. Reported are
// throughput as a share of the proxy's and of the direct way's, and the median time of one query alone.
func BenchmarkSmall(b *testing.B) {
	p := paths(b)
	throughput(b, 8, func(name string, _ int) { runQuery(b, p[name], small) })
}

// throughput runs batches of 8 queries of each worker on each path in turn, and reports the dispatcher's as a share of the
// proxy's and of the direct way's.
func throughput(b *testing.B, workers int, query func(path string, worker int)) {
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
	round() // connections come up
	clear(took)
	for b.Loop() {
		round()
	}
	b.ReportMetric(float64(took["proxy"])/float64(took["dispatcher"]), "of-proxy")
	b.ReportMetric(float64(took["direct"])/float64(took["dispatcher"]), "of-direct")
}

// alone reports the median time of one query at a time, path by path in turn.
func alone(b *testing.B, query func(path string)) {
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

// BenchmarkSmallAlone compares the time of one small query at a time, path by path in turn.
func BenchmarkSmallAlone(b *testing.B) {
	p := paths(b)
	b.ReportAllocs()
	alone(b, func(name string) { runQuery(b, p[name], small) })
}

// BenchmarkLarge compares answers of 64 MB.
func BenchmarkLarge(b *testing.B) {
	p := paths(b)
	took := map[string]time.Duration{}
	const large = "SELECT 1 /* work_ms=0 rows=65536 row_bytes=1024 class=report cost_ms=1 */"
	for b.Loop() {
		for _, name := range []string{"direct", "proxy", "dispatcher"} {
			begin := time.Now()
			runQuery(b, p[name], large)
			took[name] += time.Since(begin)
		}
	}
	b.ReportMetric(float64(took["proxy"])/float64(took["dispatcher"]), "of-proxy")
	b.ReportMetric(float64(took["direct"])/float64(took["dispatcher"]), "of-direct")
}

// BenchmarkAllocations is what one small query costs on the whole path, client, dispatcher and node in one process,
// against the same through the byte proxy.
func BenchmarkAllocations(b *testing.B) {
	p := paths(b)
	for _, name := range []string{"direct", "proxy", "dispatcher"} {
		b.Run(strings.ToLower(name), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				runQuery(b, p[name], small)
			}
		})
	}
}

// BenchmarkTenVersions compares a load under which ten versions of the settings come into force with the same load under
// which none does, in turn: shares of queries served, and how much the 99th percentile differs.
func BenchmarkTenVersions(b *testing.B) {
	c := simulated.NewControl("nodes")
	if err := c.Start(); err != nil {
		b.Fatal(err)
	}
	defer c.Stop()
	r := newControlledRig(b, c, 2, "")
	c.Set(listed(r), "")
	r.until("the node list", func(s control.Status) bool { return s.Versions["nodes"] != "" })
	number := uint64(0)
	push := func() {
		number++
		c.Put(stream.SettingsName, settings(b, number, func(s *control.Set) { s.Limits.Attempts = int32(2 + number%2) })...)
		r.until("a version in force", func(s control.Status) bool { return s.Number == number })
	}
	push()
	load := func(versions int) (served, asked int, p99 time.Duration) {
		done := make(chan time.Duration, 1000)
		const n, gap = 600, 4 * time.Millisecond
		for i := range n {
			if versions > 0 && i%(n/versions) == n/versions/2 {
				push()
			}
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				begin := time.Now()
				if _, err := r.query(ctx, "SELECT 1 /* work_ms=10 cost_ms=10 */"); err != nil {
					done <- -1
					return
				}
				done <- time.Since(begin)
			}()
			<-time.After(gap)
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
	var served, asked [2]int
	var p99 [2]time.Duration
	for b.Loop() {
		for i, versions := range []int{0, 10} {
			s, a, p := load(versions)
			served[i], asked[i], p99[i] = served[i]+s, asked[i]+a, p99[i]+p
		}
	}
	b.ReportMetric(float64(served[0])/float64(asked[0]), "served-without")
	b.ReportMetric(float64(served[1])/float64(asked[1]), "served-with")
	b.ReportMetric(float64(p99[1])/float64(p99[0]), "p99-with/without")
}
