package lineproto

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestRequests(t *testing.T) {
	q := Request{ID: "9b1f", Class: "load", Key: "k1", MemoryMB: 96, Priority: 2, TTLMillis: 1500, Text: "SELECT 'ü'\r\n"}
	want := "GET 9b1f lane=load,ttl=1500,dedupe=k1,pool=96,band=2 13\r\nSELECT 'ü'\r\n\r\n"
	if got := string(q.Append(nil)); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	plain := Request{ID: "a", Class: "lookup", Priority: -1, Text: "x"}
	if got := string(plain.Append(nil)); got != "GET a lane=lookup,ttl=1 1\r\nx\r\n" {
		t.Errorf("%q", got)
	}
	got := string(AppendPing(AppendClose(AppendPage(AppendSetPriority(AppendCancel(nil, "a"), "a", 3), "a", 1), "a"), "t"))
	if got != "DROP a\r\nRANK a 3\r\nPAGE a 1\r\nCLOSE a\r\nPING t\r\n" {
		t.Errorf("%q", got)
	}
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
