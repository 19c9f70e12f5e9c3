// Package native is the ClickHouse native TCP protocol as a dispatcher sees it (the "Native Protocol" pages of ClickHouse's
// documentation, and the published client ch-go for what those leave open). Blocks pass as bytes: only their boundaries
// are found. docs/design-native.md has the packets and revisions that are served.
package native

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Revisions: what is above Newest is negotiated down to it, what is below Oldest is turned away.
const (
	Oldest = 54429 // settings as text
	Newest = 54460 // server time in Progress
)

// Revisions from which a part of a packet is there.
const (
	revInterserver  = 54441
	revTelemetry    = 54442
	revDepth        = 54448
	revStartTime    = 54449
	revReplicas     = 54453
	revSerialKind   = 54454
	revAddendum     = 54458
	revParameters   = 54459
	revProgressTime = 54460
)

// AddendumFrom is the revision from which a client sends a quota key behind the server's Hello.
const AddendumFrom = revAddendum

// Packets of the client.
const (
	ClientHello  = 0
	ClientQuery  = 1
	ClientData   = 2
	ClientCancel = 3
	ClientPing   = 4
)

// Packets of the server.
const (
	ServerHello         = 0
	ServerData          = 1
	ServerException     = 2
	ServerProgress      = 3
	ServerPong          = 4
	ServerEndOfStream   = 5
	ServerProfileInfo   = 6
	ServerTotals        = 7
	ServerExtremes      = 8
	ServerLog           = 10
	ServerTableColumns  = 11
	ServerProfileEvents = 14
)

// FormatError tells what in a stream cannot be read, and where: bytes since the packet began.
type FormatError struct {
	Packet, Field string
	At            int
	Found         string
	Allowed       string
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("%s, %s at byte %d: found %s, allowed: %s", e.Packet, e.Field, e.At, e.Found, e.Allowed)
}

// Reader reads packets and keeps the bytes of the present one. What is announced is not allocated before it has come.
type Reader struct {
	r      *bufio.Reader
	raw    []byte
	most   int
	packet string

	// Packed tells that the blocks of the present query are compressed. Those of logs and profile events never are, at the
	// revisions served here.
	Packed bool
	types  map[string]column // read before
	frames *frames
	inner  *Reader // reads what the frames hold
	side   *Reader // reads blocks that are for the dispatcher
}

// NewReader returns a Reader; a packet of more than most bytes is an error.
func NewReader(r io.Reader, most int) *Reader { return NewReaderSize(r, most, 64<<10) }

// NewReaderSize is NewReader with a buffer of another size than 64 KiB.
func NewReaderSize(r io.Reader, most, size int) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, min(size, most+1)), most: most, packet: "connection"}
}

// Buffered tells that more has come already than was read.
func (r *Reader) Buffered() bool { return r.r.Buffered() > 0 }

// begin starts a packet.
func (r *Reader) begin(name string) { r.raw, r.packet = r.raw[:0], name }

// Raw is the present packet's bytes so far; they are valid until the next packet.
func (r *Reader) Raw() []byte { return r.raw }

func (r *Reader) wrong(field, found, allowed string) error {
	return &FormatError{r.packet, field, len(r.raw), found, allowed}
}

// chunk bounds what is asked for at once.
const chunk = 64 << 10

// take reads n bytes onto the packet and returns them.
func (r *Reader) take(field string, n uint64) ([]byte, error) {
	if n > uint64(r.most-len(r.raw)) {
		return nil, r.wrong(field, fmt.Sprintf("%d bytes", n), fmt.Sprintf("packets of %d bytes at most", r.most))
	}
	at := len(r.raw)
	if int(n) <= r.r.Buffered() { // it is there: no need to grow by steps
		b, _ := r.r.Peek(int(n))
		r.raw = append(r.raw, b...)
		r.r.Discard(int(n))
		return r.raw[at:], nil
	}
	for left := int(n); left > 0; {
		k, from := min(left, chunk), len(r.raw)
		r.raw = append(r.raw, make([]byte, k)...)
		if m, err := io.ReadFull(r.r, r.raw[from:]); err != nil {
			r.raw = r.raw[:from+m]
			return nil, cut(err)
		}
		left -= k
	}
	return r.raw[at:], nil
}

// cut is the end of a stream inside a packet.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// uvarint reads a length or number of up to ten bytes.
func (r *Reader) uvarint(field string) (uint64, error) {
	var v uint64
	for shift := 0; shift < 70; shift += 7 {
		b, err := r.byte(field)
		if err != nil {
			return 0, err
		}
		if shift == 63 && b > 1 {
			break
		}
		v |= uint64(b&0x7f) << shift
		if b < 0x80 {
			return v, nil
		}
	}
	return 0, r.wrong(field, "a number of more than 64 bits", "ten bytes at most")
}

// count reads a number that is bounded.
func (r *Reader) count(field string, most uint64) (int, error) {
	v, err := r.uvarint(field)
	if err == nil && v > most {
		err = r.wrong(field, fmt.Sprint(v), fmt.Sprintf("%d at most", most))
	}
	return int(v), err
}

func (r *Reader) text(field string, most uint64) (string, error) {
	n, err := r.count(field, most)
	if err != nil {
		return "", err
	}
	b, err := r.take(field, uint64(n))
	return string(b), err
}

func (r *Reader) byte(field string) (byte, error) {
	if len(r.raw) >= r.most {
		_, err := r.take(field, 1)
		return 0, err
	}
	b, err := r.r.ReadByte()
	if err != nil {
		return 0, cut(err)
	}
	r.raw = append(r.raw, b)
	return b, nil
}

func (r *Reader) int64(field string) (int64, error) {
	b, err := r.take(field, 8)
	if err != nil {
		return 0, err
	}
	return int64(binary.LittleEndian.Uint64(b)), nil
}

func (r *Reader) int32(field string) (int32, error) {
	b, err := r.take(field, 4)
	if err != nil {
		return 0, err
	}
	return int32(binary.LittleEndian.Uint32(b)), nil
}

// Bounds of texts, in bytes.
const (
	nameMost  = 64 << 10
	textMost  = 64 << 20
	typeDepth = 32
	columns   = 100000
)

// PutUvarint appends a number.
func PutUvarint(b []byte, v uint64) []byte { return binary.AppendUvarint(b, v) }

// PutText appends a text with its length.
func PutText[T ~string | ~[]byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}
