package clickhouse

import (
	"bytes"
	"fmt"

	"embershunt/internal/native"
)

// request is a client's packet, or the error of reading it.
type request struct {
	code   uint64 // of the packet
	query  native.Query
	tables []byte       // for Query: its external tables and the empty block that ends them
	data   []byte       // for Data: the whole packet
	block  native.Block // for Data
	err    error
}

func (r request) event() event { return eventOf(r.code, r.err) }

// next returns the client's next packet, from the background read if there is one.
func (c *connection) next() request {
	if c.readingAhead {
		c.readingAhead = false
		return <-c.requests
	}
	return c.read()
}

// readAhead starts reading the client's next packet in the background, unless such a read is under way. It lets the connection
// notice a Cancel or a disconnect while a query runs. The code that receives from c.requests must clear c.readingAhead.
func (c *connection) readAhead() {
	if c.readingAhead {
		return
	}
	c.readingAhead = true
	c.group.Go(func() error {
		c.requests <- c.read() // never blocks: the channel has room for one request, and there is one read at a time
		return nil
	})
}

// read reads one packet, a Query with its external tables, and reserves the payload bytes that it buffers.
func (c *connection) read() (r request) {
	if r.code, r.err = c.reader.ReadClientPacketCode(); r.err != nil {
		return r
	}
	switch r.code {
	case native.ClientQuery:
		if r.query, r.err = c.reader.ReadQuery(c.revision); r.err == nil {
			c.reader.Compressed = r.query.Compression
			r.tables, r.err = c.readTables()
		}
	case native.ClientData:
		if _, r.block, r.err = c.reader.ReadClientData(c.revision); r.err == nil {
			if r.err = c.reservePayload(len(c.reader.Raw())); r.err == nil {
				r.data = bytes.Clone(c.reader.Raw())
			}
		}
	case native.ClientPing, native.ClientCancel:
	default:
		r.err = fmt.Errorf("unexpected packet %d, allowed: 1 (Query), 2 (Data), 3 (Cancel) and 4 (Ping)", r.code)
	}
	return r
}

// reservePayload reserves n bytes of buffered payload. They are released when the query has ended.
func (c *connection) reservePayload(n int) error { return c.frontend.payloads.grow(&c.payload, n) }

// readTables reads the external tables that follow a Query packet, up to the empty block that ends them.
func (c *connection) readTables() ([]byte, error) {
	var tables []byte
	for {
		code, err := c.reader.ReadClientPacketCode()
		if err != nil {
			return nil, err
		}
		if code != native.ClientData {
			return nil, fmt.Errorf("unexpected packet %d after a query, allowed: 2 (Data)", code)
		}
		_, block, err := c.reader.ReadClientData(c.revision)
		if err != nil {
			return nil, err
		}
		if !block.IsEnd() || len(tables) > 0 { // an empty block without tables before it is not charged
			if err := c.reservePayload(len(c.reader.Raw())); err != nil {
				return nil, err
			}
		}
		if tables = append(tables, c.reader.Raw()...); block.IsEnd() {
			return tables, nil
		}
	}
}
