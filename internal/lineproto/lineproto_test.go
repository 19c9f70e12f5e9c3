package lineproto

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestRequests(t *testing.T) {
	q := Request{ID: "9b1f", Class: "load", Key: "k1", MemoryMB: 96, Priority: 2, TTLMillis: 1500, Text: "SELECT 'ü'\r\n"}
	want := "GET 9b1f lane=load,ttl=1500,dedupe=k1,pool=96,band=2 13\r\nSELECT 'ü'\r\n\r\n"
	if got := written(t, &q); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	plain := Request{ID: "a", Class: "lookup", Priority: -1, Text: "x"}
	if got := written(t, &plain); got != "GET a lane=lookup,ttl=1 1\r\nx\r\n" {
		t.Errorf("%q", got)
	}
	got := string(AppendPing(AppendClose(AppendPage(AppendSetPriority(AppendCancel(nil, "a"), "a", 3), "a", 1), "a"), "t"))
	if got != "DROP a\r\nRANK a 3\r\nPAGE a 1\r\nCLOSE a\r\nPING t\r\n" {
		t.Errorf("%q", got)
	}
}

// written returns what a request writes.
func written(t *testing.T, q *Request) string {
	t.Helper()
	var b bytes.Buffer
	n, err := q.WriteTo(&b)
	if err != nil || n != int64(b.Len()) {
		t.Errorf("%d bytes written, %d counted, %v", b.Len(), n, err)
	}
	return b.String()
}

// A long statement is written in pieces of a bounded size, and reports what was written before an error.
func TestLongRequestIsWrittenInPieces(t *testing.T) {
	for length := writeChunkBytes - 200; length < writeChunkBytes+50; length++ {
		q := Request{ID: "a", Class: "lookup", Priority: -1, Text: strings.Repeat("x", length)}
		want := fmt.Sprintf("GET a lane=lookup,ttl=1 %d\r\n%s\r\n", length, q.Text)
		if got := written(t, &q); got != want {
			t.Fatalf("%d bytes: %d written, want %d", length, len(got), len(want))
		}
	}
	q := Request{ID: "a", Class: "lookup", Priority: -1, Text: strings.Repeat("x", 64000)}
	w := &limitedWriter{remaining: 10_000}
	if n, err := q.WriteTo(w); n != 10_000 || !errors.Is(err, io.ErrShortWrite) || w.largest > writeChunkBytes+2 {
		t.Errorf("%d bytes counted of 10000, %v; the largest piece has %d", n, err, w.largest)
	}
}

// limitedWriter takes so many bytes and then fails.
type limitedWriter struct{ remaining, largest int }

func (w *limitedWriter) Write(b []byte) (int, error) {
	w.largest = max(w.largest, len(b))
	n := min(len(b), w.remaining)
	w.remaining -= n
	if n < len(b) {
		return n, io.ErrShortWrite
	}
	return n, nil
}

// An answer is read correctly when its bytes arrive one at a time.
func TestAnswersByteByByte(t *testing.T) {
	text := "a news why=p,datum=0.25 0\r\n\r\nb data total=2,rep=util:0.5;inflight:3 6\r\nx\ty\tz\n\r\n"
	r := NewReader(iotest.OneByteReader(strings.NewReader(text)))
	a, err := r.Read()
	if err != nil || a.ID != "a" || a.Kind != Progress || a.Field("datum") != "0.25" || a.Field("none") != "" {
		t.Fatalf("%+v, %v", a, err)
	}
	a, err = r.Read()
	if err != nil || a.Kind != Data || a.Field("rep") != "util:0.5;inflight:3" || string(a.Body) != "x\ty\tz\n" {
		t.Fatalf("%+v, %v", a, err)
	}
	if _, err = r.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("%v at the end", err)
	}
}

func TestMalformedAnswers(t *testing.T) {
	for _, text := range []string{"a data - 0\n\r\n", "a  data - 0\r\n\r\n", "a other - 0\r\n\r\n", "a data total 0\r\n\r\n",
		"a data x=1,x=2 0\r\n\r\n", "a data - 00\r\n\r\n", "a data - +1\r\nx\r\n", "a data - 6001\r\n", "a data - 1\r\nxy\r\n",
		"a\x00 data - 0\r\n\r\n", "a/b data - 0\r\n\r\n", "data - 0\r\n\r\n", strings.Repeat("a", 2000)} {
		_, err := NewReader(strings.NewReader(text)).Read()
		var form *FormatError
		if !errors.As(err, &form) {
			t.Errorf("%.30q: %v", text, err)
		}
	}
}

func FuzzRead(f *testing.F) {
	for _, s := range []string{"a data total=1 6\r\nx\ty\tz\n\r\n", "a page index=1 0\r\n\r\n", "a full - 0\r\n\r\n", "noise"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data))
		var result Result
		for {
			a, err := r.Read()
			if err != nil {
				return
			}
			if len(a.Body) > maxBodyBytes || !IsToken(a.ID) {
				t.Fatalf("%+v", a)
			}
			if a.Kind == Data || a.Kind == Page {
				if done, err := result.Add(&a); err == nil && done {
					result.Rows(func(c [][]byte) {
						if len(c) != columnCount {
							t.Fatalf("%q", c)
						}
					})
				}
			}
		}
	})
}
