// Package resolver keeps the node list by asking the platform's name service over and over. It judges nothing but whether an
// answer can be used: numbers only ever go forward.
package resolver

import (
	"context"
	"errors"
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

	failures atomic.Int64

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
	return &Resolver{log: log, address: address, names: names, number: number, every: every, told: told}
}

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
	return r.conn, err
}

// ask asks on one socket until it is closed, or brings no answers.
func (r *Resolver) ask(ctx context.Context, conn net.Conn) {
	buf := make([]byte, nodelist.AnswerMost+1)
	for unanswered := 0; ctx.Err() == nil && unanswered < unansweredMost; unanswered++ {
		id := uint16(rand.Uint32())
		if r.ids = append(r.ids, id); len(r.ids) > idsKept {
			r.ids = r.ids[1:]
		}
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
	if list.Number > r.number {
		r.number = list.Number
		r.told(list.Nodes)
	}
	return true
}

func (r *Resolver) failed(err error) {
	r.failures.Add(1)
	r.log.Debug("no use could be made of the name service", "error", err)
}
