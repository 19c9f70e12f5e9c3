package native

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/go-faster/city"
	"github.com/klauspost/compress/zstd"
	"github.com/pierrec/lz4/v4"
)

// Compression methods as encoded in a frame. A frame of ClickHouse's native protocol has a checksum of 16 bytes (CityHash128 of
// CityHash 1.0.2), then the method, the sizes and the payload. The checksum covers everything after it.
const (
	methodNone = 0x02
	methodLZ4  = 0x82
	methodZSTD = 0x90
)

const (
	checksumBytes    = 16
	frameHeaderBytes = 9 // method, size of the frame without its checksum, size of its decompressed content
)

// frameStream is an io.Reader of the decompressed content of the frames that a Reader reads. It verifies each frame's checksum and
// appends the frame's bytes unchanged to the Reader's packet.
type frameStream struct {
	reader  *Reader
	content []byte // of the current frame, decompressed and not read yet
	buffer  []byte // holds decompressed content; reused for the next frame
	zstd    *zstd.Decoder
}

// Read implements io.Reader. It reads the next frame only when the content of the current one has been read.
func (f *frameStream) Read(p []byte) (int, error) {
	for len(f.content) == 0 {
		if err := f.nextFrame(); err != nil {
			return 0, err
		}
	}
	n := copy(p, f.content)
	f.content = f.content[n:]
	return n, nil
}

// nextFrame reads, verifies and decompresses a frame.
func (f *frameStream) nextFrame() error {
	r := f.reader
	at := len(r.raw)
	header, err := r.take("header of a compressed frame", checksumBytes+frameHeaderBytes)
	if err != nil {
		return err
	}
	method := header[checksumBytes]
	size, contentSize := binary.LittleEndian.Uint32(header[checksumBytes+1:]), binary.LittleEndian.Uint32(header[checksumBytes+5:])
	if size < frameHeaderBytes {
		return r.formatError("size of a compressed frame", fmt.Sprint(size), "9 and above")
	}
	if contentSize == 0 || uint64(contentSize) > uint64(r.maxPacket) {
		return r.formatError("content of a compressed frame", fmt.Sprintf("%d bytes", contentSize), fmt.Sprintf("1 to %d bytes", r.maxPacket))
	}
	if _, err := r.take("compressed frame", uint64(size-frameHeaderBytes)); err != nil {
		return err
	}
	frame := r.raw[at:]
	sum := city.CH128(frame[checksumBytes:])
	if sum.Low != binary.LittleEndian.Uint64(frame) || sum.High != binary.LittleEndian.Uint64(frame[8:]) {
		return r.formatError("checksum of a compressed frame", fmt.Sprintf("%x", frame[:checksumBytes]),
			fmt.Sprintf("%x%x, the checksum of its bytes", sum.Low, sum.High))
	}
	payload := frame[checksumBytes+frameHeaderBytes:]
	n := 0
	switch method {
	case methodNone:
		f.content, n = payload, len(payload)
	case methodLZ4:
		if uint64(contentSize) > 255*uint64(len(payload))+64 { // more than LZ4 can compress: don't allocate it
			return r.formatError("content of a compressed frame", fmt.Sprintf("%d bytes from %d compressed", contentSize, len(payload)),
				"255 times as many at most")
		}
		f.resize(int(contentSize))
		n, err = lz4.UncompressBlock(payload, f.buffer)
		f.content = f.buffer[:max(n, 0)]
	case methodZSTD:
		if f.zstd == nil {
			if f.zstd, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
				zstd.WithDecoderMaxMemory(uint64(r.maxPacket))); err != nil {
				return err
			}
		}
		f.buffer, err = f.zstd.DecodeAll(payload, f.buffer[:0])
		f.content, n = f.buffer, len(f.buffer)
	default:
		return r.formatError("method of compression", fmt.Sprintf("%#x", method), "0x2 (none), 0x82 (LZ4) and 0x90 (ZSTD)")
	}
	if err != nil {
		return r.formatError("compressed frame", err.Error(), "a payload that its method can decompress")
	}
	if n != int(contentSize) {
		return r.formatError("content of a compressed frame", fmt.Sprintf("%d bytes", n), fmt.Sprintf("%d, the size in its header", contentSize))
	}
	return nil
}

func (f *frameStream) resize(n int) {
	if cap(f.buffer) < n {
		f.buffer = make([]byte, n)
	}
	f.buffer = f.buffer[:n]
}

// dataBlock reads the block of a Data packet, from compressed frames if Compressed is set.
func (r *Reader) dataBlock(revision int) (Block, error) {
	if !r.Compressed {
		return r.block(revision)
	}
	if r.frameReader == nil {
		r.frames = &frameStream{reader: r}
		r.frameReader = NewReader(r.frames, r.maxPacket)
	}
	r.frames.content = nil
	r.frameReader.r.Reset(r.frames)
	r.frameReader.begin(r.packet)
	b, err := r.frameReader.block(revision)
	if err == nil && (r.frameReader.r.Buffered() > 0 || len(r.frames.content) > 0) {
		err = r.formatError("compressed frame", "bytes after the end of the block", "blocks that end with their last frame")
	}
	return b, err
}

// Uncompressed returns the decompressed block of p, which must be the packet read last. The bytes are valid until the next packet
// is read.
func (r *Reader) Uncompressed(p Packet) []byte {
	if r.Compressed && p.Body > 0 {
		return r.frameReader.raw
	}
	return p.Raw[p.Body:]
}

var _ io.Reader = (*frameStream)(nil)
