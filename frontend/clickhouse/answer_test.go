package clickhouse

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"testing"

	"embershunt/internal/native"
)

// Packets of a query that was cancelled are not written into the answer to the next query.
func TestLatePacketsOfTheAnswerBefore(t *testing.T) {
	var written bytes.Buffer
	client, ours := net.Pipe()
	defer func() { _, _ = client.Close(), ours.Close() }()
	c := newConnection(&Front{}, ours)
	c.writer = bufio.NewWriter(&written)
	sink := func(id string) native.Sink {
		c.beginAnswer()
		return c.call(request{query: native.Query{ID: id, Text: "SELECT 1"}}).Work.(*native.Call).Sink
	}
	cancelled := sink("a")
	if err := cancelled.Pass([]byte("a"), false); err != nil {
		t.Fatal(err)
	}
	c.endAnswer()
	next := sink("b")
	if err := cancelled.Pass([]byte("late"), false); !errors.Is(err, errAnswerEnded) {
		t.Errorf("%v, want %v", err, errAnswerEnded)
	}
	if err := next.Pass([]byte("b"), false); err != nil {
		t.Error(err)
	}
	if written.String() != "ab" {
		t.Errorf("written %q, want %q", written.String(), "ab")
	}
}
