package native

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/ClickHouse/ch-go/proto"
	"pgregory.net/rapid"
)

const maxPacketBytes = 1 << 20

// dataPacket encodes a Data packet with ch-go, an independent implementation of the protocol.
func dataPacket(t testing.TB, revision int, input proto.Input, rows int) []byte {
	var b proto.Buffer
	b.PutUVarInt(ServerData)
	b.PutString("")
	if err := (proto.Block{Rows: rows, Columns: len(input), Info: proto.BlockInfo{BucketNum: -1}}).EncodeBlock(&b, revision, input); err != nil {
		t.Fatal(err)
	}
	return b.Buf
}

// The reader must find the end of every block, whatever its columns and however its bytes arrive in parts, at revisions with and
// without the serialization kind.
func TestBlockBoundaries(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rows := rapid.IntRange(1, 20).Draw(r, "rows")
		var text proto.ColStr
		var small proto.ColUInt8
		var wide proto.ColInt256
		nulls := new(proto.ColStr).Nullable()
		lists := proto.NewArray[string](new(proto.ColStr))
		nested := proto.NewArray[[]uint64](proto.NewArray[uint64](new(proto.ColUInt64)))
		low := new(proto.ColStr).LowCardinality()
		lowLists := proto.NewArray[string](new(proto.ColStr).LowCardinality())
		pairs := proto.NewMap[string, uint64](new(proto.ColStr), new(proto.ColUInt64))
		var when proto.ColDateTime64
		when.WithPrecision(3)
		word := rapid.StringN(0, 300, 300)
		for range rows {
			text.Append(word.Draw(r, "text"))
			small.Append(1)
			wide.Append(proto.Int256{})
			nulls.Append(proto.NewNullable(word.Draw(r, "nullable")))
			lists.Append(rapid.SliceOfN(word, 0, 3).Draw(r, "list"))
			nested.Append([][]uint64{{1, 2}, {}, {3}})
			low.Append(rapid.SampledFrom([]string{"a", "b", ""}).Draw(r, "low"))
			lowLists.Append([]string{"x", "y"})
			pairs.Append(map[string]uint64{word.Draw(r, "key"): 1})
			when.Append(time.Unix(1, 0))
		}
		all := proto.Input{{Name: "text", Data: &text}, {Name: "small", Data: &small}, {Name: "wide", Data: &wide},
			{Name: "nulls", Data: nulls}, {Name: "lists", Data: lists}, {Name: "nested", Data: nested}, {Name: "low", Data: low},
			{Name: "lowLists", Data: lowLists}, {Name: "pairs", Data: pairs}, {Name: "when", Data: &when}}
		input := proto.Input{}
		for _, c := range all {
			if rapid.Bool().Draw(r, c.Name) {
				input = append(input, c)
			}
		}
		if len(input) == 0 {
			input = all[:1]
		}
		revision := rapid.SampledFrom([]int{OldestRevision, revSerializationKind - 1, revSerializationKind, NewestRevision}).Draw(r, "revision")
		packet := dataPacket(t, revision, input, rows)
		stream := append(append([]byte(nil), packet...), ServerEndOfStream)
		in := NewReader(iotest.HalfReader(bytes.NewReader(stream)), maxPacketBytes)
		p, err := in.ReadServerPacket(revision)
		if err != nil || !bytes.Equal(p.Raw, packet) || p.Block.Rows != rows || p.Block.Columns != len(input) {
			r.Fatalf("%d of %d bytes, %+v, %v", len(p.Raw), len(packet), p.Block, err)
		}
		if p, err = in.ReadServerPacket(revision); err != nil || p.Code != ServerEndOfStream {
			r.Fatalf("after the block: %+v, %v", p, err)
		}
		// A packet cut at any byte is reported as cut.
		at := rapid.IntRange(1, len(packet)-1).Draw(r, "cut")
		if _, err := NewReader(bytes.NewReader(packet[:at]), maxPacketBytes).
			ReadServerPacket(revision); !errors.Is(err, io.ErrUnexpectedEOF) {
			r.Fatalf("cut at %d: %v", at, err)
		}
	})
}

// A Query packet of ch-go, decoded and encoded again, must have the same bytes at the revisions that changed it.
func TestQueryOfChGoRoundTrip(t *testing.T) {
	for _, revision := range []int{OldestRevision, revInterserver, revTelemetry, revDistributedDepth, revStartTime, revParallelReplicas, revAddendum, NewestRevision} {
		var b proto.Buffer
		q := proto.Query{ID: "id", Body: "SELECT 1", Compression: proto.CompressionEnabled, Settings: []proto.Setting{{Key: "max_execution_time", Value: "3", Important: true}},
			Parameters: []proto.Parameter{{Key: "p", Value: "'1'"}}, Info: proto.ClientInfo{ProtocolVersion: revision, Major: 1, Minor: 2, Interface: proto.InterfaceTCP,
				Query: proto.ClientQueryInitial, InitialUser: "u", ClientName: "c"}}
		q.EncodeAware(&b, revision)
		in := NewReader(bytes.NewReader(b.Buf), maxPacketBytes)
		if code, err := in.ReadClientPacketCode(); err != nil || code != ClientQuery {
			t.Fatal(code, err)
		}
		got, err := in.ReadQuery(revision)
		if err != nil || got.Text != "SELECT 1" || len(got.Settings) != 1 || got.Settings[0].Value != "3" || !got.Compression {
			t.Fatalf("revision %d: %+v, %v", revision, got, err)
		}
		if again := got.Encode(revision); !bytes.Equal(again, b.Buf) {
			t.Errorf("revision %d: encoded again:\n%x, want:\n%x", revision, again, b.Buf)
		}
	}
}

