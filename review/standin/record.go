// Package standin holds small stand-ins for the platform around a dispatcher: clients, compute nodes and the name service. They follow the
// users' pages (PROTOCOL.md) and have no dependency outside the standard library.
package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, one event a line, with the seconds since its start.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// NewRecord creates the file. A case that still runs after longest ends as one that could not run.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	r := &Record{start: time.Now(), file: f, out: bufio.NewWriter(f)}
	time.AfterFunc(longest, func() {
		r.Verdict("cannot run: not done within %v", longest)
		r.Close()
		os.Exit(2)
	})
	return r, nil
}

// Now returns the time since the start.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f %s\n", r.Now().Seconds(), fmt.Sprintf(format, args...))
}

// Verdict writes a line to the file and to standard output.
func (r *Record) Verdict(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close flushes and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
