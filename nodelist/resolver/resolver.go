// Package resolver keeps the node list by asking the platform's name service over and over. It judges nothing but whether an
// answer can be used: numbers only ever go forward.
package resolver

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"embershunt/nodelist"
)

// Resolver asks one name service, which may move.
type Resolver struct {
	log    *slog.Logger
	names  nodelist.Names
	every  time.Duration
	told   func([]nodelist.Node)
	number int64
	ids    []uint16 // of the questions asked last

	asked map[uint16]time.Time // when each of ids was asked; the Run goroutine's own

	failures  atomic.Int64
	questions atomic.Int64
	answers   atomic.Int64
	sockets   atomic.Int64
	inForce   atomic.Int64
	heardAt   atomic.Int64 // when the last usable answer came, in nanoseconds since began
	began     time.Time

	inForceNodes []nodelist.Node // nil: those known at the start; the Run goroutine's own

	mu      sync.Mutex
	address string
	conn    net.Conn // nil: none is open
}

var errTooLong = errors.New("resolver: the answer is longer than an answer may be")

// unansweredMost is how many questions in a row may go without a usable answer before they are asked from another socket: one
// flow alone may have fallen silent.
const unansweredMost = 3

// idsKept is how many questions may be open: answers come late.
const idsKept = 8

// New returns a resolver that asks every so often and tells of each newer list; number is that of the list known.
func New(log *slog.Logger, address string, names nodelist.Names, number int64, every time.Duration, told func([]nodelist.Node)) *Resolver {
	r := &Resolver{log: log, address: address, names: names, number: number, every: every, told: told,
		asked: map[uint16]time.Time{}, began: time.Now()}
	r.inForce.Store(number)
	return r
}

// Stats are what a Resolver has seen since its start.
type Stats struct {
	Version   int64         // of the list in force
	Age       time.Duration // since the last usable answer, or the start
	Questions int64
	Answers   int64 // usable ones
	Unusable  int64 // answers that could not be used, and questions that could not be asked
	Sockets   int64 // opened
}

// Stats tells what has been seen so far; it may be called from any goroutine.
func (r *Resolver) Stats() Stats {
	return Stats{Version: r.inForce.Load(), Age: r.age(), Questions: r.questions.Load(), Answers: r.answers.Load(),
		Unusable: r.failures.Load(), Sockets: r.sockets.Load()}
}

func (r *Resolver) age() time.Duration { return time.Since(r.began) - time.Duration(r.heardAt.Load()) }

// Move has the resolver ask at another address from now on; numbers go on.
func (r *Resolver) Move(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.address != address {
		r.address = address
		if r.conn != nil {
			r.conn.Close()
		}
	}
}

// Failures counts the answers that could not be used, and questions that could not be asked.
func (r *Resolver) Failures() int64 { return r.failures.Load() }

// Run asks until ctx ends.
func (r *Resolver) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.conn != nil {
			r.conn.Close()
		}
	})
	defer stop()
	tick := time.NewTicker(r.every)
	defer tick.Stop()
	for ctx.Err() == nil {
		conn, err := r.open(ctx)
		if err != nil {
			r.failed(err)
			select {
			case <-ctx.Done():
			case <-tick.C:
			}
			continue
		}
		r.ask(ctx, conn)
		conn.Close()
	}
}

func (r *Resolver) open(ctx context.Context) (net.Conn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	var err error
	r.conn, err = net.Dial("udp", r.address)
	if err == nil {
		r.sockets.Add(1)
	}
	return r.conn, err
}

// ask asks on one socket until it is closed, or brings no answers.
func (r *Resolver) ask(ctx context.Context, conn net.Conn) {
	buf := make([]byte, nodelist.AnswerMost+1)
	for unanswered := 0; ctx.Err() == nil && unanswered < unansweredMost; unanswered++ {
		id := uint16(rand.Uint32())
		if r.ids = append(r.ids, id); len(r.ids) > idsKept {
			delete(r.asked, r.ids[0])
			r.ids = r.ids[1:]
		}
		r.asked[id] = time.Now()
		r.questions.Add(1)
		question, err := nodelist.Question(id)
		if err != nil {
			r.failed(err)
			return
		}
		if _, err := conn.Write(question); errors.Is(err, net.ErrClosed) {
			return
		}
		next := time.Now().Add(r.every)
		conn.SetReadDeadline(next)
		for {
			n, err := conn.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				if r.take(buf[:n]) {
					unanswered = -1
				}
				continue
			}
			if time.Now().Before(next) { // nobody listens there, for now
				r.failed(err)
				select {
				case <-ctx.Done():
				case <-time.After(time.Until(next)):
				}
			}
			break
		}
	}
	if ctx.Err() == nil {
		r.log.Warn("node list: no usable answer; asking from another socket", "age_ms", r.age().Milliseconds(),
			"version", r.number, "questions", r.questions.Load(), "unusable", r.failures.Load())
	}
}

// take takes an answer; false where it is of no use.
func (r *Resolver) take(msg []byte) bool {
	if len(msg) > nodelist.AnswerMost {
		r.failed(errTooLong)
		return false
	}
	list, err := nodelist.ParseAnswer(msg, func(id uint16) bool { return slices.Contains(r.ids, id) }, r.names)
	if err != nil {
		r.failed(err)
		return false
	}
	r.heard(msg)
	r.compare(list)
	if list.Number > r.number {
		r.inForceNodes = list.Nodes
		r.number = list.Number
		r.inForce.Store(list.Number)
		r.told(list.Nodes)
	}
	return true
}

// ageLogged is the age of a list from which on its end is logged.
const ageLogged = 2

// heard notes a usable answer.
func (r *Resolver) heard(msg []byte) {
	age := r.age()
	r.answers.Add(1)
	r.heardAt.Store(int64(time.Since(r.began)))
	if age > ageLogged*r.every {
		id := uint16(msg[0])<<8 | uint16(msg[1])
		r.log.Info("node list: answered again", "age_ms", age.Milliseconds(), "answer_ms", time.Since(r.asked[id]).Milliseconds())
	}
}

// compare logs an answer that is at odds with the list in force: a lower number, or other rows under the same number.
func (r *Resolver) compare(list nodelist.Numbered) {
	if list.Number < r.number {
		r.log.Warn("node list: an answer with a lower number", "number", list.Number, "version", r.number)
	}
	if changes := nodelist.Changes(r.inForceNodes, list.Nodes); list.Number == r.number && r.inForceNodes != nil && len(changes) > 0 {
		r.log.Warn("node list: other rows under the same number", "version", r.number, "changes", fmt.Sprint(changes))
	}
}

func (r *Resolver) failed(err error) {
	r.failures.Add(1)
	r.log.Debug("no use could be made of the name service", "error", err)
}
