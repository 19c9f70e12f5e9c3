package simulated

import (
	"strconv"
	"strings"
	"time"
)

// hints are what a statement's comment says of its cost: /* work_ms=120 threads=1 rows=1000 row_bytes=0 memory_mb=0 fail=... */
type hints struct {
	work     time.Duration
	threads  float64
	rows     int
	rowBytes int
	memoryMB float64
	fail     string
}

// parseHints reads a statement's comment; words that it does not know are ignored.
func parseHints(statement string) hints {
	h := hints{work: time.Millisecond, threads: 1, rows: 1}
	_, rest, _ := strings.Cut(statement, "/*")
	body, _, _ := strings.Cut(rest, "*/")
	for _, word := range strings.Fields(body) {
		name, value, _ := strings.Cut(word, "=")
		x, _ := strconv.ParseFloat(value, 64) // zero where the value is no number
		switch name {
		case "work_ms":
			h.work = time.Duration(x * float64(time.Millisecond))
		case "threads":
			h.threads = x
		case "rows":
			h.rows = int(x)
		case "row_bytes":
			h.rowBytes = int(x)
		case "memory_mb":
			h.memoryMB = x
		case "fail":
			h.fail = value
		}
	}
	return h
}

// isUpdate tells whether a statement changes data, by its first word.
func isUpdate(statement string) bool {
	first, _, _ := strings.Cut(strings.TrimSpace(statement), " ")
	switch strings.ToUpper(first) {
	case "INSERT", "UPDATE", "DELETE", "CREATE", "DROP":
		return true
	}
	return false
}
