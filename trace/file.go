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

// Magic begins a trace file; its last digit is the version of the format.
const Magic = "EMBTRC01"

// Bounds of a block, in bytes, as it stands in the file and opened.
const (
	blockMost = 16 << 20
	openMost  = 64 << 20
	blockAim  = 256 << 10 // a block is written when it holds so much
)

// headSize is that of a block's head: its length, then the checksum (XXH64) of what follows, little endian.
const headSize = 4 + 8

// Writer writes records in blocks. A block that is not whole at a crash is all that is lost.
type Writer struct {
	w     io.Writer
	zstd  *zstd.Encoder
	block []byte
	bytes int64
}

// NewWriter begins a file.
func NewWriter(w io.Writer) (*Writer, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, err
	}
	_, err = io.WriteString(w, Magic)
	return &Writer{w: w, zstd: enc, bytes: int64(len(Magic))}, err
}

// Write adds a record.
func (w *Writer) Write(r *tracev1.Record) error {
	b, err := proto.Marshal(r)
	if err != nil {
		return err
	}
	w.block = protowire.AppendBytes(w.block, b)
	if len(w.block) >= blockAim {
		return w.Flush()
	}
	return nil
}

// Flush ends the present block.
func (w *Writer) Flush() error {
	if len(w.block) == 0 {
		return nil
	}
	out := w.zstd.EncodeAll(w.block, make([]byte, headSize, headSize+len(w.block)/4))
	binary.LittleEndian.PutUint32(out, uint32(len(out)-headSize))
	binary.LittleEndian.PutUint64(out[4:], xxhash.Sum64(out[headSize:]))
	w.block = w.block[:0]
	n, err := w.w.Write(out)
	w.bytes += int64(n)
	return err
}

// Bytes is what has been written.
func (w *Writer) Bytes() int64 { return w.bytes }

// DamageError tells where a trace cannot be read: everything before it was.
type DamageError struct {
	At   int64 // bytes from the file's begin
	What string
}

func (e *DamageError) Error() string { return fmt.Sprintf("trace: at byte %d: %s", e.At, e.What) }

// Reader reads the records of a file.
type Reader struct {
	r     *bufio.Reader
	zstd  *zstd.Decoder
	at    int64
	block []byte
}

// NewReader checks that it is a trace of a version it knows.
func NewReader(r io.Reader) (*Reader, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(openMost))
	if err != nil {
		return nil, err
	}
	t := &Reader{r: bufio.NewReader(r), zstd: dec}
	head := make([]byte, len(Magic))
	if _, err := io.ReadFull(t.r, head); err != nil || string(head) != Magic {
		return nil, &DamageError{0, fmt.Sprintf("found %q, allowed is %q: a trace of this version", head, Magic)}
	}
	t.at = int64(len(Magic))
	return t, nil
}

// Next returns the next record; io.EOF at the end of the last whole block, a *DamageError where one cannot be read.
func (t *Reader) Next() (*tracev1.Record, error) {
	for len(t.block) == 0 {
		if err := t.open(); err != nil {
			return nil, err
		}
	}
	b, n := protowire.ConsumeBytes(t.block)
	if n < 0 {
		return nil, &DamageError{t.at, "a record that does not end within its block"}
	}
	t.block = t.block[n:]
	r := &tracev1.Record{}
	if err := proto.Unmarshal(b, r); err != nil {
		return nil, &DamageError{t.at, err.Error()}
	}
	return r, nil
}

func (t *Reader) open() error {
	head := make([]byte, headSize)
	if _, err := io.ReadFull(t.r, head); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return &DamageError{t.at, "the file ends within the head of a block"}
		}
		return err
	}
	size := binary.LittleEndian.Uint32(head)
	if size == 0 || size > blockMost {
		return &DamageError{t.at, fmt.Sprintf("a block of %d bytes, allowed are 1 to %d", size, blockMost)}
	}
	body, err := io.ReadAll(io.LimitReader(t.r, int64(size)))
	if err != nil {
		return err
	}
	if len(body) < int(size) {
		return &DamageError{t.at, fmt.Sprintf("the file ends within a block: %d of %d bytes", len(body), size)}
	}
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(head[4:]) {
		return &DamageError{t.at, "the checksum of a block is wrong"}
	}
	if t.block, err = t.zstd.DecodeAll(body, nil); err != nil {
		return &DamageError{t.at, err.Error()}
	}
	t.at += headSize + int64(size)
	return nil
}
