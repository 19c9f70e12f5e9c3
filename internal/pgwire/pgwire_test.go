package pgwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

// startup returns a start-up message of version 3.0 with parameters in their encoded form.
func startup(params string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(8+len(params)))
	return append(binary.BigEndian.AppendUint32(b, Version), params...)
}

func TestStart(t *testing.T) {
	cancel := []byte{0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 5, 0, 0, 0, 9}
	tls := []byte{0, 0, 0, 8, 4, 210, 22, 47}
	for name, c := range map[string]struct {
		in   []byte
		kind StartKind
		bad  bool
	}{
		"a session":                   {startup("user\x00app\x00database\x00dw\x00\x00"), StartSession, false},
		"a cancel":                    {cancel, StartCancel, false},
		"encryption":                  {tls, StartTLS, false},
		"a negative length":           {[]byte{255, 255, 255, 255, 0, 3, 0, 0}, 0, true},
		"a huge length":               {[]byte{0x7f, 255, 255, 255, 0, 3, 0, 0}, 0, true},
		"a length too short":          {[]byte{0, 0, 0, 4, 0, 3, 0, 0}, 0, true},
		"another version":             {[]byte{0, 0, 0, 8, 0, 2, 0, 0}, 0, true},
		"another protocol":            {[]byte("GET / HTTP/1.1\r\n\r\n"), 0, true},
		"parameters without end":      {startup("user\x00app\x00"), 0, true},
		"a parameter without a value": {startup("user\x00\x00"), 0, true},
		"bytes after the parameters":  {startup("user\x00app\x00\x00x"), 0, true},
		"a cancel of another length":  {append([]byte{0, 0, 0, 12}, cancel[4:12]...), 0, true},
	} {
		s, err := ReadStart(bufio.NewReader(iotest.OneByteReader(bytes.NewReader(c.in))))
		var form *FormatError
		if c.bad != errors.As(err, &form) || !c.bad && (err != nil || s.Kind != c.kind) {
			t.Errorf("%s: %+v, %v", name, s, err)
		}
		if name == "a cancel" && s.Key != (Key{5, 9}) {
			t.Errorf("key %+v", s.Key)
		}
	}
}

func TestMessages(t *testing.T) {
	query := append([]byte{'Q', 0, 0, 0, 13}, "SELECT 1\x00"...)
	long := append([]byte{'Q', 0, 0, 0x10, 4}, bytes.Repeat([]byte{'x'}, 4096)...)
	for name, c := range map[string]struct {
		in   []byte
		want string
		err  error // nil with no want: a FormatError
	}{
		"a query":           {query, "SELECT 1\x00", nil},
		"an empty body":     {[]byte{'X', 0, 0, 0, 4}, "", nil},
		"the longest body":  {long, string(long[5:]), nil},
		"too long a body":   {[]byte{'Q', 3, 0x93, 0x87, 0}, "", ErrTooLong}, // 60 MB
		"a negative length": {[]byte{'Q', 255, 255, 255, 240}, "", &FormatError{}},
		"a length under 4":  {[]byte{'Q', 0, 0, 0, 3}, "", &FormatError{}},
		"a truncated body":  {query[:9], "", io.ErrUnexpectedEOF},
	} {
		_, body, err := ReadMessage(bufio.NewReader(iotest.HalfReader(bytes.NewReader(c.in))), nil, 4096)
		var form *FormatError
		switch {
		case c.err == nil:
			if err != nil || string(body) != c.want {
				t.Errorf("%s: %q, %v", name, body, err)
			}
		case !errors.Is(err, c.err) && !errors.As(err, &form):
			t.Errorf("%s: %v, want %v", name, err, c.err)
		}
	}
	for in, ok := range map[string]bool{"a\x00": true, "\x00": true, "a": false, "a\x00b\x00": false, "": false} {
		if s, err := Statement([]byte(in)); (err == nil) != ok || ok && s != in[:len(in)-1] {
			t.Errorf("statement %q: %q, %v", in, s, err)
		}
	}
}

