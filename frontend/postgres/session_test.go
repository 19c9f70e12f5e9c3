package postgres

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"embershunt/dispatch"
	"embershunt/internal/lineproto"
)

// A query may follow the start-up message without waiting for its answer, and both may arrive in pieces. An empty query has its own answer.
func TestQueriesInPieces(t *testing.T) {
	s := startServer(t, Options{}, func(q *dispatch.Query) (dispatch.Outcome, bool) {
		if q.Payload.(*lineproto.Request).Text != "SELECT 'ü'" || q.TableGroup != 0 || q.Deadline <= 0 {
			return dispatch.Outcome{Kind: dispatch.Failed}, true
		}
		return servedRows(1), true
	})
	whole := append(append([]byte{}, startupMessage...), queryWithFields(1, "SELECT 'ü'")...)
	for cut := 1; cut < len(whole); cut++ {
		c := s.connect()
		send(c, whole[:cut])
		send(c, whole[cut:])
		if got := c.until('Z') + c.until('Z'); !strings.HasSuffix(got, "KZTDCZ") {
			t.Fatalf("cut at %d: %s", cut, got)
		}
		closeConn(t, c)
	}
	c := s.connect()
	send(c, []byte{0, 0, 0, 8, 4, 210, 22, 47})
	if b, _ := c.r.ReadByte(); b != 'N' {
		t.Errorf("encryption answered with %q", b)
	}
	send(c, startupMessage)
	c.until('Z')
	for _, empty := range []string{"", " ;\n"} {
		send(c, query(empty))
		if got := c.until('Z'); got != "IZ" {
			t.Errorf("the empty query %q answered with %s", empty, got)
		}
	}
	send(c, message('X', ""))
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("after Terminate: %v, want EOF", err)
	}
}

// A message that cannot be used is answered with an error whose code permits no retry, or with a close. It affects no other client.
func TestInvalidMessages(t *testing.T) {
	const begin = 200 * time.Millisecond
	s := startServer(t, Options{BeginTimeout: begin, MaxStatement: 4096}, func(q *dispatch.Query) (dispatch.Outcome, bool) {
		return servedRows(1), q.Payload.(*lineproto.Request).Text != "SELECT held"
	})
	usual := s.session()
	send(usual, queryWithFields(77, "SELECT held"))
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"noise":                      {[]byte("\x00\x01\x02\x03noise that is no start-up"), "E(08P01)."},
		"silence":                    {nil, "."},
		"a truncated start-up":       {startupMessage[:11], "E(08P01)."},
		"silence after the start-up": {startupMessage, "."},
		"a truncated query": {append(startupMessage[:len(startupMessage):len(startupMessage)],
			queryWithFields(1, "SELECT 1")[:30]...), "E(08P01)."},
		"no fields":                  {query("SELECT 1"), "E(22023)Z"},
		"an unknown class":           {query("/* route=x,trace=9b1f03aa5c7e2d41,patience=15 */ SELECT 1"), "E(22023)Z"},
		"no id":                      {query("/* route=lookup,patience=15 */ SELECT 1"), "E(22023)Z"},
		"an id that is in use":       {queryWithFields(77, "SELECT 2"), "E(55006)Z"},
		"too long a message":         {append([]byte{'Q', 3, 0x93, 0x87, 0}, make([]byte, 100000)...), "E(54000)."}, // 60 MB
		"a negative length":          {[]byte{'Q', 255, 255, 255, 240}, "E(08P01)."},
		"an unknown type":            {message('P', "x"), "E(0A000)."},
		"a statement without an end": {message('Q', "SELECT"), "E(08P01)."},
		"a truncated second message": {append(queryWithFields(4, "SELECT held"), 0), "E(08P01)."},
	} {
		t.Run(name, func(t *testing.T) {
			var cl *client
			if strings.HasSuffix(c.want, "Z") || strings.HasPrefix(c.want, "E(5400") || c.in != nil && (c.in[0] == 'Q' || c.in[0] == 'P') {
				cl = s.session()
			} else {
				cl = s.connect()
			}
			begun := time.Now()
			send(cl, c.in)
			got := cl.until('Z')
			if strings.HasPrefix(got, "R") {
				got = cl.until('Z')
			}
			if got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
			if took := time.Since(begun); took > 10*begin {
				t.Errorf("answered after %v", took)
			}
		})
	}
	s.dispatcher.mu.Lock()
	for _, q := range s.dispatcher.open {
		if q.Payload.(*lineproto.Request).ID == fmt.Sprintf("%016x", 77) {
			q.Client.Answer(servedRows(1))
		}
	}
	s.dispatcher.mu.Unlock()
	if got := usual.until('Z'); got != "TDCZ" {
		t.Errorf("the usual client got %s", got)
	}
}

