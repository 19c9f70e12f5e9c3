package native

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/ClickHouse/ch-go/compress"
	"github.com/ClickHouse/ch-go/proto"
	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// compressed returns a Data packet whose block ch-go has compressed into about the given number of frames.
func compressed(t testing.TB, method compress.Method, packet []byte, frames int) []byte {
	w := compress.NewWriter(0, method)
	out := append([]byte(nil), packet[:2]...)
	content := packet[2:]
	size := max(1, (len(content)+frames-1)/frames)
	for part := range slices.Chunk(content, size) {
		if err := w.Compress(part); err != nil {
			t.Fatal(err)
		}
		out = append(out, w.Data...)
	}
	return out
}

// The reader must find the end of a compressed block, whatever the number of its frames, and keep its bytes unchanged. It must
// report a cut packet, a changed bit and bytes after the block.
func TestCompressedBlocks(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		method := rapid.SampledFrom([]compress.Method{compress.None, compress.LZ4, compress.LZ4HC, compress.ZSTD}).Draw(r, "method")
		rows := rapid.IntRange(1, 50).Draw(r, "rows")
		var text proto.ColStr
		var number proto.ColUInt64
		for range rows {
			text.Append(rapid.StringN(0, 200, 200).Draw(r, "text"))
			number.Append(rapid.Uint64().Draw(r, "number"))
		}
		packet := dataPacket(t, NewestRevision, proto.Input{{Name: "t", Data: &text}, {Name: "n", Data: &number}}, rows)
		packed := compressed(t, method, packet, rapid.IntRange(1, 5).Draw(r, "frames"))
		stream := append(bytes.Clone(packed), packed...)
		in := NewReader(iotest.HalfReader(bytes.NewReader(append(stream, ServerEndOfStream))), maxPacketBytes)
		in.Compressed = true
		for range 2 {
			p, err := in.ReadServerPacket(NewestRevision)
			if err != nil || !bytes.Equal(p.Raw, packed) || p.Block.Rows != rows {
				r.Fatalf("%d of %d bytes, %+v, %v", len(p.Raw), len(packed), p.Block, err)
			}
			if !bytes.Equal(in.Uncompressed(p), packet[2:]) {
				r.Fatal("the content differs")
			}
		}
		if p, err := in.ReadServerPacket(NewestRevision); err != nil || p.Code != ServerEndOfStream {
			r.Fatalf("after the block: %+v, %v", p, err)
		}
		read := func(b []byte) error {
			in := NewReader(bytes.NewReader(b), maxPacketBytes)
			in.Compressed = true
			_, err := in.ReadServerPacket(NewestRevision)
			return err
		}
		if err := read(packed[:rapid.IntRange(1, len(packed)-1).Draw(r, "cut")]); !errors.Is(err, io.ErrUnexpectedEOF) {
			r.Fatalf("cut: %v", err)
		}
		corrupted := bytes.Clone(packed)
		corrupted[rapid.IntRange(2, len(packed)-1).Draw(r, "corrupted")] ^= 1 << rapid.IntRange(0, 7).Draw(r, "bit")
		var f *FormatError
		if err := read(corrupted); !errors.As(err, &f) && !errors.Is(err, io.ErrUnexpectedEOF) {
			r.Fatalf("corrupted: %v", err)
		}
		extra := compressed(t, method, append(bytes.Clone(packet), 7, 7, 7), 1)
		if err := read(extra); !errors.As(err, &f) || !strings.Contains(err.Error(), "after the end of the block") {
			r.Fatalf("bytes after the block: %v", err)
		}
	})
}