// A client that announces a long message and sends little of it does not make the dispatcher allocate the announced length.
func TestAnnouncedLengthAllocatesNothing(t *testing.T) {
	in := append([]byte{'Q', 0x03, 0, 0, 0}, "only this"...) // 48 MB announced
	_, body, err := ReadMessage(bufio.NewReader(bytes.NewReader(in)), nil, 60<<20)
	if !errors.Is(err, io.ErrUnexpectedEOF) || cap(body) > 2*readChunkBytes {
		t.Errorf("%d bytes allocated, %v", cap(body), err)
	}
}

// A message for which there is no memory is read to its end, so that the next one can be read. Before that no more is reserved than for the
// part that has arrived and the rest of the announced length.
func TestMessageWithoutMemory(t *testing.T) {
	long := append([]byte{'Q', 0, 0, 0x27, 0x14}, bytes.Repeat([]byte{'x'}, 10000)...)
	r := bufio.NewReader(bytes.NewReader(append(long, 'Q', 0, 0, 0, 6, 'a', 0)))
	var reserved []int
	kind, body, err := ReadMessageReserved(r, nil, 20000, func(n int) bool {
		reserved = append(reserved, n)
		return n <= readChunkBytes
	})
	var noMemory *NoMemoryError
	if kind != Query || body != nil || !errors.As(err, &noMemory) || noMemory.BodyBytes != 10000 {
		t.Errorf("%c, %d bytes, %v", kind, len(body), err)
	}
	if !slices.Equal(reserved, []int{readChunkBytes, 10000}) {
		t.Errorf("reserved %v", reserved)
	}
	if kind, body, err := ReadMessage(r, nil, 20000); kind != Query || string(body) != "a\x00" || err != nil {
		t.Errorf("the next message: %c %q, %v", kind, body, err)
	}
}

// SkipMessage reads exactly one message, and fails as ReadMessage does.
func TestSkipMessage(t *testing.T) {
	r := bufio.NewReader(bytes.NewReader([]byte{'Q', 0, 0, 0, 6, 'a', 0, 'X', 0, 0, 0, 4, 'Q', 0, 0, 0, 9, 'a'}))
	for _, want := range []byte{Query, Terminate} {
		if kind, err := SkipMessage(r, 100); kind != want || err != nil {
			t.Errorf("%c, %v; want %c", kind, err, want)
		}
	}
	if _, err := SkipMessage(r, 100); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a truncated message: %v", err)
	}
	if _, err := SkipMessage(bufio.NewReader(bytes.NewReader([]byte{'Q', 0, 0, 1, 0})), 100); !errors.Is(err, ErrTooLong) {
		t.Errorf("too long a message: %v", err)
	}
}

// ReadMessage reads each message that the Append functions write: the lengths are right, and rows and errors have the protocol's form.
func TestWrittenMessages(t *testing.T) {
	b := AppendStartupResponse(nil, Key{7, 8})
	b = AppendColumns(b, "a", "b", "c")
	b = AppendRow(b, []byte("1"), nil, []byte("ü"))
	b = AppendReady(AppendEmpty(AppendComplete(b, "SELECT 1")))
	b = AppendError(b, Error, "53000", "busy")
	r, kinds := bufio.NewReader(bytes.NewReader(b)), ""
	for {
		kind, body, err := ReadMessage(r, nil, 1000)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		kinds += string(kind)
		if kind == 'D' && !bytes.Equal(body, []byte{0, 3, 0, 0, 0, 1, '1', 0, 0, 0, 0, 0, 0, 0, 2, 0xc3, 0xbc}) {
			t.Errorf("row %v", body)
		}
		if kind == 'E' && string(body) != "SERROR\x00VERROR\x00C53000\x00Mbusy\x00\x00" {
			t.Errorf("error %q", body)
		}
	}
	if !strings.HasPrefix(kinds, "RSS") || !strings.HasSuffix(kinds, "KZTDCIZE") {
		t.Errorf("messages %s", kinds)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(append(startup("user\x00app\x00\x00"), 'Q', 0, 0, 0, 6, 'x', 0))
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		if _, err := ReadStart(r); err != nil {
			return
		}
		for {
			_, body, err := ReadMessage(r, nil, 1000)
			if len(body) > 1000 {
				t.Fatalf("%d bytes", len(body))
			}
			if err != nil {
				return
			}
			_, _ = Statement(body) // must not panic, whatever the body
		}
	})
}
