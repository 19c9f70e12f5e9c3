package native

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

// maxClientPacketBytes is the limit of a packet that a Client reads.
const maxClientPacketBytes = 256 << 20

// Client is a small client of the protocol for command line tools. It has one connection and runs one query at a time.
type Client struct {
	conn     net.Conn
	r        *Reader
	revision int
	Server   ServerInfo
}

// Dial connects to a server and exchanges hellos. An Exception of the server is returned as *Exception.
func Dial(ctx context.Context, address string, h Hello) (*Client, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, r: NewReader(conn, maxClientPacketBytes)}
	defer c.interruptOnDone(ctx)()
	if h.Revision == 0 {
		h.Revision = NewestRevision
	}
	if _, err = conn.Write(h.Encode()); err == nil {
		if c.Server, err = c.r.ReadServerHello(); err == nil {
			if c.revision = min(h.Revision, c.Server.Revision); c.revision >= AddendumFrom {
				_, err = conn.Write(AppendString(nil, "")) // quota key
			}
		}
	}
	if err != nil {
		_ = conn.Close() // err tells more than an error of Close
		return nil, err
	}
	return c, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// interruptOnDone makes reads and writes of the connection fail once ctx is done, until the returned function is called.
func (c *Client) interruptOnDone(ctx context.Context) func() {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	return func() { stop() }
}

// Query runs a statement and calls onBlock with each Data block of its answer, also with those that have no rows. An Exception of
// the server is returned as *Exception.
func (c *Client) Query(ctx context.Context, text string, settings map[string]string, onBlock func(*Values) error) error {
	defer c.interruptOnDone(ctx)()
	q := Query{Info: []byte{0}, Stage: stageComplete, Text: text}
	for name, value := range settings {
		q.Settings = append(q.Settings, Setting{Name: name, Value: value})
	}
	if _, err := c.conn.Write(append(q.Encode(c.revision), EmptyDataPacket()...)); err != nil {
		return err
	}
	for {
		p, err := c.r.ReadServerPacket(c.revision)
		if err != nil {
			if ctx.Err() != nil {
				return errors.Join(ctx.Err(), err)
			}
			return err
		}
		switch p.Code {
		case ServerException:
			return p.Exception
		case ServerEndOfStream:
			return nil
		case ServerData:
			v, err := ReadValues(p.Raw[p.Body:], c.revision)
			if err != nil {
				return fmt.Errorf("block of %d rows: %w", p.Block.Rows, err)
			}
			if err := onBlock(v); err != nil {
				return err
			}
		}
	}
}
