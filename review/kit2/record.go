// Package kit2 has what the cases of the second review share: a record, and stand-ins for clients, compute nodes, the name service and the
// platform, which starts dispatchers. They follow the protocol page. Every address is a loopback address.
package kit2

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Record is the record of one run. It is written to record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the record in the folder that the environment variable CASE names.
func NewRecord() *Record {
	f, err := os.Create(filepath.Join(os.Getenv("CASE"), "record.txt"))
	Must(err)
	r := &Record{file: f, out: bufio.NewWriter(f), start: time.Now()}
	r.Logf("TROUBLE=%s", os.Getenv("TROUBLE"))
	return r
}

// Since returns the time since the start of the run.
func (r *Record) Since() time.Duration { return time.Since(r.start) }

// Logf writes one line, with the time in milliseconds since the start of the run.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.1f ms  %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Finish writes the verdict, closes the record and returns the exit code: 1 if there are breaks, otherwise 0.
func (r *Record) Finish(breaks []string) int {
	for _, b := range breaks {
		r.Logf("BREAK %s", b)
	}
	r.Logf("breaks: %d", len(breaks))
	fmt.Printf("breaks: %d\n", len(breaks))
	for i, b := range breaks {
		if i == 3 {
			fmt.Println("...")
			break
		}
		fmt.Println(b)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
	if len(breaks) > 0 {
		return 1
	}
	return 0
}

// Trouble reports whether the run has the disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// started holds the dispatchers to stop when the run ends in any way.
var (
	startedMu sync.Mutex
	started   []*Dispatcher
)

// stopAll stops every dispatcher.
func stopAll() {
	startedMu.Lock()
	all := started
	startedMu.Unlock()
	for _, d := range all {
		d.Stop()
	}
}

// Must ends the run as one that could not be carried out if there is an error. It may be called by any goroutine.
func Must(err error) {
	if err != nil {
		stopAll()
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
}

// Main runs a case and exits with its code; 2 if the case could not run, took too long or was told to end.
func Main(run func() int) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		s := <-signals
		Must(fmt.Errorf("%v", s))
	}()
	time.AfterFunc(maxRun, func() { Must(errors.New("it took too long")) })
	code := run()
	stopAll()
	os.Exit(code)
}

// maxRun is the longest time that a case may take.
const maxRun = 110 * time.Second
