package clickhouse

import (
	"bytes"
	"fmt"

	"embershunt/internal/native"
)

// request is a client's packet, or the error in its place.
type request struct {
	code   uint64
	query  native.Query
	tables []byte       // of a query: its external tables and the empty block behind them
	data   []byte       // of Data: the packet
	block  native.Block // of Data
	err    error
}

func (r request) event() event { return eventOf(r.code, r.err) }

// next returns the client's next packet.
func (c *connection) next() request {
	if c.reading {
		c.reading = false
		return <-c.requests
	}
	return c.read()
}

// watch reads the client's next packet in the background, so that a cancel and the client's end are seen while a query runs.
// Whoever receives the request from c.requests clears c.reading.
func (c *connection) watch() {
	if c.reading {
		return
	}
	c.reading = true
	c.group.Go(func() error {
		c.requests <- c.read() // never blocks: the channel holds one, and there is one read at a time
		return nil
	})
}

// read reads one packet and reserves the bytes that it buffers.
func (c *connection) read() (r request) {
	if r.code, r.err = c.reader.ReadClient(); r.err != nil {
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
		r.err = fmt.Errorf("packet %d has no place here", r.code)
	}
	return r
}

// reservePayload reserves n bytes of what is read; all of them are released when the query has ended.
func (c *connection) reservePayload(n int) error { return c.front.payloads.grow(&c.payload, n) }

// readTables reads the external tables behind a query and the empty block that ends them.
func (c *connection) readTables() ([]byte, error) {
	var tables []byte
	for {
		code, err := c.reader.ReadClient()
		if err != nil {
			return nil, err
		}
		if code != native.ClientData {
			return nil, fmt.Errorf("packet %d behind a query: wanted is 2 (Data)", code)
		}
		_, block, err := c.reader.ReadClientData(c.revision)
		if err != nil {
			return nil, err
		}
		if !block.End() || len(tables) > 0 { // the empty block alone is not counted
			if err := c.reservePayload(len(c.reader.Raw())); err != nil {
				return nil, err
			}
		}
		if tables = append(tables, c.reader.Raw()...); block.End() {
			return tables, nil
		}
	}
}