func TestInvalidPackets(t *testing.T) {
	huge := append(AppendUvarint(AppendString(AppendUvarint(nil, ServerData), ""), 0), 1, 1, 1, 'c', 6)
	huge = append(append(huge, "String"...), 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f)
	unknownType := append(AppendUvarint(AppendString(AppendUvarint(nil, ServerData), ""), 0), 1, 1, 1, 'c', 4)
	unknownType = append(append(unknownType, "JSON"...), 0)
	cases := []struct {
		name  string
		bytes []byte
		says  string
	}{
		{"an unknown packet", []byte{99}, "found 99"},
		{"an enormous length", huge, "packets of 1048576 bytes at most"},
		{"a type of unknown layout", unknownType, `"JSON" is not known`},
		{"a varint of more than ten bytes", bytes.Repeat([]byte{0x80}, 12), "more than 64 bits"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := NewReader(bytes.NewReader(c.bytes), maxPacketBytes)
			_, err := in.ReadServerPacket(NewestRevision)
			var f *FormatError
			if !errors.As(err, &f) || !strings.Contains(err.Error(), c.says) {
				t.Errorf("%v, want %q", err, c.says)
			}
			if cap(in.raw) > 4*maxChunk {
				t.Errorf("%d bytes were allocated for %d", cap(in.raw), len(c.bytes))
			}
		})
	}
	if _, err := NewReader(strings.NewReader("GET / HTTP/1.1\r\n"), maxPacketBytes).ReadHello(); err == nil || !strings.Contains(err.Error(), "HTTP") {
		t.Errorf("HTTP: %v", err)
	}
}

func TestParseType(t *testing.T) {
	for name, ok := range map[string]bool{"Decimal(38, 2)": true, "Enum8('a,(b)' = 1, 'c\\'' = 2)": true, "Tuple(a UInt8, b Array(String))": true,
		"Nested(a UInt8, b String)": true, "MultiPolygon": true, "SimpleAggregateFunction(sum, UInt64)": true, "DateTime64(3, 'UTC')": true,
		"LowCardinality(Nullable(String))": true, "FixedString(0)": false, "FixedString(x)": false, "Array": false, "Array(UInt8": false, "Tuple()": false,
		"Decimal(99)": false, "AggregateFunction(sum, UInt8)": false, "Variant(UInt8, String)": false, strings.Repeat("Array(", 100) + "UInt8" + strings.Repeat(")", 100): false} {
		if _, err := parseType(name, 0); (err == nil) != ok {
			t.Errorf("%.40s: %v", name, err)
		}
	}
}

// No input from a server may make the reader panic or return more bytes than the input has.
func FuzzServer(f *testing.F) {
	var low = new(proto.ColStr).LowCardinality()
	low.Append("a")
	f.Add(dataPacket(f, NewestRevision, proto.Input{{Name: "l", Data: low}}, 1), NewestRevision)
	f.Add((&Exception{Code: 1, Name: "n", Nested: &Exception{Code: 2}}).Encode(), OldestRevision)
	f.Add([]byte{ServerProgress, 1, 2, 3, 4, 5, 6}, NewestRevision)
	f.Fuzz(func(t *testing.T, b []byte, revision int) {
		in := NewReader(bytes.NewReader(b), 1<<16)
		for read := 0; ; {
			p, err := in.ReadServerPacket(revision)
			if err != nil {
				return
			}
			if read += len(p.Raw); read > len(b) {
				t.Fatalf("%d bytes read of %d", read, len(b))
			}
		}
	})
}

// No input from a client may make the reader panic, or be a query that grows by more than 16 bytes when it is encoded again.
func FuzzClient(f *testing.F) {
	f.Add(Hello{Name: "c", Revision: NewestRevision, User: "u"}.Encode(), NewestRevision)
	f.Add(Query{ID: "q", Info: []byte{0}, Stage: 2, Text: "SELECT 1"}.Encode(NewestRevision), NewestRevision)
	f.Fuzz(func(t *testing.T, b []byte, revision int) {
		_, _ = NewReader(bytes.NewReader(b), 1<<16).ReadHello() // nothing here may panic
		in := NewReader(bytes.NewReader(b), 1<<16)
		if code, err := in.ReadClientPacketCode(); err == nil && code == ClientQuery {
			if q, err := in.ReadQuery(revision); err == nil && len(q.Encode(revision)) > len(b)+16 {
				t.Fatal("the encoded query is longer than the input")
			}
		}
		_, _ = NewReader(bytes.NewReader(b), 1<<16).ReadServerHello()
		in = NewReader(bytes.NewReader(b), 1<<16)
		_, _, _ = in.ReadClientData(revision)
	})
}
