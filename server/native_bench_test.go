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

// byteRelay passes TCP connections on to a node, unopened.
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
				_, _ = io.Copy(onlyWriter{client}, server) // a relay ends with either side
			}()
		}
	}()
	return l.Addr().String()
}

// onlyWriter hides what would let the kernel move the bytes by itself (splice): a proxy in user space is the measure.
type onlyWriter struct{ io.Writer }

// nativePaths are three ways from clients to one node, eight connections on each.
func nativePaths(b *testing.B, compression ch.Compression) map[string][]*ch.Client {
	r := newRig(b, 1, `, "name": "large"`)
	out := map[string][]*ch.Client{}
	for name, address := range map[string]string{"direct": r.nodes[0].Native, "proxy": byteRelay(b, r.nodes[0].Native),
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

// BenchmarkNativeSmall compares small queries over the native protocol, 8 at a time, as BenchmarkSmall does.
func BenchmarkNativeSmall(b *testing.B) {
	p := nativePaths(b, ch.CompressionDisabled)
	throughput(b, 8, func(name string, w int) { runNative(b, p[name][w], small, false) })
}

// BenchmarkNativeAlone compares the time of one small query at a time.
func BenchmarkNativeAlone(b *testing.B) {
	p := nativePaths(b, ch.CompressionDisabled)
	alone(b, func(name string) { runNative(b, p[name][0], small, false) })
}

// BenchmarkNativeLarge compares answers of 64 MB, plain and compressed.
func BenchmarkNativeLarge(b *testing.B) {
	for name, compression := range map[string]ch.Compression{"plain": ch.CompressionDisabled, "lz4": ch.CompressionLZ4} {
		b.Run(name, func(b *testing.B) {
			p := nativePaths(b, compression)
			took := map[string]time.Duration{}
			const large = "SELECT 1 /* work_ms=0 rows=65536 row_bytes=1024 class=report cost_ms=1 */"
			for b.Loop() {
				for _, name := range []string{"direct", "proxy", "dispatcher"} {
					begin := time.Now()
					runNative(b, p[name][0], large, true)
					took[name] += time.Since(begin)
				}
			}
			b.ReportMetric(float64(took["proxy"])/float64(took["dispatcher"]), "of-proxy")
			b.ReportMetric(float64(took["direct"])/float64(took["dispatcher"]), "of-direct")
		})
	}
}
