package native

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/go-faster/city"
	"github.com/klauspost/compress/zstd"
	"github.com/pierrec/lz4/v4"
)

// Methods of compression, as a frame names them ("Compression" in ClickHouse's native protocol: a checksum of 16 bytes by
// CityHash 1.0.2, then method, sizes and payload, over which the checksum is made).
const (
	methodNone = 0x02
	methodLZ4  = 0x82
	methodZSTD = 0x90
)

const (
	frameChecksum = 16
	frameHead     = 9 // method, size of the frame without its checksum, size of what it holds
)

// frames is the content of the compressed frames that a Reader has before it, as a stream. Their bytes become part of the
// Reader's packet, unchanged; each checksum is tested.
type frames struct {
	outer  *Reader
	held   []byte // decompressed and not read yet
	buffer []byte
	zstd   *zstd.Decoder
}

// Read implements io.Reader; it takes no frame before the one in hand is read.
func (f *frames) Read(p []byte) (int, error) {
	for len(f.held) == 0 {
		if err := f.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, f.held)
	f.held = f.held[n:]
	return n, nil
}

func (f *frames) next() error {
	r := f.outer
	at := len(r.raw)
	head, err := r.take("head of a compressed frame", frameChecksum+frameHead)
	if err != nil {
		return err
	}
	method := head[frameChecksum]
	size, holds := binary.LittleEndian.Uint32(head[frameChecksum+1:]), binary.LittleEndian.Uint32(head[frameChecksum+5:])
	if size < frameHead {
		return r.formatError("size of a compressed frame", fmt.Sprint(size), "9 and above")
	}
	if holds == 0 || uint64(holds) > uint64(r.maxPacket) {
		return r.formatError("content of a compressed frame", fmt.Sprintf("%d bytes", holds), fmt.Sprintf("1 to %d bytes", r.maxPacket))
	}
	if _, err := r.take("compressed frame", uint64(size-frameHead)); err != nil {
		return err
	}
	frame := r.raw[at:]
	sum := city.CH128(frame[frameChecksum:])
	if sum.Low != binary.LittleEndian.Uint64(frame) || sum.High != binary.LittleEndian.Uint64(frame[8:]) {
		return r.formatError("checksum of a compressed frame", fmt.Sprintf("%x", frame[:frameChecksum]), fmt.Sprintf("%x%x, as its bytes give", sum.Low, sum.High))
	}
	payload := frame[frameChecksum+frameHead:]
	n := 0
	switch method {
	case methodNone:
		f.held, n = payload, len(payload)
	case methodLZ4:
		if uint64(holds) > 255*uint64(len(payload))+64 { // the method's best: such a size is not allocated
			return r.formatError("content of a compressed frame", fmt.Sprintf("%d bytes out of %d", holds, len(payload)), "255 times as many at most")
		}
		f.resize(int(holds))
		n, err = lz4.UncompressBlock(payload, f.buffer)
		f.held = f.buffer[:max(n, 0)]
	case methodZSTD:
		if f.zstd == nil {
			if f.zstd, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
				zstd.WithDecoderMaxMemory(uint64(r.maxPacket))); err != nil {
				return err
			}
		}
		f.buffer, err = f.zstd.DecodeAll(payload, f.buffer[:0])
		f.held, n = f.buffer, len(f.buffer)
	default:
		return r.formatError("method of compression", fmt.Sprintf("%#x", method), "0x2 (none), 0x82 (LZ4) and 0x90 (ZSTD)")
	}
	if err != nil {
		return r.formatError("compressed frame", err.Error(), "what its method can open")
	}
	if n != int(holds) {
		return r.formatError("content of a compressed frame", fmt.Sprintf("%d bytes", n), fmt.Sprintf("%d, as its head says", holds))
	}
	return nil
}

func (f *frames) resize(n int) {
	if cap(f.buffer) < n {
		f.buffer = make([]byte, n)
	}
	f.buffer = f.buffer[:n]
}

// content reads the block of a Data packet: in compressed frames where the query says so.
func (r *Reader) content(revision int) (Block, error) {
	if !r.Compressed {
		return r.block(revision)
	}
	if r.frameReader == nil {
		r.frames = &frames{outer: r}
		r.frameReader = NewReader(r.frames, r.maxPacket)
	}
	r.frames.held = nil
	r.frameReader.r.Reset(r.frames)
	r.frameReader.begin(r.packet)
	b, err := r.frameReader.block(revision)
	if err == nil && (r.frameReader.r.Buffered() > 0 || len(r.frames.held) > 0) {
		err = r.formatError("compressed frame", "bytes behind the end of the block", "blocks that end with their last frame")
	}
	return b, err
}

// Uncompressed is the block of the packet read last, without compression; it is valid until the next packet is read.
func (r *Reader) Uncompressed(p Packet) []byte {
	if r.Compressed && p.Body > 0 {
		return r.frameReader.raw
	}
	return p.Raw[p.Body:]
}

var _ io.Reader = (*frames)(nil)
