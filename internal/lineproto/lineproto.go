// Package lineproto has the lines that dispatchers and query nodes exchange: commands with an id, answers that come in any
// order, bodies of a stated length. It is strict and bounded: what does not have the form ends a connection.
package lineproto

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Bounds of an answer, in bytes.
const (
	LineMost   = 1024
	BodyMost   = 6000  // of one page
	ResultMost = 48000 // of all pages
)

// FormatError tells that a node sent what cannot be read; nothing further on its connection can be.
type FormatError struct{ What string }

func (e *FormatError) Error() string { return "lineproto: " + e.What }

func malformed(format string, args ...any) error { return &FormatError{fmt.Sprintf(format, args...)} }

// Word is the word of an answer.
type Word string

// The words.
const (
	Data   Word = "data"   // page 0 of a result
	Full   Word = "full"   // it never ran
	Failed Word = "failed" // it may have run
	Moot   Word = "moot"   // over already: it never ran
	News   Word = "news"   // not yet over
	Page   Word = "page"   // a further page
	Well   Word = "well"   // to a ping
)

var words = map[string]Word{"data": Data, "full": Full, "failed": Failed, "moot": Moot, "news": News, "page": Page, "well": Well}

// Answer is one answer of a node. Body is valid until the next read.
type Answer struct {
	ID     string
	Word   Word
	fields string
	Body   []byte
}

// Field is the value of a field, "" where there is none.
func (a *Answer) Field(name string) string {
	for rest := a.fields; rest != ""; {
		var f string
		f, rest, _ = strings.Cut(rest, ",")
		if n, v, ok := strings.Cut(f, "="); ok && n == name {
			return v
		}
	}
	return ""
}

// Reader reads answers.
type Reader struct {
	in   *bufio.Reader
	body []byte
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, LineMost)} }

// Read reads one answer. The error is a *FormatError where it is malformed, else the connection's.
func (r *Reader) Read() (Answer, error) {
	line, err := r.in.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			return Answer{}, malformed("line of over %d bytes", LineMost)
		}
		if err == io.EOF && len(line) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return Answer{}, err
	}
	a, length, err := parse(line)
	if err != nil {
		return Answer{}, err
	}
	if cap(r.body) < length+2 {
		r.body = make([]byte, BodyMost+2)
	}
	body := r.body[:length+2]
	if _, err := io.ReadFull(r.in, body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return Answer{}, err
	}
	if body[length] != '\r' || body[length+1] != '\n' {
		return Answer{}, malformed("body of %d bytes without its end", length)
	}
	a.Body = body[:length]
	return a, nil
}

func parse(line []byte) (a Answer, length int, err error) {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return a, 0, malformed("line that ends without CR LF")
	}
	for _, c := range text {
		if c < ' ' || c > '~' {
			return a, 0, malformed("byte %#x in a line", c)
		}
	}
	parts := strings.Split(string(text), " ")
	if len(parts) != 4 {
		return a, 0, malformed("line of %d words, allowed are 4", len(parts))
	}
	if a.Word, ok = words[parts[1]]; !ok {
		return a, 0, malformed("unknown word %.20q", parts[1])
	}
	if !Token(parts[0]) {
		return a, 0, malformed("id %.20q", parts[0])
	}
	if a.ID = parts[0]; parts[2] != "-" {
		if err := checkFields(parts[2]); err != nil {
			return a, 0, err
		}
		a.fields = parts[2]
	}
	length, err = strconv.Atoi(parts[3])
	if err != nil || length < 0 || length > BodyMost || parts[3] != strconv.Itoa(length) {
		return a, 0, malformed("length %.20q, allowed are 0 to %d", parts[3], BodyMost)
	}
	return a, length, nil
}

// checkFields wants name=value, separated by commas, no name twice.
func checkFields(s string) error {
	seen := map[string]bool{}
	for f := range strings.SplitSeq(s, ",") {
		name, _, ok := strings.Cut(f, "=")
		if !ok || name == "" || seen[name] {
			return malformed("field %.40q", f)
		}
		seen[name] = true
	}
	return nil
}

// Token tells whether a text may stand as an id: 1 to 64 letters, digits, '-', '_' or '.'.
func Token(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return true
}

// Request is what a query is to a node.
type Request struct {
	ID       string
	Class    string
	Key      string // idempotency key, "" where there is none
	MemoryMB int64  // granted; 0: the node's own choice
	Priority int    // 0 to 3; below 0: the usual one
	TTL      int64  // how long its answer is waited for, in milliseconds
	Text     string
}

// Append appends the command.
func (q *Request) Append(b []byte) []byte {
	b = append(append(b, "GET "...), q.ID...)
	b = append(append(b, " lane="...), q.Class...)
	b = strconv.AppendInt(append(b, ",ttl="...), max(q.TTL, 1), 10)
	if q.Key != "" {
		b = append(append(b, ",dedupe="...), q.Key...)
	}
	if q.MemoryMB > 0 {
		b = strconv.AppendInt(append(b, ",pool="...), q.MemoryMB, 10)
	}
	if q.Priority >= 0 {
		b = strconv.AppendInt(append(b, ",band="...), int64(q.Priority), 10)
	}
	b = strconv.AppendInt(append(b, ' '), int64(len(q.Text)), 10)
	b = append(append(b, "\r\n"...), q.Text...)
	return append(b, "\r\n"...)
}

// AppendDrop appends the command that gives a request up.
func AppendDrop(b []byte, id string) []byte { return command(b, "DROP ", id, -1) }

// AppendRank appends the command for a new priority.
func AppendRank(b []byte, id string, priority int) []byte { return command(b, "RANK ", id, priority) }

// AppendPage appends the command for one further page.
func AppendPage(b []byte, id string, n int) []byte { return command(b, "PAGE ", id, n) }

// AppendClose appends the command that wants no more pages.
func AppendClose(b []byte, id string) []byte { return command(b, "CLOSE ", id, -1) }

// AppendPing appends the command that asks whether the connection works.
func AppendPing(b []byte, tag string) []byte { return command(b, "PING ", tag, -1) }

func command(b []byte, verb, id string, n int) []byte {
	b = append(append(b, verb...), id...)
	if n >= 0 {
		b = strconv.AppendInt(append(b, ' '), int64(n), 10)
	}
	return append(b, "\r\n"...)
}