// The reader must reject frames with an invalid header, and must not allocate the sizes that the header announces.
func TestFramesWithInvalidHeaders(t *testing.T) {
	frame := func(method byte, size, contentSize uint32) []byte {
		b := make([]byte, 16, 30)
		b = append(b, method)
		b = binary.LittleEndian.AppendUint32(b, size)
		b = binary.LittleEndian.AppendUint32(b, contentSize)
		return append([]byte{ServerData, 0}, append(b, make([]byte, 40)...)...)
	}
	for name, c := range map[string]struct {
		bytes []byte
		says  string
	}{
		"a large frame":    {frame(0x82, 1<<31, 10), "packets of 1048576 bytes at most"},
		"large content":    {frame(0x82, 20, 1<<31), "1 to 1048576 bytes"},
		"no content":       {frame(0x82, 20, 0), "1 to 1048576 bytes"},
		"a small frame":    {frame(0x82, 3, 10), "9 and above"},
		"a wrong checksum": {frame(0x82, 20, 10), "checksum"},
	} {
		in := NewReader(bytes.NewReader(c.bytes), maxPacketBytes)
		in.Compressed = true
		if _, err := in.ReadServerPacket(NewestRevision); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v, want %q", name, err, c.says)
		}
		if cap(in.raw) > 4*maxChunk || in.frames != nil && cap(in.frames.buffer) > 4*maxChunk {
			t.Errorf("%s: %d bytes were allocated", name, cap(in.raw))
		}
	}
}

// ReadValues must return the usual text of the values in columns that ch-go has encoded.
func TestValuesAsText(t *testing.T) {
	var u8 proto.ColUInt8
	u8.Append(200)
	var i64 proto.ColInt64
	i64.Append(-5)
	var big proto.ColInt256
	big.Append(proto.Int256{Low: proto.UInt128{Low: ^uint64(0), High: ^uint64(0)}, High: proto.UInt128{Low: ^uint64(0), High: ^uint64(0)}})
	var f proto.ColFloat64
	f.Append(1.5)
	var day proto.ColDate
	day.Append(time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC))
	var at proto.ColDateTime64
	at.WithPrecision(3)
	at.Append(time.Date(2026, 12, 1, 13, 5, 6, 7e6, time.UTC))
	var id proto.ColUUID
	id.Append(uuid.MustParse("61f0c404-5cb3-11e7-907b-a6006ad3dba0"))
	var ip proto.ColIPv4
	ip.Append(proto.ToIPv4(netip.MustParseAddr("10.1.2.3")))
	null := new(proto.ColStr).Nullable()
	null.Append(proto.Null[string]())
	lists := proto.NewArray[string](new(proto.ColStr))
	lists.Append([]string{"a", "b"})
	low := new(proto.ColStr).LowCardinality()
	low.Append("word")
	pairs := proto.NewMap[string, uint64](new(proto.ColStr), new(proto.ColUInt64))
	pairs.Append(map[string]uint64{"k": 7})
	var money proto.ColDecimal64
	money.Append(-1205)
	var kind proto.ColEnum8
	kind.Append(2)
	input := proto.Input{{Name: "u8", Data: &u8}, {Name: "i64", Data: &i64}, {Name: "big", Data: &big}, {Name: "f", Data: &f}, {Name: "day", Data: &day},
		{Name: "at", Data: &at}, {Name: "id", Data: &id}, {Name: "ip", Data: &ip}, {Name: "null", Data: null}, {Name: "lists", Data: lists},
		{Name: "low", Data: low}, {Name: "pairs", Data: pairs}, {Name: "money", Data: proto.Alias(&money, "Decimal(18, 2)")},
		{Name: "kind", Data: proto.Alias(&kind, "Enum8('a' = 1, 'b' = 2)")}}
	want := []string{"200", "-5", "-1", "1.5", "2026-12-01", "2026-12-01 13:05:06.007", "61f0c404-5cb3-11e7-907b-a6006ad3dba0", "10.1.2.3", "NULL",
		"[a,b]", "word", "[(k,7)]", "-12.05", "b"}
	v, err := ReadValues(dataPacket(t, NewestRevision, input, 1)[2:], NewestRevision)
	if err != nil || v.Rows() != 1 {
		t.Fatal(err)
	}
	for i, w := range want {
		if got := v.Columns[i][0]; got != w || v.Names[i] != input[i].Name {
			t.Errorf("%s: %q, want %q", v.Names[i], got, w)
		}
	}
}

