package standin

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Client is one session of a client in the PostgreSQL wire protocol 3.0.
type Client struct {
	conn            net.Conn
	r               *bufio.Reader
	process, secret uint32
}

// Answer is the answer to one query.
type Answer struct {
	Empty bool   // EmptyQueryResponse
	Rows  int    // before CommandComplete
	Text  string // of all rows: columns end with a tab, rows with a line feed
	Code  string // SQLSTATE of an error; "": none
	Error string
	Done  bool // CommandComplete
	Err   error
	At    time.Time
}

// Kind returns the meaning of the answer: served, refused, failed or none.
func (a Answer) Kind() string {
	switch {
	case a.Code != "" && a.Rows == 0 && (strings.HasPrefix(a.Code, "53") || a.Code == "57P03"):
		return "refused"
	case a.Code != "":
		return "failed"
	case a.Done:
		return "served"
	}
	return "none"
}

func startupMessage() []byte {
	body := "user\x00app\x00database\x00dw\x00\x00"
	b := binary.BigEndian.AppendUint32(nil, uint32(8+len(body)))
	return append(binary.BigEndian.AppendUint32(b, 3<<16), body...)
}

// QueryMessage returns the Query message of a statement.
func QueryMessage(statement string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(5+len(statement)))
	return append(append(b, statement...), 0)
}

// Dial opens a session and waits until it is ready for a query.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second)) // fails only on a closed connection
	if _, err := conn.Write(startupMessage()); err != nil {
		c.Close()
		return nil, err
	}
	for {
		kind, body, err := c.message()
		if err != nil || kind == 'E' {
			c.Close()
			return nil, fmt.Errorf("no session: %q %v", body, err)
		}
		if kind == 'K' {
			c.process, c.secret = binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])
		}
		if kind == 'Z' {
			_ = conn.SetDeadline(time.Time{})
			return c, nil
		}
	}
}

// message reads one message.
func (c *Client) message() (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	_, err = io.ReadFull(c.r, body)
	return head[0], body, err
}

// Send sends a query.
func (c *Client) Send(statement string) error { return c.SendBytes(QueryMessage(statement)) }

// SendBytes writes messages.
func (c *Client) SendBytes(b []byte) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed connection
	_, err := c.conn.Write(b)
	return err
}

// Read reads the answer to one query, up to ReadyForQuery or a fatal error; it gives up at a time.
func (c *Client) Read(until time.Time) (a Answer) {
	_ = c.conn.SetReadDeadline(until) // fails only on a closed connection
	for {
		kind, body, err := c.message()
		a.At = time.Now()
		if err != nil {
			a.Err = err
			return a
		}
		switch kind {
		case 'I':
			a.Empty = true
		case 'D':
			a.Rows++
			a.Text += rowText(body)
		case 'C':
			a.Done = true
		case 'E':
			severity := ""
			for _, f := range strings.Split(string(body), "\x00") {
				switch {
				case strings.HasPrefix(f, "S"):
					severity = f[1:]
				case strings.HasPrefix(f, "C"):
					a.Code = f[1:]
				case strings.HasPrefix(f, "M"):
					a.Error = f[1:]
				}
			}
			if severity == "FATAL" {
				return a
			}
		case 'Z':
			return a
		}
	}
}

// rowText returns the columns of a DataRow, each followed by a tab, and a line feed.
func rowText(body []byte) string {
	var b strings.Builder
	n := int(binary.BigEndian.Uint16(body))
	body = body[2:]
	for range n {
		size := int(int32(binary.BigEndian.Uint32(body)))
		body = body[4:]
		if size > 0 {
			b.Write(body[:size])
			body = body[size:]
		}
		b.WriteByte('\t')
	}
	return b.String() + "\n"
}

// Cancel sends a CancelRequest with the session's key on a new connection.
func (c *Client) Cancel(address string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	b := binary.BigEndian.AppendUint32(nil, 16)
	b = binary.BigEndian.AppendUint32(b, 80877102)
	b = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, c.process), c.secret)
	_, _ = conn.Write(b)
	_ = conn.Close()
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }
