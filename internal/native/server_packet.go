package native

import (
	"errors"
	"fmt"
	"io"
)

// Progress is the progress of a query since the previous Progress packet: rows and bytes read, and rows to read in total.
type Progress struct{ Rows, Bytes, Total uint64 }

// Packet is a packet of a server. Fields that a packet of its code doesn't have are zero.
type Packet struct {
	Code      uint64
	Raw       []byte // the whole packet; valid until the next one is read
	Body      int    // offset of the block in Raw, after the code and the table name
	Block     Block  // of Data, Totals, Extremes, Log and ProfileEvents
	Progress  Progress
	Exception *Exception
}

// ReadServerPacket reads the next packet of a server. It returns io.EOF if the connection was closed between two packets.
func (r *Reader) ReadServerPacket(revision int) (p Packet, err error) {
	r.begin("server's packet")
	if p.Code, err = r.uvarint("packet"); err != nil {
		return p, r.endBetweenPackets(err)
	}
	switch p.Code {
	case ServerData, ServerTotals, ServerExtremes, ServerLog, ServerProfileEvents:
		err = r.serverBlock(&p, revision)
	case ServerException:
		r.packet = "Exception"
		p.Exception, err = r.exception()
	case ServerProgress:
		p.Progress, err = r.progress(revision)
	case ServerPong, ServerEndOfStream:
	case ServerProfileInfo:
		err = r.profileInfo()
	case ServerTableColumns:
		r.packet = "TableColumns"
		for i := 0; i < 2 && err == nil; i++ {
			_, err = r.text("text", maxTextBytes)
		}
	default:
		err = r.formatError("packet", fmt.Sprint(p.Code), "a packet that docs/design-native.md lists")
	}
	p.Raw = r.raw
	return p, err
}

// endBetweenPackets replaces the error by io.EOF if the stream ended before the packet began.
func (r *Reader) endBetweenPackets(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) && len(r.raw) == 0 {
		return io.EOF
	}
	return err
}

// serverBlock reads the table name and the block of a packet. The blocks of logs and profile events are never compressed.
func (r *Reader) serverBlock(p *Packet, revision int) error {
	r.packet = "Data"
	_, err := r.text("table", maxNameBytes)
	if err != nil {
		return err
	}
	p.Body = len(r.raw)
	if p.Code == ServerLog || p.Code == ServerProfileEvents {
		p.Block, err = r.block(revision)
	} else {
		p.Block, err = r.dataBlock(revision)
	}
	return err
}

func (r *Reader) progress(revision int) (p Progress, err error) {
	r.packet = "Progress"
	for _, into := range []*uint64{&p.Rows, &p.Bytes, &p.Total} {
		if *into, err = r.uvarint("number"); err != nil {
			return p, err
		}
	}
	skipped := 2 // rows and bytes written
	if revision >= revProgressTime {
		skipped++ // the server's elapsed time
	}
	for range skipped {
		if _, err = r.uvarint("number"); err != nil {
			return p, err
		}
	}
	return p, nil
}

// profileInfo skips the fields of ProfileInfo: rows, blocks, bytes, a flag, rows before a limit and another flag.
func (r *Reader) profileInfo() (err error) {
	r.packet = "ProfileInfo"
	for _, flag := range []bool{false, false, false, true, false, true} {
		if flag {
			_, err = r.byte("flag")
		} else {
			_, err = r.uvarint("number")
		}
		if err != nil {
			return err
		}
	}
	return nil
}
