package native

import (
	"encoding/binary"

	"github.com/go-faster/city"
)

// EndOfData is the client's empty block, uncompressed.
func EndOfData() []byte {
	b := PutText(PutUvarint(nil, ClientData), "")
	return append(b, emptyBlock...)
}

// EndOfDataCompressed is EndOfData in a frame without compression, as it goes where blocks are compressed.
func EndOfDataCompressed() []byte {
	frame := append(make([]byte, frameChecksum), methodNone)
	frame = binary.LittleEndian.AppendUint32(frame, frameHead+uint32(len(emptyBlock)))
	frame = binary.LittleEndian.AppendUint32(frame, uint32(len(emptyBlock)))
	frame = append(frame, emptyBlock...)
	sum := city.CH128(frame[frameChecksum:])
	binary.LittleEndian.PutUint64(frame, sum.Low)
	binary.LittleEndian.PutUint64(frame[8:], sum.High)
	return append(PutText(PutUvarint(nil, ClientData), ""), frame...)
}

// emptyBlock has the usual block info (no overflow, bucket -1), no columns, no rows.
var emptyBlock = []byte{1, 0, 2, 0xff, 0xff, 0xff, 0xff, 0, 0, 0}

// ReadClient reads the code of a client's next packet; io.EOF where the client has gone between two.
func (r *Reader) ReadClient() (code uint64, err error) {
	r.begin("client's packet")
	if code, err = r.uvarint("packet"); err != nil {
		err = r.endBetweenPackets(err)
	}
	return code, err
}

// ReadClientData reads a client's Data packet behind its code; Raw has its bytes.
func (r *Reader) ReadClientData(revision int) (table string, b Block, err error) {
	r.packet = "client's Data"
	if table, err = r.text("table", maxNameBytes); err != nil {
		return table, b, err
	}
	b, err = r.content(revision)
	return table, b, err
}
