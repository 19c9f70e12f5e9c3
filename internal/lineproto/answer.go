package lineproto

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// AnswerKind says what an answer is.
type AnswerKind string

// The kinds of answers.
const (
	Data       AnswerKind = "data"   // page 0 of a result
	AtCapacity AnswerKind = "full"   // the request never ran: the node is at capacity
	Failed     AnswerKind = "failed" // the request may have run
	Expired    AnswerKind = "moot"   // the request never ran: its time was over
	Progress   AnswerKind = "news"   // how far the request is
	Page       AnswerKind = "page"   // a further page of a result
	Pong       AnswerKind = "well"   // to a ping
)

var answerKinds = map[string]AnswerKind{"data": Data, "full": AtCapacity, "failed": Failed, "moot": Expired, "news": Progress, "page": Page,
	"well": Pong}

// Answer is one answer of a node. Body is valid until the next read.
type Answer struct {
	ID     string
	Kind   AnswerKind
	fields string
	Body   []byte
}

// Field is the value of a field; "" where there is none.
func (a *Answer) Field(name string) string {
	for rest := a.fields; rest != ""; {
		var field string
		field, rest, _ = strings.Cut(rest, ",")
		if n, v, ok := strings.Cut(field, "="); ok && n == name {
			return v
		}
	}
	return ""
}

// Reader reads answers.
type Reader struct {
	in   *bufio.Reader
	body []byte // reused by each answer
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, maxLineBytes)} }

// Await waits for the first byte of an answer. After an error of the connection, such as a deadline, it may be called again.
func (r *Reader) Await() error {
	_, err := r.in.Peek(1)
	return err
}

// Read reads one answer. The error is a *FormatError where it is malformed, else the connection's.
func (r *Reader) Read() (Answer, error) {
	line, err := r.in.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			return Answer{}, malformed("line of over %d bytes", maxLineBytes)
		}
		if len(line) > 0 {
			err = unexpectedEOF(err)
		}
		return Answer{}, err
	}
	a, length, err := parseLine(line)
	if err != nil {
		return Answer{}, err
	}
	if cap(r.body) < length+2 {
		r.body = make([]byte, maxBodyBytes+2)
	}
	body := r.body[:length+2]
	if _, err := io.ReadFull(r.in, body); err != nil {
		return Answer{}, unexpectedEOF(err)
	}
	if body[length] != '\r' || body[length+1] != '\n' {
		return Answer{}, malformed("body of %d bytes without its end", length)
	}
	a.Body = body[:length]
	return a, nil
}

// unexpectedEOF replaces io.EOF, which means an end between two answers, by the error for an end within one.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseLine parses the first line of an answer, and returns the length of its body.
func parseLine(line []byte) (a Answer, length int, err error) {
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
	id, kind, fields, size := parts[0], parts[1], parts[2], parts[3]
	if a.Kind, ok = answerKinds[kind]; !ok {
		return a, 0, malformed("unknown word %.20q", kind)
	}
	if !IsToken(id) {
		return a, 0, malformed("id %.20q", id)
	}
	if a.ID = id; fields != "-" {
		if err := checkFields(fields); err != nil {
			return a, 0, err
		}
		a.fields = fields
	}
	length, err = strconv.Atoi(size)
	if err != nil || length < 0 || length > maxBodyBytes || size != strconv.Itoa(length) {
		return a, 0, malformed("length %.20q, allowed are 0 to %d", size, maxBodyBytes)
	}
	return a, length, nil
}

// checkFields checks that fields have the form name=value, separated by commas, and no name occurs twice.
func checkFields(s string) error {
	seen := map[string]bool{}
	for field := range strings.SplitSeq(s, ",") {
		name, _, ok := strings.Cut(field, "=")
		if !ok || name == "" || seen[name] {
			return malformed("field %.40q", field)
		}
		seen[name] = true
	}
	return nil
}
