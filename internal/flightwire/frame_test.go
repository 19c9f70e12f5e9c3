package flightwire

import (
	"bytes"
	"strings"
	"testing"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"
)

// split returns a frame with the content b in buffers of n bytes; the transport may deliver buffers of any size.
func split(b []byte, n int) *Frame {
	f := &Frame{}
	for len(b) > 0 {
		k := min(n, len(b))
		f.buffers = append(f.buffers, mem.SliceBuffer(b[:k]))
		b = b[k:]
	}
	return f
}

func TestEnvelope(t *testing.T) {
	good, err := proto.Marshal(&flight.FlightData{DataHeader: make([]byte, 300), AppMetadata: []byte("m"),
		DataBody: make([]byte, 5000)})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name    string
		bytes   []byte
		want    Envelope
		wantErr string // substring of the error; "": none is expected
	}{
		{"a record batch", good, Envelope{Header: 300, Metadata: 1, Body: 5000}, ""},
		{"an empty message", nil, Envelope{}, ""},
		{"an unknown field", append([]byte{0x28, 7}, good...), Envelope{Header: 300, Metadata: 1, Body: 5000}, ""},
		{"truncated in the body", good[:len(good)-1], Envelope{}, "field 1000"},
		{"truncated in a tag", append(good[:len(good):len(good)], 0x80), Envelope{}, "ends inside"},
		{"a field of wire type 3 (group)", []byte{0x0b}, Envelope{}, "wire type 3"},
		{"field number 0", []byte{0x00, 0x01}, Envelope{}, "field number 0"},
		{"an endless varint", bytes.Repeat([]byte{0x80}, 11), Envelope{}, "more than ten"},
		{"a length beyond the message", []byte{0x12, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}, Envelope{}, "ends inside"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, n := range []int{1, 7, 1 << 20} {
				got, err := split(c.bytes, n).Envelope()
				if c.wantErr != "" {
					if err == nil || !strings.Contains(err.Error(), c.wantErr) {
						t.Errorf("buffers of %d: error %v, want one with %q", n, err, c.wantErr)
					}
				} else if err != nil || got != c.want {
					t.Errorf("buffers of %d: %+v, %v, want %+v", n, got, err, c.want)
				}
			}
		})
	}
}

// FuzzEnvelope checks that Envelope reports the same lengths as protobuf for every message that both accept, and that it does
// not panic.
func FuzzEnvelope(f *testing.F) {
	f.Add([]byte{0x12, 1, 'h', 0xc2, 0x3e, 2, 'b', 'b'}, 3)
	f.Add([]byte{0x0a, 2, 8, 2}, 1)
	f.Fuzz(func(t *testing.T, b []byte, n int) {
		e, err := split(b, max(1, n)).Envelope()
		var d flight.FlightData
		if err != nil || proto.Unmarshal(b, &d) != nil {
			return
		}
		if len(d.DataBody) != e.Body || len(d.DataHeader) != e.Header || len(d.AppMetadata) != e.Metadata {
			t.Errorf("lengths %+v, protobuf has %d, %d, %d", e, len(d.DataHeader), len(d.AppMetadata), len(d.DataBody))
		}
	})
}

// FuzzCommand checks that no parser of messages panics.
func FuzzCommand(f *testing.F) {
	f.Add(StatementCommand("CommandStatementQuery", "SELECT 1"))
	f.Add(FlightInfo([]byte("s"), Descriptor(nil), []byte("t"), 9))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if c, err := ParseCommand(b); err == nil {
			_, _ = ParseStatement(c.Body, false)
		}
		_, _ = ParseDescriptor(b)
		_, _, _ = FirstTicket(b)
		_, _ = ParseAction(b)
		_, _ = Uint32s(b, 1)
	})
}
