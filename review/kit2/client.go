package kit2

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Session is a client's session after its start-up.
type Session struct {
	net.Conn
	Key [8]byte // for CancelRequest
	in  *bufio.Reader
}

// Answer is the whole answer to one query.
type Answer struct {
	Rows     []string // columns joined with tabs
	Complete bool
	Empty    bool
	Code     string // SQLSTATE
	Text     string // of the error
	Severity string
	Err      error // the connection ended before the answer was whole
}

// Kind names the answer as the protocol page does.
func (a Answer) Kind() string {
	switch {
	case a.Err != nil && a.Code == "":
		return "closed"
	case strings.HasPrefix(a.Code, "53") || a.Code == "57P03":
		return "refused"
	case a.Code != "":
		return "failed"
	case a.Complete:
		return "served"
	case a.Empty:
		return "empty"
	}
	return "unreadable"
}

// Connect opens a session.
func Connect(ctx context.Context, address string) (*Session, error) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s := NewSession(conn)
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err = conn.Write(Startup()); err == nil {
		a := s.ReadAnswer()
		if err = a.Err; err == nil && a.Code != "" {
			err = fmt.Errorf("SQLSTATE %s: %s", a.Code, a.Text)
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return s, nil
}

// ReadAnswer reads up to ReadyForQuery, or to the end of the connection. An error of severity FATAL is the session's last message.
func (s *Session) ReadAnswer() (a Answer) {
	for {
		var head [5]byte
		if _, err := io.ReadFull(s.in, head[:]); err != nil {
			a.Err = err
			return a
		}
		body := make([]byte, int(binary.BigEndian.Uint32(head[1:]))-4)
		if _, err := io.ReadFull(s.in, body); err != nil {
			a.Err = err
			return a
		}
		switch head[0] {
		case 'Z':
			return a
		case 'K':
			copy(s.Key[:], body)
		case 'I':
			a.Empty = true
		case 'C':
			a.Complete = true
		case 'D':
			var columns []string
			for at := 2; at+4 <= len(body); {
				n := int(binary.BigEndian.Uint32(body[at:]))
				columns = append(columns, string(body[at+4:at+4+n]))
				at += 4 + n
			}
			a.Rows = append(a.Rows, strings.Join(columns, "\t"))
		case 'E':
			for field := range strings.SplitSeq(string(body), "\x00") {
				if field == "" {
					continue
				}
				switch field[0] {
				case 'S':
					a.Severity = field[1:]
				case 'C':
					a.Code = field[1:]
				case 'M':
					a.Text = field[1:]
				}
			}
			if a.Severity == "FATAL" {
				return a
			}
		}
	}
}

// Cancel sends a CancelRequest for the session on a connection of its own.
func (s *Session) Cancel(address string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	_, _ = conn.Write(append([]byte{0, 0, 0, 16, 4, 210, 22, 46}, s.Key[:]...))
	_ = conn.Close()
}

// QueryMessage returns a Query message.
func QueryMessage(statement string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(len(statement)+5))
	return append(append(b, statement...), 0)
}

// Statement returns a statement with its comment. The work is in milliseconds on one core; key is empty in classes without one.
func Statement(class, trace string, patience time.Duration, key string, workMillis float64, padding int) string {
	nonce := ""
	if key != "" {
		nonce = ",nonce=" + key
	}
	text := fmt.Sprintf("/* route=%s,trace=%s,patience=%d,customer=motor%s,weight=%.1f,need_mb=64 */ SELECT day, count(*), max(note) FROM "+
		"sales_%d.orders WHERE tag = '%s' GROUP BY day", class, trace, patience.Milliseconds(), nonce, workMillis, 1+len(trace)%7, trace[8:])
	if padding > len(text) {
		text = strings.Replace(text, "WHERE tag = '", "WHERE note <> '"+strings.Repeat("x", padding-len(text))+"' AND tag = '", 1)
	}
	return text
}

// AnswerSlack is how long after its time a request that has no answer yet is not lost: "Up to half a second after its time it only earns
// nothing", and every time limit is extended by 50 ms.
const AnswerSlack = 550 * time.Millisecond

// Ask sends one request on a session of its own, waits for its answer until it is lost, and records both. It returns the answer and a
// break, which is empty if the request got its final answer in time.
func Ask(r *Record, address, class, trace string, patience time.Duration, key string, workMillis float64, bytes int) (Answer, string) {
	s, err := Connect(context.Background(), address)
	if err != nil {
		r.Logf("%s: no session: %v", trace, err) // nothing was taken
		return Answer{Err: err}, ""
	}
	defer s.Close()
	if _, err := s.Write(QueryMessage(Statement(class, trace, patience, key, workMillis, bytes))); err != nil {
		r.Logf("%s: not written: %v", trace, err)
		return Answer{Err: err}, ""
	}
	sent := time.Now()
	r.Logf("%s: %s sent, patience %v", trace, class, patience)
	_ = s.SetReadDeadline(sent.Add(patience + AnswerSlack))
	a := s.ReadAnswer()
	took := time.Since(sent)
	r.Logf("%s: %s %s %s after %v", trace, a.Kind(), a.Code, a.Text, took.Round(time.Millisecond))
	if a.Kind() == "closed" || a.Kind() == "unreadable" {
		return a, fmt.Sprintf("%s: no whole answer within its time and half a second: %v after %v", trace, a.Err, took.Round(time.Millisecond))
	}
	return a, ""
}

// Startup is the start-up message of a client.
func Startup() []byte {
	params := "user\x00app\x00database\x00dw\x00\x00"
	b := binary.BigEndian.AppendUint32(nil, uint32(8+len(params)))
	return append(binary.BigEndian.AppendUint32(b, 3<<16), params...)
}

// NewSession returns a session on a connection on which nothing has been read.
func NewSession(conn net.Conn) *Session { return &Session{Conn: conn, in: bufio.NewReader(conn)} }
