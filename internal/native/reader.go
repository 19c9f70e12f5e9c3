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

// Reader reads packets and keeps the bytes of the present one. What is announced is not allocated before it has come.
type Reader struct {
	r         *bufio.Reader
	raw       []byte
	maxPacket int
	packet    string

	// Compressed tells that the blocks of the present query are compressed. Those of logs and profile events never are, at the
	// revisions served here.
	Compressed  bool
	types       map[string]column // read before
	frames      *frames
	frameReader *Reader // reads what the frames hold
	sideReader  *Reader // reads blocks that are for the dispatcher
}

// NewReader returns a Reader; a packet of more than most bytes is an error.
func NewReader(r io.Reader, most int) *Reader { return NewReaderSize(r, most, 64<<10) }

// NewReaderSize is NewReader with a buffer of another size than 64 KiB.
func NewReaderSize(r io.Reader, most, size int) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, min(size, most+1)), maxPacket: most, packet: "connection"}
}

// Buffered tells that more has come already than was read.
func (r *Reader) Buffered() bool { return r.r.Buffered() > 0 }

// begin starts a packet.
func (r *Reader) begin(name string) { r.raw, r.packet = r.raw[:0], name }

// Raw is the present packet's bytes so far; they are valid until the next packet.
func (r *Reader) Raw() []byte { return r.raw }

func (r *Reader) formatError(field, found, allowed string) error {
	return &FormatError{r.packet, field, len(r.raw), found, allowed}
}

// maxChunk bounds what is asked for at once.
const maxChunk = 64 << 10

// take reads n bytes onto the packet and returns them.
func (r *Reader) take(field string, n uint64) ([]byte, error) {
	if n > uint64(r.maxPacket-len(r.raw)) {
		return nil, r.formatError(field, fmt.Sprintf("%d bytes", n), fmt.Sprintf("packets of %d bytes at most", r.maxPacket))
	}
	at := len(r.raw)
	if int(n) <= r.r.Buffered() { // it is there: no need to grow by steps
		b, _ := r.r.Peek(int(n))
		r.raw = append(r.raw, b...)
		_, _ = r.r.Discard(int(n)) // all of it is buffered
		return r.raw[at:], nil
	}
	for left := int(n); left > 0; {
		k, from := min(left, maxChunk), len(r.raw)
		r.raw = append(r.raw, make([]byte, k)...)
		if m, err := io.ReadFull(r.r, r.raw[from:]); err != nil {
			r.raw = r.raw[:from+m]
			return nil, unexpectedEOF(err)
		}
		left -= k
	}
	return r.raw[at:], nil
}

// unexpectedEOF is the end of a stream inside a packet.
func unexpectedEOF(err error) error {
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
	return 0, r.formatError(field, "a number of more than 64 bits", "ten bytes at most")
}

// count reads a number that is bounded.
func (r *Reader) count(field string, most uint64) (int, error) {
	v, err := r.uvarint(field)
	if err == nil && v > most {
		err = r.formatError(field, fmt.Sprint(v), fmt.Sprintf("%d at most", most))
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
	if len(r.raw) >= r.maxPacket {
		_, err := r.take(field, 1)
		return 0, err
	}
	b, err := r.r.ReadByte()
	if err != nil {
		return 0, unexpectedEOF(err)
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
