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
	complete   bool     // CommandComplete was received
	empty      bool     // EmptyQueryResponse was received
	code       string   // SQLSTATE of an error; "": none
	retryAfter time.Duration
	err        error // the connection ended; no answer follows
}

// outcome classifies the answer to the request with the given trace ID, and returns a detail for reports.
func (a answer) outcome(trace string) (Outcome, string) {
	switch {
	case a.err != nil:
		return Closed, a.err.Error()
	case strings.HasPrefix(a.code, "53") || a.code == "57P03":
		if len(a.rows) > 0 {
			return InvalidAnswer, "rows before a rejection"
		}
		return Rejected, a.code
	case a.code != "":
		return Failed, a.code
	case !a.complete || len(a.rows) != 1 && len(a.rows) != 3:
		return InvalidAnswer, fmt.Sprintf("%d rows, complete %v", len(a.rows), a.complete)
	}
	for i, row := range a.rows {
		if want := fmt.Sprintf("%s\tpage\t%d", trace, i); row != want {
			return InvalidAnswer, fmt.Sprintf("row %q, want %q", row, want)
		}
	}
	return Served, ""
}

// readAnswer reads messages up to ReadyForQuery. It sets cancelKey where a BackendKeyData is among them.
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

// readError sets the SQLSTATE, and retryAfter from a "pause=" in milliseconds, from the body of an ErrorResponse.
func (a *answer) readError(body string) {
	for field := range strings.SplitSeq(body, "\x00") {
		if code, ok := strings.CutPrefix(field, "C"); ok && a.code == "" {
			a.code = code
		}
		if _, text, ok := strings.Cut(field, "pause="); ok {
			var ms int
			_, _ = fmt.Sscan(text, &ms) // 0 where the text is not a number
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

// session is a client connection after the startup. A goroutine reads its answers until the connection ends; drop waits for it.
type session struct {
	net.Conn
	cancelKey [8]byte
	answers   chan answer // closed after the last answer
	fresh     bool        // no request has been sent on it
}

// maxAnswerBytes is the maximum size of a message that a client reads.
const maxAnswerBytes = 1 << 20

// startupMessage is a StartupMessage of protocol 3.0.
var startupMessage = append([]byte{0, 0, 0, 30, 0, 3, 0, 0}, "user\x00app\x00database\x00dw\x00\x00"...)

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
	if _, err := s.Write(startupMessage); err != nil {
		return err
	}
	if a := readAnswer(r, &s.cancelKey); a.err != nil || a.code != "" {
		return errors.Join(a.err, fmt.Errorf("session startup failed with SQLSTATE %q", a.code))
	}
	_ = s.SetDeadline(time.Time{}) // fails on a closed connection only, as the next read then does
	return nil
}

// readAnswers sends answers to the channel until the connection ends. The last answer has the error.
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

// drop closes the session, waits until its reader has ended, and discards the remaining answers.
func (s *session) drop() {
	_ = s.Close() // the reader ends even where the close fails
	for range s.answers {
	}
}

// isIdle reports whether nothing has arrived on a session without an open request, not even its end. Where it returns false, it has
// discarded an answer, so the caller must drop the session.
func (s *session) isIdle() bool {
	select {
	case <-s.answers:
		return false
	default:
		return true
	}
}

// queryMessage returns a Query message with a statement.
func queryMessage(statement string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(len(statement)+5))
	return append(append(b, statement...), 0)
}

// sendCancel sends a CancelRequest for the session on a separate connection. Errors are ignored: a CancelRequest may be lost.
func (s *session) sendCancel(address string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	_, _ = conn.Write(append([]byte{0, 0, 0, 16, 4, 210, 22, 46}, s.cancelKey[:]...)) // may be lost
	_ = conn.Close()                                                                  // the dispatcher sends no answer to a cancel
}

// isReady reports whether a dispatcher accepts a session and answers an empty query on it.
func isReady(ctx context.Context, address string) bool {
	s, err := openSession(ctx, address)
	if err != nil {
		return false
	}
	defer s.drop()
	_ = s.SetDeadline(time.Now().Add(time.Second)) // fails on a closed connection only, as the read then does
	_, _ = s.Write(queryMessage(""))               // where it fails, no answer comes
	return (<-s.answers).empty
}
