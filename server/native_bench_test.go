package server_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/ClickHouse/ch-go"
	"github.com/ClickHouse/ch-go/proto"
)

// byteRelay starts a proxy that forwards TCP connections to a node without decoding them, and returns its address.
func byteRelay(b *testing.B, node string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { closeQuietly(l) })
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer closeQuietly(client)
				server, err := net.Dial("tcp", node)
				if err != nil {
					return
				}
				defer closeQuietly(server)
				go func() { _, _ = io.Copy(onlyWriter{server}, client); closeQuietly(server) }()
				_, _ = io.Copy(onlyWriter{client}, server) // when either side ends, both are closed
			}()
		}
	}()
	return l.Addr().String()
}

// onlyWriter hides the methods of a connection that let io.Copy use the kernel's splice: the dispatcher is compared with a proxy that
// copies in user space.
type onlyWriter struct{ io.Writer }

// newNativePathClients returns eight connections for each of three paths to one node: "direct", through "proxy" (byteRelay) and through
// "dispatcher".
func newNativePathClients(b *testing.B, compression ch.Compression) map[string][]*ch.Client {
	r := newRig(b, 1, `, "name": "large"`)
	out := map[string][]*ch.Client{}
	for name, address := range map[string]string{"direct": r.nodes[0].NativeAddress, "proxy": byteRelay(b, r.nodes[0].NativeAddress),
		"dispatcher": r.d.NativeAddress()} {
		for range 8 {
			c, err := ch.Dial(b.Context(), ch.Options{Address: address, User: "u", Compression: compression})
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { closeQuietly(c) })
			out[name] = append(out[name], c)
		}
	}
	return out
}

// runNative runs a statement and reads its whole answer; large tells whether its rows have a payload column.
func runNative(b *testing.B, c *ch.Client, statement string, large bool) {
	var node, payload proto.ColStr
	var row proto.ColInt64
	results := proto.Results{{Name: "node", Data: &node}, {Name: "row", Data: &row}}
	if large {
		results = append(results, proto.ResultColumn{Name: "payload", Data: &payload})
	}
	if err := c.Do(b.Context(), ch.Query{Body: statement, Result: results,
		OnResult: func(_ context.Context, _ proto.Block) error { return nil }}); err != nil {
		b.Error(err)
	}
}

// BenchmarkNativeSmall is BenchmarkSmall for the native protocol.
func BenchmarkNativeSmall(b *testing.B) {
	clients := newNativePathClients(b, ch.CompressionDisabled)
	reportThroughput(b, 8, func(name string, w int) { runNative(b, clients[name][w], smallQuery, false) })
}

// BenchmarkNativeAlone compares the latency of small queries over the native protocol, one at a time on each path in turn.
func BenchmarkNativeAlone(b *testing.B) {
	clients := newNativePathClients(b, ch.CompressionDisabled)
	reportSequentialLatency(b, func(name string) { runNative(b, clients[name][0], smallQuery, false) })
}

// BenchmarkNativeLarge compares the throughput of answers of 64 MB over the native protocol, uncompressed and compressed with LZ4.
func BenchmarkNativeLarge(b *testing.B) {
	for name, compression := range map[string]ch.Compression{"plain": ch.CompressionDisabled, "lz4": ch.CompressionLZ4} {
		b.Run(name, func(b *testing.B) {
			clients := newNativePathClients(b, compression)
			took := map[string]time.Duration{}
			const large = "SELECT 1 /* work_ms=0 rows=65536 row_bytes=1024 class=report cost_ms=1 */"
			for b.Loop() {
				for _, name := range []string{"direct", "proxy", "dispatcher"} {
					begin := time.Now()
					runNative(b, clients[name][0], large, true)
					took[name] += time.Since(begin)
				}
			}
			b.ReportMetric(float64(took["proxy"])/float64(took["dispatcher"]), "of-proxy")
			b.ReportMetric(float64(took["direct"])/float64(took["dispatcher"]), "of-direct")
		})
	}
}
