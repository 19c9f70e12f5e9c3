// Package trace records the events and actions of a dispatcher's decision module, and replays them: replayed by the same
// build, a recording gives the same actions. The format is described in docs/trace-format.md.
package trace

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"embershunt/trace/tracev1"
)

// Magic is the start of a trace file; its last two digits are the version of the format.
const Magic = "EMBTRC01"

// Block sizes, in bytes.
const (
	maxBlockBytes    = 16 << 20  // compressed
	maxDecodedBytes  = 64 << 20  // decompressed
	targetBlockBytes = 256 << 10 // uncompressed size from which on a block is written
)

// A block begins with a header: the length of the body and its checksum (XXH64), both little endian.
const (
	lengthBytes   = 4
	checksumBytes = 8
	headerBytes   = lengthBytes + checksumBytes
)

// Writer writes records in compressed blocks. A crash loses at most the current block.
type Writer struct {
	w     io.Writer
	zstd  *zstd.Encoder
	block []byte // the current block, uncompressed
	bytes int64  // written
}

// NewWriter returns a writer for a new file, and writes Magic.
func NewWriter(w io.Writer) (*Writer, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, err
	}
	_, err = io.WriteString(w, Magic)
	return &Writer{w: w, zstd: enc, bytes: int64(len(Magic))}, err
}

// Write adds a record to the current block, and writes the block when it has reached targetBlockBytes.
func (w *Writer) Write(r *tracev1.Record) error {
	b, err := proto.Marshal(r)
	if err != nil {
		return err
	}
	w.block = protowire.AppendBytes(w.block, b)
	if len(w.block) >= targetBlockBytes {
		return w.Flush()
	}
	return nil
}

// Flush writes the current block, if it is not empty.
func (w *Writer) Flush() error {
	if len(w.block) == 0 {
		return nil
	}
	out := w.zstd.EncodeAll(w.block, make([]byte, headerBytes, headerBytes+len(w.block)/4))
	binary.LittleEndian.PutUint32(out, uint32(len(out)-headerBytes))
	binary.LittleEndian.PutUint64(out[lengthBytes:], xxhash.Sum64(out[headerBytes:]))
	w.block = w.block[:0]
	n, err := w.w.Write(out)
	w.bytes += int64(n)
	return err
}

// Bytes returns the number of bytes written.
func (w *Writer) Bytes() int64 { return w.bytes }

// DamageError is the error of a file that cannot be read any further. The records before the damage have been read.
type DamageError struct {
	Offset int64 // bytes from the start of the file: of the damaged block, or of its end if a record in it is invalid
	Reason string
}

// Error returns the message, with the offset and the reason.
func (e *DamageError) Error() string { return fmt.Sprintf("trace: at byte %d: %s", e.Offset, e.Reason) }

// Reader reads the records of a file.
type Reader struct {
	r      *bufio.Reader
	zstd   *zstd.Decoder
	offset int64  // of the next block
	block  []byte // the records of the current block that have not been read, decompressed
}

// NewReader returns a reader of a file. The error is a *DamageError if the file is not a trace of this version.
func NewReader(r io.Reader) (*Reader, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedBytes))
	if err != nil {
		return nil, err
	}
	t := &Reader{r: bufio.NewReader(r), zstd: dec}
	magic := make([]byte, len(Magic))
	if _, err := io.ReadFull(t.r, magic); err != nil || string(magic) != Magic {
		return nil, &DamageError{0, fmt.Sprintf("found %q at the start of the file, allowed is %q: a trace of this version", magic, Magic)}
	}
	t.offset = int64(len(Magic))
	return t, nil
}

// Next returns the next record. The error is io.EOF at the end of the file, and a *DamageError if the file is damaged.
func (t *Reader) Next() (*tracev1.Record, error) {
	for len(t.block) == 0 {
		if err := t.readBlock(); err != nil {
			return nil, err
		}
	}
	b, n := protowire.ConsumeBytes(t.block)
	if n < 0 {
		return nil, &DamageError{t.offset, "a record extends beyond the end of its block"}
	}
	t.block = t.block[n:]
	r := &tracev1.Record{}
	if err := proto.Unmarshal(b, r); err != nil {
		return nil, &DamageError{t.offset, "invalid record: " + err.Error()}
	}
	return r, nil
}

// readBlock reads and decodes the next block.
func (t *Reader) readBlock() error {
	header := make([]byte, headerBytes)
	if _, err := io.ReadFull(t.r, header); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return &DamageError{t.offset, "the file ends within the header of a block"}
		}
		return err
	}
	size := binary.LittleEndian.Uint32(header)
	if size == 0 || size > maxBlockBytes {
		return &DamageError{t.offset, fmt.Sprintf("the header states a block of %d bytes, allowed are 1 to %d", size, maxBlockBytes)}
	}
	body, err := io.ReadAll(io.LimitReader(t.r, int64(size)))
	if err != nil {
		return err
	}
	if len(body) < int(size) {
		return &DamageError{t.offset, fmt.Sprintf("the file ends within a block: %d of %d bytes", len(body), size)}
	}
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(header[lengthBytes:]) {
		return &DamageError{t.offset, "the checksum of the block does not match"}
	}
	if t.block, err = t.zstd.DecodeAll(body, nil); err != nil {
		return &DamageError{t.offset, "invalid block: " + err.Error()}
	}
	t.offset += headerBytes + int64(size)
	return nil
}
