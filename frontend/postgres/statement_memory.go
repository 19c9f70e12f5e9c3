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
