package native

import (
	"encoding/binary"

	"github.com/go-faster/city"
)

// EmptyDataPacket returns the client's Data packet with the empty block, uncompressed.
func EmptyDataPacket() []byte {
	b := AppendString(AppendUvarint(nil, ClientData), "")
	return append(b, emptyBlock...)
}

// CompressedEmptyDataPacket returns EmptyDataPacket for a query with compressed blocks: its block is in a frame of the method "none".
func CompressedEmptyDataPacket() []byte {
	frame := append(make([]byte, checksumBytes), methodNone)
	frame = binary.LittleEndian.AppendUint32(frame, frameHeaderBytes+uint32(len(emptyBlock)))
	frame = binary.LittleEndian.AppendUint32(frame, uint32(len(emptyBlock)))
	frame = append(frame, emptyBlock...)
	sum := city.CH128(frame[checksumBytes:])
	binary.LittleEndian.PutUint64(frame, sum.Low)
	binary.LittleEndian.PutUint64(frame[8:], sum.High)
	return append(AppendString(AppendUvarint(nil, ClientData), ""), frame...)
}

// emptyBlock is a block with the default block info (no overflow, bucket -1), no columns and no rows.
var emptyBlock = []byte{1, 0, 2, 0xff, 0xff, 0xff, 0xff, 0, 0, 0}

// ReadClientPacketCode reads the code of a client's next packet. It returns io.EOF if the client closed the connection between two packets.
func (r *Reader) ReadClientPacketCode() (code uint64, err error) {
	r.begin("client's packet")
	if code, err = r.uvarint("packet"); err != nil {
		err = r.endBetweenPackets(err)
	}
	return code, err
}

// ReadClientData reads the rest of a client's Data packet after its code. Raw returns the bytes of the whole packet.
func (r *Reader) ReadClientData(revision int) (table string, b Block, err error) {
	r.packet = "client's Data"
	if table, err = r.text("table", maxNameBytes); err != nil {
		return table, b, err
	}
	b, err = r.dataBlock(revision)
	return table, b, err
}
