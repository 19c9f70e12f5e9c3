package lineproto

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// AnswerKind is the kind of an answer, as the node writes it.
type AnswerKind string

// The kinds of answers.
const (
	Data       AnswerKind = "data"   // page 0 of a result
	AtCapacity AnswerKind = "full"   // the request never ran: the node is at capacity
	Failed     AnswerKind = "failed" // the request may have run
	Expired    AnswerKind = "moot"   // the request never ran: its TTL had passed
	Progress   AnswerKind = "news"   // an interim report on the request; not its final answer
	Page       AnswerKind = "page"   // a further page of a result
	Pong       AnswerKind = "well"   // the answer to PING
)

var answerKinds = map[string]AnswerKind{"data": Data, "full": AtCapacity, "failed": Failed, "moot": Expired, "news": Progress, "page": Page,
	"well": Pong}

// Answer is one answer of a node. Body is valid until the next read.
type Answer struct {
	ID     string
	Kind   AnswerKind
	fields string // name=value,...; "": none
	Body   []byte
}

// Field returns the value of a field; "" where the answer does not have the field.
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

// Reader reads answers from a node's connection.
type Reader struct {
	in   *bufio.Reader
	body []byte // reused for each answer
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, maxLineBytes)} }

// Await waits for the first byte of an answer and leaves it unread. After an error of the connection, such as a passed deadline, it may be
// called again.
func (r *Reader) Await() error {
	_, err := r.in.Peek(1)
	return err
}

// Read reads one answer. Its error is a *FormatError if the answer is malformed, otherwise an error of the connection.
func (r *Reader) Read() (Answer, error) {
	line, err := r.in.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			return Answer{}, malformed("line longer than %d bytes", maxLineBytes)
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
		return Answer{}, malformed("body of %d bytes without CR LF after it", length)
	}
	a.Body = body[:length]
	return a, nil
}

// unexpectedEOF replaces io.EOF, which means that the connection ended between two answers, by io.ErrUnexpectedEOF, which means that it
// ended within an answer.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseLine parses the first line of an answer. It returns the answer without its body, and the length of the body.
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
		return a, 0, malformed("line of %d words; allowed: 4", len(parts))
	}
	id, kind, fields, size := parts[0], parts[1], parts[2], parts[3]
	if a.Kind, ok = answerKinds[kind]; !ok {
		return a, 0, malformed("unknown answer kind %.20q", kind)
	}
	if !IsToken(id) {
		return a, 0, malformed("invalid id %.20q", id)
	}
	if a.ID = id; fields != "-" {
		if err := checkFields(fields); err != nil {
			return a, 0, err
		}
		a.fields = fields
	}
	length, err = strconv.Atoi(size)
	if err != nil || length < 0 || length > maxBodyBytes || size != strconv.Itoa(length) {
		return a, 0, malformed("body length %.20q; allowed: 0 to %d", size, maxBodyBytes)
	}
	return a, length, nil
}

// checkFields checks that the fields have the form name=value, are separated by commas, and no name occurs twice.
func checkFields(s string) error {
	seen := map[string]bool{}
	for field := range strings.SplitSeq(s, ",") {
		name, _, ok := strings.Cut(field, "=")
		if !ok || name == "" || seen[name] {
			return malformed("field %.40q: not name=value, or name used twice", field)
		}
		seen[name] = true
	}
	return nil
}
