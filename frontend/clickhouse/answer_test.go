package clickhouse

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"testing"

	"embershunt/internal/native"
)

// Packets that arrive late for a cancelled query must not be written into the answer to the next query.
func TestLatePacketsOfCancelledQuery(t *testing.T) {
	var written bytes.Buffer
	client, server := net.Pipe()
	defer func() { _, _ = client.Close(), server.Close() }()
	c := newConnection(&Frontend{}, server)
	c.writer = bufio.NewWriter(&written)
	sink := func(id string) native.Sink {
		c.beginAnswer()
		return c.newCall(request{query: native.Query{ID: id, Text: "SELECT 1"}}).Payload.(*native.Call).Sink
	}
	cancelled := sink("a")
	if err := cancelled.Forward([]byte("a"), false); err != nil {
		t.Fatal(err)
	}
	c.endAnswer()
	next := sink("b")
	if err := cancelled.Forward([]byte("late"), false); !errors.Is(err, errAnswerEnded) {
		t.Errorf("%v, want %v", err, errAnswerEnded)
	}
	if err := next.Forward([]byte("b"), false); err != nil {
		t.Error(err)
	}
	if written.String() != "ab" {
		t.Errorf("written %q, want %q", written.String(), "ab")
	}
}