// Packets that this package encodes must decode to the same values.
func TestPacketsRoundTrip(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		word := rapid.StringN(0, 60, 60)
		number := rapid.IntRange(0, 1<<20)
		revision := rapid.SampledFrom([]int{OldestRevision, revInterserver, revTelemetry, revDistributedDepth, revStartTime, revParallelReplicas, revAddendum, revParameters, NewestRevision}).Draw(r, "revision")
		h := Hello{Name: word.Draw(r, "name"), Major: number.Draw(r, "major"), Minor: 3, Revision: OldestRevision + number.Draw(r, "rev"),
			Database: word.Draw(r, "db"), User: word.Draw(r, "user"), Password: word.Draw(r, "password")}
		if got, err := NewReader(bytes.NewReader(h.Encode()), maxPacketBytes).ReadHello(); err != nil || got != h {
			r.Fatalf("%+v, %v", got, err)
		}
		s := ServerInfo{Name: word.Draw(r, "server"), Major: 1, Revision: NewestRevision, Timezone: "UTC",
			DisplayName: word.Draw(r, "display"), Patch: 9}
		if got, err := NewReader(bytes.NewReader(s.Encode()), maxPacketBytes).ReadServerHello(); err != nil || got != s {
			r.Fatalf("%+v, %v", got, err)
		}
		var e *Exception
		for range rapid.IntRange(1, 5).Draw(r, "depth") {
			e = &Exception{Code: int32(number.Draw(r, "code")), Name: word.Draw(r, "kind"), Message: word.Draw(r, "message"), Nested: e}
		}
		p, err := NewReader(bytes.NewReader(e.Encode()), maxPacketBytes).ReadServerPacket(revision)
		for a, b := e, p.Exception; err == nil && a != nil; a, b = a.Nested, b.Nested {
			if b == nil || a.Code != b.Code || a.Message != b.Message || (a.Nested == nil) != (b.Nested == nil) {
				r.Fatalf("%v, want %v", b, a)
			}
		}
		q := Query{ID: word.Draw(r, "id"), Info: []byte{0}, Stage: 2, Compression: rapid.Bool().Draw(r, "compression"), Text: word.Draw(r, "text")}
		for range rapid.IntRange(0, 4).Draw(r, "settings") {
			q.Settings = append(q.Settings, Setting{"s" + word.Draw(r, "setting"), 1, word.Draw(r, "value")})
		}
		if revision >= revParameters {
			q.Parameters = []Setting{{"p", 2, word.Draw(r, "parameter")}}
		}
		in := NewReader(bytes.NewReader(q.Encode(revision)), maxPacketBytes)
		if _, err := in.ReadClientPacketCode(); err != nil {
			r.Fatal(err)
		}
		got, err2 := in.ReadQuery(revision)
		if err != nil || err2 != nil || !bytes.Equal(got.Encode(revision), q.Encode(revision)) {
			r.Fatalf("%+v, %v, %v", got, err, err2)
		}
	})
}

// No compressed stream may make the reader panic or allocate a larger buffer than allowed.
func FuzzCompressed(f *testing.F) {
	var text proto.ColStr
	text.Append("abc")
	packet := dataPacket(f, NewestRevision, proto.Input{{Name: "t", Data: &text}}, 1)
	for _, m := range []compress.Method{compress.None, compress.LZ4, compress.ZSTD} {
		f.Add(compressed(f, m, packet, 1))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		in := NewReader(bytes.NewReader(b), 1<<16)
		in.Compressed = true
		for {
			if _, err := in.ReadServerPacket(NewestRevision); err != nil {
				break
			}
		}
		if in.frames != nil && cap(in.frames.buffer) > 1<<17 {
			t.Fatalf("%d bytes of content", cap(in.frames.buffer))
		}
	})
}

// No block may make ReadValues or ReadProfile panic.
func FuzzValues(f *testing.F) {
	low := new(proto.ColStr).LowCardinality()
	low.Append("a")
	lists := proto.NewArray[string](new(proto.ColStr))
	lists.Append([]string{"x"})
	f.Add(dataPacket(f, NewestRevision, proto.Input{{Name: "l", Data: low}, {Name: "a", Data: lists}}, 1)[2:], NewestRevision)
	f.Fuzz(func(_ *testing.T, b []byte, revision int) {
		_, _ = ReadValues(b, revision) // it must not panic
		_, _ = NewReader(nil, 1<<20).ReadProfile(b, revision)
	})
}
