// Package native reads and writes packets of the ClickHouse native TCP protocol. It follows the "Native Protocol" pages of
// ClickHouse's documentation and, for what those leave open, the published client ch-go. Blocks are forwarded as bytes, so the
// package mostly finds their boundaries only. docs/design-native.md lists the supported packets and revisions.
package native

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Reader reads packets and keeps the bytes of the current one. It allocates memory as bytes arrive, not by the lengths that a
// packet announces.
type Reader struct {
	r         *bufio.Reader
	raw       []byte // bytes of the current packet read so far
	maxPacket int    // limit of a packet, in bytes
	packet    string // name of the current packet, for errors

	// Compressed means that the blocks of the current query are compressed. The blocks of logs and profile events never are at the
	// supported revisions.
	Compressed    bool
	types         map[string]columnType // cache of parsed types, by name
	frames        *frameStream
	frameReader   *Reader // reads the decompressed content of frames
	profileReader *Reader // reads the blocks of ProfileEvents
}

// defaultBufferBytes is the buffer size of NewReader.
const defaultBufferBytes = 64 << 10

// NewReader returns a Reader that returns an error for a packet of more than maxPacket bytes.
func NewReader(r io.Reader, maxPacket int) *Reader {
	return NewReaderSize(r, maxPacket, defaultBufferBytes)
}

// NewReaderSize returns a Reader like NewReader, with a buffer of size bytes.
func NewReaderSize(r io.Reader, maxPacket, size int) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, min(size, maxPacket+1)), maxPacket: maxPacket, packet: "connection"}
}

// Buffered reports whether bytes after those read so far have arrived already.
func (r *Reader) Buffered() bool { return r.r.Buffered() > 0 }

// begin starts a packet; errors name it by the given name.
func (r *Reader) begin(name string) { r.raw, r.packet = r.raw[:0], name }

// Raw returns the bytes of the current packet read so far. They are valid until the next packet is read.
func (r *Reader) Raw() []byte { return r.raw }

// formatError returns a FormatError at the current position in the current packet.
func (r *Reader) formatError(field, found, allowed string) error {
	return &FormatError{r.packet, field, len(r.raw), found, allowed}
}

// maxChunk is the limit of the bytes that take allocates before they have arrived.
const maxChunk = 64 << 10

// take reads n bytes, appends them to the current packet and returns them.
func (r *Reader) take(field string, n uint64) ([]byte, error) {
	if n > uint64(r.maxPacket-len(r.raw)) {
		return nil, r.formatError(field, fmt.Sprintf("%d bytes", n), fmt.Sprintf("packets of %d bytes at most", r.maxPacket))
	}
	at := len(r.raw)
	if int(n) <= r.r.Buffered() { // all bytes have arrived: allocate them at once
		b, _ := r.r.Peek(int(n))
		r.raw = append(r.raw, b...)
		_, _ = r.r.Discard(int(n)) // cannot fail: the bytes are buffered
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

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, for a stream that ended inside a packet.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// uvarint reads a varint of up to ten bytes.
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

// count reads a number of at most maxValue.
func (r *Reader) count(field string, maxValue uint64) (int, error) {
	v, err := r.uvarint(field)
	if err == nil && v > maxValue {
		err = r.formatError(field, fmt.Sprint(v), fmt.Sprintf("%d at most", maxValue))
	}
	return int(v), err
}

// text reads a text of at most maxBytes after its length.
func (r *Reader) text(field string, maxBytes uint64) (string, error) {
	n, err := r.count(field, maxBytes)
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
