package postgres

import "time"

// commandStatus tells how a command is answered when its turn comes.
type commandStatus uint8

const (
	notCancelled       commandStatus = iota // it is executed
	cancelledInQueue                        // its client cancelled it before its turn
	cancelledOnArrival                      // by a cancel that had found nothing pending
	rejectedQueueFull                       // too much was waiting on its session, or on all sessions, when it was read
)

// command is a query that was read completely and has no answer yet.
type command struct {
	text       string
	receivedAt time.Time // when its last byte was received
	status     commandStatus
	repeats    int // so many further commands with the same status follow it; not 0 only where the texts were dropped
	droppedAs  int // bytes that it and its repeats count as in commandQueue.rejectedBytes; not 0 only where the texts were dropped
}

// bytes returns the memory that a command takes.
func (c *command) bytes() int { return len(c.text) + commandOverheadBytes }

// commandOverheadBytes is the memory that a command takes besides its text.
const commandOverheadBytes = 128

// Bounds of the commands that wait on one session. What is read beyond the first bound is rejected when its turn comes, and its text is
// dropped at once. The reader goes on reading: an end of the connection that is behind unread bytes does not show.
const (
	maxQueuedBytes   = 256 << 10
	maxRejectedBytes = 4 << 20 // of commands that are to be rejected; see sessionState.overrun
	minRejectedBytes = 1 << 10 // a command counts as so many at least, since it takes time however short it is
)

// commandQueue holds the commands of one session that were received and not yet begun, in the order in which they came.
type commandQueue struct {
	commands      []command
	queuedBytes   int // memory of those with a text
	currentBytes  int // memory of the command that was removed last, and is being answered
	rejectedBytes int // of those that are rejected for lack of room
}

// hasCapacity reports whether a command may wait in the queue. An empty queue has room for any.
func (q *commandQueue) hasCapacity(c command) bool {
	return len(q.commands) == 0 || q.queuedBytes+c.bytes() <= maxQueuedBytes
}

// add appends a command. The text of one that is not to be executed is dropped, so that a client that sends without end takes no memory.
func (q *commandQueue) add(c command) {
	switch c.status {
	case notCancelled:
		q.queuedBytes += c.bytes()
		q.commands = append(q.commands, c)
		return
	case rejectedQueueFull:
		c.droppedAs = max(c.droppedAs, len(c.text), minRejectedBytes)
		q.rejectedBytes += c.droppedAs
	case cancelledInQueue, cancelledOnArrival:
		c.droppedAs = 0
	}
	c.text = ""
	if last := len(q.commands) - 1; last >= 0 && q.commands[last].status == c.status && c.status != cancelledOnArrival {
		q.commands[last].repeats++
		q.commands[last].droppedAs += c.droppedAs
		return
	}
	q.commands = append(q.commands, c)
}

// remove removes the oldest command; ok is false if the queue is empty.
func (q *commandQueue) remove() (c command, ok bool) {
	q.currentBytes = 0
	if len(q.commands) == 0 {
		return c, false
	}
	c = q.commands[0]
	if c.repeats > 0 {
		q.commands[0].repeats--
		return c, true
	}
	q.commands[0] = command{} // the array behind the slice must not keep its text
	q.commands = q.commands[1:]
	q.rejectedBytes -= c.droppedAs
	if c.status == notCancelled {
		q.queuedBytes -= c.bytes()
		q.currentBytes = c.bytes()
	}
	return c, true
}

// setStatus gives every command in the queue a status with which none is executed, and drops their texts.
func (q *commandQueue) setStatus(status commandStatus) {
	for i := range q.commands {
		q.commands[i].status, q.commands[i].text, q.commands[i].droppedAs = status, "", 0
	}
	q.queuedBytes, q.rejectedBytes = 0, 0
}

// clear removes all commands.
func (q *commandQueue) clear() { q.commands, q.queuedBytes, q.rejectedBytes = nil, 0, 0 }

// heldBytes returns the memory of the commands that wait or are being answered.
func (q *commandQueue) heldBytes() int { return q.queuedBytes + q.currentBytes }
