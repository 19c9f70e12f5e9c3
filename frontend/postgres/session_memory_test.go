package postgres

import (
	"net"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"embershunt/dispatch"
	"embershunt/internal/lineproto"
)

// sendBehindFullSocket sends a command and waits until it is open. Then it sends further ones at once, and closes the connection, with a
// receive buffer at the frontend that has room for a part of them only.
func sendBehindFullSocket(t *testing.T, s *testServer, further int) {
	t.Helper()
	c := s.session()
	statement := "SELECT '" + strings.Repeat("x", 1000) + "'"
	send(c, queryWithFields(0, statement))
	s.waitForOpen(1)
	var messages []byte
	for i := range further {
		messages = append(messages, queryWithFields(i+1, statement)...)
	}
	if _, err := c.Write(messages); err != nil {
		t.Fatal(err)
	}
	closeConn(t, c)
}

// smallBufferListener is a listener whose connections receive some 64 KiB at most before they are read.
type smallBufferListener struct{ *net.TCPListener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return conn, conn.SetReadBuffer(32 << 10)
}

// Guards against attempts for a client that has closed its connection after more commands than the socket's buffer has room for: the end of
// the connection does not show before all of them are read, and the reader waited for room. The answer to the first command never comes,
// so that nothing else can tell.
func TestCloseBehindAFullSocket(t *testing.T) {
	for name, further := range map[string]int{"commands that are queued": 200, "more than the queue has room for": 1000} {
		t.Run(name, func(t *testing.T) {
			s := startServerOn(t, Options{}, nil, func(l *net.TCPListener) Listener { return smallBufferListener{l} })
			sendBehindFullSocket(t, s, further)
			s.expectDisconnected("0000000000000000")
			s.expectNoneSubmitted()
		})
	}
}

