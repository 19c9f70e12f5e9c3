package postgres

import "sync/atomic"

// statementMemory bounds the memory that the statements of all sessions take together. It is safe for concurrent use.
type statementMemory struct {
	limitBytes int64
	usedBytes  atomic.Int64
}

// reserve takes n bytes; it returns false, and takes nothing, if fewer are free.
func (m *statementMemory) reserve(n int) bool {
	if m.usedBytes.Add(int64(n)) <= m.limitBytes {
		return true
	}
	m.release(n)
	return false
}

// isCrowded reports whether so much is taken that the rest is kept for sessions that hold no statement yet.
func (m *statementMemory) isCrowded() bool { return m.usedBytes.Load() > m.limitBytes/2 }

// release gives n bytes back.
func (m *statementMemory) release(n int) { m.usedBytes.Add(int64(-n)) }

// sessionAllotmentBytes is the memory that each session may use for its statements whatever the others hold: that of a usual statement.
const sessionAllotmentBytes = 4 << 10

// statementAccount is what one session holds of the memory for statements. It is not safe for concurrent use.
type statementAccount struct {
	memory   *statementMemory
	reserved int // beyond sessionAllotmentBytes
}

// grow makes the account hold n bytes in place of fewer. It returns false, and changes nothing, if there is no room.
func (a *statementAccount) grow(n int) bool {
	missing := n - sessionAllotmentBytes - a.reserved
	if missing <= 0 {
		return true
	}
	if !a.memory.reserve(missing) {
		return false
	}
	a.reserved += missing
	return true
}

// shrink gives back what the account holds beyond n bytes.
func (a *statementAccount) shrink(n int) {
	if surplus := a.reserved - max(0, n-sessionAllotmentBytes); surplus > 0 {
		a.memory.release(surplus)
		a.reserved -= surplus
	}
}

// reserveMessage takes the memory for the buffer of the message that the reader reads; it returns false if there is none.
func (s *session) reserveMessage(bytes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.account.grow(s.state.heldBytes() + bytes) {
		return false
	}
	s.readingBytes = bytes
	return true
}

// reserveCommand takes the memory of a command that was read and is to be queued; it returns false if there is no room. s.mu is held.
func (s *session) reserveCommand(c command) bool {
	held := s.state.heldBytes()
	switch {
	case c.droppedAs > 0 || !s.state.hasCapacity(c):
		return false
	case held > 0 && held+c.bytes() > sessionAllotmentBytes && s.account.memory.isCrowded():
		return false
	}
	return s.account.grow(held + c.bytes())
}

// endReading gives back what the message that was read took beyond its command; s.mu is held.
func (s *session) endReading() {
	s.readingBytes = 0
	s.releaseMemory()
}

// releaseMemory gives back the memory of commands that have been answered or dropped; s.mu is held.
func (s *session) releaseMemory() { s.account.shrink(s.state.heldBytes() + s.readingBytes) }