// Clients that send many queries at once and disconnect without reading the answers affect no other client, and leave no session or id.
func TestFloodThatDisconnects(t *testing.T) {
	s := startServer(t, Options{MaxStatement: 4096}, func(*dispatch.Query) (dispatch.Outcome, bool) { return servedRows(1), true })
	usual := s.session()
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for j := range 25 {
				c, err := net.Dial("tcp", s.address)
				if err != nil {
					t.Error(err)
					return
				}
				send(c, startupMessage)
				for k := range 50 {
					send(c, queryWithFields(1000*i+50*j+k, strings.Repeat("SELECT 1 ", 100*(k%7))))
				}
				closeConn(t, c)
			}
		})
	}
	for i := range 100 {
		send(usual, queryWithFields(1<<20+i, "SELECT 1"))
		if got := usual.until('Z'); got != "TDCZ" {
			t.Fatalf("the usual client got %s", got)
		}
	}
	group.Wait()
	s.stop()
	if len(s.frontend.sessions)+len(s.frontend.traces) > 0 {
		t.Errorf("%d sessions and %d ids are left", len(s.frontend.sessions), len(s.frontend.traces))
	}
}

// Commands sent at once are answered completely and in order, however many there are, and only one is submitted at a time.
func TestCommandsSentAtOnce(t *testing.T) {
	var mu sync.Mutex
	concurrent, maxConcurrent, n := 0, 0, 0
	s := startServer(t, Options{}, func(q *dispatch.Query) (dispatch.Outcome, bool) {
		mu.Lock()
		defer mu.Unlock()
		concurrent, n = concurrent+1, n+1
		maxConcurrent = max(maxConcurrent, concurrent)
		rows := n
		go func() {
			mu.Lock()
			concurrent--
			mu.Unlock()
			q.Client.Answer(servedRows(rows))
		}()
		return dispatch.Outcome{}, false
	})
	c := s.connect()
	const many = 384
	all := append([]byte{}, startupMessage...)
	for i := range many {
		all = append(all, queryWithFields(i, "SELECT 1")...)
		if i == 5 {
			all = append(all, query("")...)
		}
	}
	go send(c, all)
	c.until('Z')
	for i := range many {
		if got := c.until('Z'); got != "T"+strings.Repeat("D", i+1)+"CZ" {
			t.Fatalf("answer %d is %s", i, got)
		}
		if i == 5 {
			if got := c.until('Z'); got != "IZ" {
				t.Fatalf("the empty query in between: %s", got)
			}
		}
	}
	if maxConcurrent != 1 {
		t.Errorf("%d queries submitted at once, want 1", maxConcurrent)
	}
}

// A client that sends invalid queries in a row waits longer for each answer.
func TestBadQueriesInARowAreSlowed(t *testing.T) {
	s := startServer(t, Options{}, nil)
	c := s.session()
	begun := time.Now()
	for range 5 {
		send(c, query("SELECT 1"))
		c.until('Z')
	}
	if took := time.Since(begun); took < 15*firstPause { // 1 + 2 + 4 + 8, before the fifth answer
		t.Errorf("five invalid queries answered in %v", took)
	}
}