// Commands for which there is no room are rejected in their turn, with advice when to try again. Those before them are executed, and so is
// one that comes after them when there is room again.
func TestCommandsWithoutRoomAreRejectedInTurn(t *testing.T) {
	s := startServer(t, Options{MaxHeldBytes: 1}, func(q *dispatch.Query) (dispatch.Outcome, bool) {
		return servedRows(1), q.Payload.(*lineproto.Request).ID != heldTrace
	})
	c := s.session()
	statement := "SELECT '" + strings.Repeat("x", sessionAllotmentBytes/3) + "'"
	for i := range 6 { // the first is open, and one more fits into the session's allotment
		send(c, queryWithFields(i, statement))
	}
	s.waitForOpen(1)
	s.awaitSession(func(state *sessionState) bool { return len(state.commands) == 2 && state.commands[1].repeats == 3 })
	s.answerOpen()
	want := []string{"TDCZ", "TDCZ", "E(53000)(pause 100)Z", "E(53000)(pause 100)Z", "E(53000)(pause 100)Z", "E(53000)(pause 100)Z"}
	for i := range want {
		if got := c.until('Z'); got != want[i] {
			t.Errorf("command %d got %s, want %s", i, got, want[i])
		}
	}
	send(c, queryWithFields(6, statement))
	if got := c.until('Z'); got != "TDCZ" {
		t.Errorf("a command after the others got %s", got)
	}
	closeConn(t, c)
	s.stop()
	if used := s.frontend.statementMemory.usedBytes.Load(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}

// Guards against memory that depends on the number of sessions alone: statements of bad clients took more than the limit of the process.
// At any time the statements of all sessions keep to their bound. One without room is rejected at once, a usual one always has
// room, and what ends makes room again.
func TestLargeStatementsOfManySessions(t *testing.T) {
	const statementBytes, sessions, fitting = 60000, 20, 4
	s := startServer(t, Options{MaxHeldBytes: fitting * statementBytes}, nil)
	statement := "SELECT '" + strings.Repeat("x", statementBytes) + "'"
	var holders []*client
	for i := range sessions {
		c := s.session()
		send(c, queryWithFields(i, statement))
		if len(holders) < fitting {
			holders = append(holders, c)
			s.waitForOpen(len(holders))
			continue
		}
		if got := c.until('Z'); got != "E(53000)(pause 100)Z" {
			t.Fatalf("client %d got %s", i, got)
		}
		if used := s.frontend.statementMemory.usedBytes.Load(); used > fitting*statementBytes {
			t.Fatalf("%d bytes in use", used)
		}
	}
	usual := s.session()
	send(usual, queryWithFields(sessions, "SELECT 1"))
	s.waitForOpen(fitting + 1)
	s.answerOpen()
	for i, c := range append(holders, usual) {
		if got := c.until('Z'); got != "TDCZ" {
			t.Errorf("client %d got %s", i, got)
		}
	}
	s.awaitNothingReserved()
	send(usual, queryWithFields(sessions+1, statement))
	s.waitForOpen(1)
	s.answerOpen()
}

// Statements that are received in part count as well, and no longer once they are rejected or their client has gone.
func TestLargeStatementsReceivedInPart(t *testing.T) {
	const statementBytes, fitting = 60000, 2
	s := startServer(t, Options{MaxHeldBytes: fitting * statementBytes}, nil)
	message := queryWithFields(1, "SELECT '"+strings.Repeat("x", statementBytes)+"'")
	cut := len(message) - 10
	var holders []*client
	for range fitting {
		c := s.session()
		send(c, message[:cut])
		holders = append(holders, c)
		s.awaitReserved(int64(len(holders) * (statementBytes - sessionAllotmentBytes)))
	}
	third := s.session()
	send(third, message[:cut])
	send(third, message[cut:])
	if got := third.until('Z'); got != "E(53000)(pause 100)Z" {
		t.Errorf("a statement without room got %s", got)
	}
	closeConn(t, holders[0])
	s.awaitReserved(statementBytes - sessionAllotmentBytes)
	send(holders[1], message[cut:])
	s.waitForOpen(1)
	s.answerOpen()
	if got := holders[1].until('Z'); got != "TDCZ" {
		t.Errorf("a statement that had room got %s", got)
	}
	s.awaitNothingReserved()
}

// Commands that wait behind others of their session leave half of the memory to sessions that hold none.
func TestWaitingCommandsLeaveRoomForOthers(t *testing.T) {
	const statementBytes = 20000
	s := startServer(t, Options{MaxHeldBytes: 10 * statementBytes}, nil)
	statement := "SELECT '" + strings.Repeat("x", statementBytes) + "'"
	greedy := s.session()
	for i := range 10 {
		send(greedy, queryWithFields(i, statement))
	}
	s.awaitSession(func(state *sessionState) bool { return state.rejectedBytes > 0 })
	other := s.session()
	send(other, queryWithFields(10, statement))
	s.waitForOpen(2)
	s.dispatcher.stop()
}

// awaitReserved waits until sessions hold at least so many bytes, and less than one usual statement more.
func (s *testServer) awaitReserved(atLeast int64) {
	s.t.Helper()
	var used int64
	for range 5000 {
		if used = s.frontend.statementMemory.usedBytes.Load(); used >= atLeast && used < atLeast+sessionAllotmentBytes {
			return
		}
		time.Sleep(time.Millisecond)
	}
	s.t.Fatalf("%d bytes are reserved, want %d", used, atLeast)
}

// awaitNothingReserved waits until no session holds memory.
func (s *testServer) awaitNothingReserved() {
	s.t.Helper()
	for range 5000 {
		if s.frontend.statementMemory.usedBytes.Load() == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	s.t.Fatalf("%d bytes are still reserved", s.frontend.statementMemory.usedBytes.Load())
}

// heldTrace is the id of the query that a test keeps open.
const heldTrace = "0000000000000000"

// answerOpen answers the open queries.
func (s *testServer) answerOpen() {
	s.dispatcher.mu.Lock()
	defer s.dispatcher.mu.Unlock()
	for id, q := range s.dispatcher.open {
		delete(s.dispatcher.open, id)
		q.Client.Answer(servedRows(1))
	}
}

// A client that sends far more than there is room for, without waiting for answers, has one answer for each command. Its query in progress
// is cancelled, since the reader stops and would not see its end any more. Later commands are executed again.
func TestOverrunSessionAnswersEachCommand(t *testing.T) {
	s := startServer(t, Options{}, func(q *dispatch.Query) (dispatch.Outcome, bool) {
		return servedRows(1), q.Payload.(*lineproto.Request).ID != heldTrace
	})
	c := s.session()
	statement := "SELECT '" + strings.Repeat("x", 60000) + "'"
	send(c, queryWithFields(0, statement))
	s.waitForOpen(1)
	const further = 2 * maxRejectedBytes / 60000
	go func() {
		for i := range further {
			send(c, queryWithFields(i+1, statement))
		}
	}()
	s.expectDisconnected(heldTrace)
	if got := c.until('Z'); got != "E(57014)Z" {
		t.Errorf("the query in progress got %s", got)
	}
	rejected := 0
	for i := range further {
		switch got := c.until('Z'); got {
		case "E(53000)(pause 100)Z":
			rejected++
		case "TDCZ":
		default:
			t.Fatalf("command %d got %s", i+1, got)
		}
	}
	if rejected*60000 < maxRejectedBytes {
		t.Errorf("only %d rejected", rejected)
	}
	send(c, queryWithFields(further+1, statement))
	if got := c.until('Z'); got != "TDCZ" {
		t.Errorf("a command after the overrun got %s", got)
	}
}

// The memory that a queue counts is that of the commands that it holds, whatever is added, removed, cancelled and rejected, and it gives
// back each command once, in order.
func TestCommandQueueCountsItsMemory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var q commandQueue
		var want []commandStatus
		received := time.Now()
		for _, op := range rapid.SliceOf(rapid.SampledFrom([]string{"add", "add", "reject", "reject", "cancel", "remove"})).Draw(rt, "ops") {
			switch op {
			case "add":
				q.add(command{text: strings.Repeat("x", rapid.IntRange(0, 3000).Draw(rt, "length")), receivedAt: received})
				want = append(want, notCancelled)
			case "reject":
				q.add(command{text: "SELECT 1", status: rejectedQueueFull, receivedAt: received})
				want = append(want, rejectedQueueFull)
			case "cancel":
				q.setStatus(cancelledInQueue)
				for i := range want {
					want[i] = cancelledInQueue
				}
			case "remove":
				c, ok := q.remove()
				if ok != (len(want) > 0) || ok && c.status != want[0] {
					rt.Fatalf("%+v, %v; want the first of %v", c, ok, want)
				}
				if ok {
					want = want[1:]
				}
			}
			checkQueueBytes(rt, &q)
		}
	})
}

// Guards against a queue that keeps the texts of commands which it has given back, in the array behind its slice.
func TestQueueKeepsNoRemovedCommand(t *testing.T) {
	var q commandQueue
	for range 3 {
		q.add(command{text: "SELECT 1"})
	}
	kept := q.commands
	for i := range kept {
		if q.remove(); kept[i].text != "" {
			t.Errorf("command %d is kept after its removal", i)
		}
	}
}

// checkQueueBytes checks what a queue counts against what it holds.
func checkQueueBytes(rt *rapid.T, q *commandQueue) {
	queued, rejected := 0, 0
	for _, c := range q.commands {
		if c.status == notCancelled {
			queued += c.bytes()
		} else if c.text != "" {
			rt.Fatalf("the text of a command with status %d is kept", c.status)
		}
		rejected += c.droppedAs
	}
	if q.queuedBytes != queued || q.rejectedBytes != rejected {
		rt.Fatalf("%d and %d bytes counted; held: %d and %d", q.queuedBytes, q.rejectedBytes, queued, rejected)
	}
}
