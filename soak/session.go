package soak

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"embershunt/internal/pgwire"
)

// answer is the response to one query, up to ReadyForQuery.
type answer struct {
	rows       []string // columns joined with tabs
	complete   bool     // CommandComplete came
	empty      bool     // EmptyQueryResponse came
	code       string   // SQLSTATE of an error
	retryAfter time.Duration
	err        error // the connection ended; nothing follows
}

// outcome classifies the answer to the request with this trace ID, with a detail for reports.
func (a answer) outcome(trace string) (Outcome, string) {
	switch {
	case a.err != nil:
		return Closed, a.err.Error()
	case strings.HasPrefix(a.code, "53") || a.code == "57P03":
		if len(a.rows) > 0 {
			return Unreadable, "rows before a refusal"
		}
		return Rejected, a.code
	case a.code != "":
		return Failed, a.code
	case !a.complete || len(a.rows) != 1 && len(a.rows) != 3:
		return Unreadable, fmt.Sprintf("%d rows, complete %v", len(a.rows), a.complete)
	}
	for i, row := range a.rows {
		if want := fmt.Sprintf("%s\tpage\t%d", trace, i); row != want {
			return Unreadable, fmt.Sprintf("row %q, want %q", row, want)
		}
	}
	return Served, ""
}

// readAnswer reads messages up to ReadyForQuery; cancelKey is set where a BackendKeyData is among them.
func readAnswer(r *bufio.Reader, cancelKey *[8]byte) (a answer) {
	for {
		kind, body, err := pgwire.ReadMessage(r, nil, maxAnswerBytes)
		if err != nil {
			a.err = err
			return a
		}
		switch kind {
		case 'Z':
			return a
		case 'K':
			copy(cancelKey[:], body)
		case 'I':
			a.empty = true
		case 'C':
			a.complete = true
		case 'D':
			a.rows = append(a.rows, joinColumns(body))
		case 'E':
			a.readError(string(body))
		}
	}
}

// readError takes the SQLSTATE and the pause in milliseconds from an ErrorResponse.
func (a *answer) readError(body string) {
	for field := range strings.SplitSeq(body, "\x00") {
		if code, ok := strings.CutPrefix(field, "C"); ok && a.code == "" {
			a.code = code
		}
		if _, text, ok := strings.Cut(field, "pause="); ok {
			var ms int
			_, _ = fmt.Sscan(text, &ms) // no number is no pause
			a.retryAfter = time.Duration(ms) * time.Millisecond
		}
	}
}

// joinColumns joins the columns of a DataRow with tabs.
func joinColumns(body []byte) string {
	var columns []string
	for at := 2; at+4 <= len(body); {
		n := int(binary.BigEndian.Uint32(body[at:]))
		at += 4
		if at+n > len(body) {
			break
		}
		columns = append(columns, string(body[at:at+n]))
		at += n
	}
	return strings.Join(columns, "\t")
}

// session is one client connection. A goroutine reads its answers until the connection ends; drop waits for it.
type session struct {
	net.Conn
	cancelKey [8]byte
	answers   chan answer // closed behind the last one
	fresh     bool        // no request has been sent on it
}

// maxAnswerBytes bounds a message that a client reads.
const maxAnswerBytes = 1 << 20

// startup is a StartupMessage of protocol 3.0.
var startup = append([]byte{0, 0, 0, 30, 0, 3, 0, 0}, "user\x00app\x00database\x00dw\x00\x00"...)

// openSession connects and waits until the dispatcher has accepted the session.
func openSession(ctx context.Context, address string) (*session, error) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &session{Conn: conn, answers: make(chan answer, 16), fresh: true}
	r := bufio.NewReader(conn)
	if err := s.handshake(r); err != nil {
		_ = conn.Close() // the handshake's error is reported
		return nil, err
	}
	go s.readAnswers(r)
	return s, nil
}

// handshake sends the startup message and reads the answer to it, within three seconds.
func (s *session) handshake(r *bufio.Reader) error {
	_ = s.SetDeadline(time.Now().Add(3 * time.Second)) // fails on a closed connection only, as the write then does
	if _, err := s.Write(startup); err != nil {
		return err
	}
	if a := readAnswer(r, &s.cancelKey); a.err != nil || a.code != "" {
		return errors.Join(a.err, fmt.Errorf("rejected with SQLSTATE %q", a.code))
	}
	_ = s.SetDeadline(time.Time{}) // fails on a closed connection only, as the next read then does
	return nil
}

// readAnswers hands answers over until the connection ends; the last one has its error.
func (s *session) readAnswers(r *bufio.Reader) {
	defer close(s.answers)
	for {
		a := readAnswer(r, &s.cancelKey)
		s.answers <- a
		if a.err != nil {
			return
		}
	}
}

// drop closes the session and waits for its reader, whose answers are lost.
func (s *session) drop() {
	_ = s.Close() // nothing more is sent, and its reader ends either way
	for range s.answers {
	}
}

// isIdle tells that nothing has arrived on a session without an open request, not even its end.
func (s *session) isIdle() bool {
	select {
	case <-s.answers:
		return false
	default:
		return true
	}
}

// queryMessage is a statement as a Query message.
func queryMessage(text string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(len(text)+5))
	return append(append(b, text...), 0)
}

// sendCancel sends a CancelRequest for the session on a connection of its own.
func (s *session) sendCancel(address string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	_, _ = conn.Write(append([]byte{0, 0, 0, 16, 4, 210, 22, 46}, s.cancelKey[:]...)) // a cancel may be lost
	_ = conn.Close()                                                                  // nothing is read from it
}

// isReady tells that a dispatcher answers an empty query.
func isReady(ctx context.Context, address string) bool {
	s, err := openSession(ctx, address)
	if err != nil {
		return false
	}
	defer s.drop()
	_ = s.SetDeadline(time.Now().Add(time.Second)) // fails on a closed connection only, as the read then does
	_, _ = s.Write(queryMessage(""))               // a failure shows as a missing answer
	return (<-s.answers).empty
}
