package simulated

import (
	"strconv"
	"strings"
	"time"
)

// hints are a statement's cost and result size, as its first comment states them:
// /* work_ms=120 threads=1 rows=1000 row_bytes=0 memory_mb=0 fail=... */
type hints struct {
	work     time.Duration // CPU time, over all threads
	threads  float64       // the most that it can use at a time
	rows     int           // of the result
	rowBytes int           // payload of each row
	memoryMB float64       // that it needs
	fail     string        // error message to fail with; "": none
}

// parseHints reads the hints in a statement's first comment. Other words are ignored; hints that are missing have defaults.
func parseHints(statement string) hints {
	h := hints{work: time.Millisecond, threads: 1, rows: 1}
	_, rest, _ := strings.Cut(statement, "/*")
	body, _, _ := strings.Cut(rest, "*/")
	for _, word := range strings.Fields(body) {
		name, value, _ := strings.Cut(word, "=")
		x, _ := strconv.ParseFloat(value, 64) // 0 if the value is not a number
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

// isUpdate reports whether a statement changes data or tables, by its first word.
func isUpdate(statement string) bool {
	first, _, _ := strings.Cut(strings.TrimSpace(statement), " ")
	switch strings.ToUpper(first) {
	case "INSERT", "UPDATE", "DELETE", "CREATE", "DROP":
		return true
	}
	return false
}
