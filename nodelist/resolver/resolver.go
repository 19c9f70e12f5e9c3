// Package resolver keeps the node list by asking the platform's name service over and over. What is in force is member.View's decision.
//
// No answer is thrown away because it is late: a question stays open for long, and a socket that is given up for asking is still read from.
// Questions alternate between two sockets, so that a flow which has fallen silent costs one of two answers until it is replaced. A socket is
// closed only after its replacement has been opened.
package resolver

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"embershunt/membership"
	"embershunt/nodelist"
)

// Options are a resolver's settings.
type Options struct {
	Log         *slog.Logger
	Address     string // of the name service
	Names       nodelist.Names
	Initial     nodelist.Numbered     // the list that is known at the start
	Interval    time.Duration         // between two questions
	Apply       func([]nodelist.Node) // puts a list in force; called by the goroutine of Run
	MinInterval time.Duration         // least time between two questions; 0: quickInterval
}

// Bounds of asking.
const (
	quickInterval   = 40 * time.Millisecond // least time between two questions
	extraMost       = 6.0                   // questions beyond one an interval that may be saved up
	extraPerAsk     = 0.5                   // of them for each regular question
	questionLife    = 10 * time.Second      // an answer may take so long
	questionsMost   = 512                   // open at once
	activeSockets   = 2                     // asked in turn
	retiredSockets  = 3                     // read from, not asked
	retiredLife     = questionLife
	silentQuestions = 3               // questions in a row without an answer that make a socket silent ...
	silentIntervals = 3               // ... if they have been open for so many intervals, longer each time
	silentMost      = 5 * time.Second // and at most this long
	silentAnswers   = 2               // or for so many times as answers take
	answerWeight    = 0.25            // of a slower answer in the time that they are expected to take
	readPause       = 10 * time.Millisecond
)

// Resolver asks one name service, which may move.
type Resolver struct {
	options Options
	log     *slog.Logger
	packets chan packet
	moved   chan struct{} // holds one token when the address has changed
	began   time.Time

	mu      sync.Mutex
	address string

	stats counters

	// The goroutine of Run alone uses what follows.
	view      *membership.View
	active    []*socket
	retired   []*socket
	questions map[uint16]question
	serial    uint64        // of the question asked last
	newest    uint64        // of the newest question that has an answer
	next      int           // place among active of the socket that is asked next
	answerIn  time.Duration // how long answers take, see expected; 0: none has come
	extra     float64       // questions beyond one an interval that may be asked now
	regularAt time.Time     // of the next regular question
	askedAt   time.Time     // of the last one
	unsure    bool          // another answer is needed to decide
	waiting   bool          // the question asked last has no answer
	backoff   int           // sockets replaced since the last answer
	silent    bool          // an end of answers has been logged
	readers   errgroup.Group
}

// question is one that is open.
type question struct {
	serial uint64
	at     time.Time
}

// packet is what a socket has brought.
type packet struct {
	socket  *socket
	message []byte
	err     error
}

var errTooLong = errors.New("resolver: the answer is longer than an answer may be")

// New returns a resolver; nothing is asked before Run.
func New(o Options) *Resolver {
	if o.MinInterval == 0 {
		o.MinInterval = min(quickInterval, o.Interval)
	}
	r := &Resolver{options: o, log: o.Log, address: o.Address, packets: make(chan packet), moved: make(chan struct{}, 1),
		began: time.Now(), view: membership.New(o.Initial), questions: map[uint16]question{}, extra: extraMost}
	r.stats.version.Store(o.Initial.Number)
	return r
}

// Move has the resolver ask at another address from now on; numbers go on.
func (r *Resolver) Move(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.address == address {
		return
	}
	r.address = address
	select {
	case r.moved <- struct{}{}:
	default:
	}
}

func (r *Resolver) target() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address
}

// Run asks until ctx ends.
func (r *Resolver) Run(ctx context.Context) {
	defer r.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.moved:
			r.replaceAll(ctx)
			r.ask(ctx)
		case p := <-r.packets:
			r.receive(p)
		case <-timer.C:
			r.ask(ctx)
		}
		timer.Reset(time.Until(r.nextAt()))
	}
}

// nextAt is when the next question is due: a regular one, or an extra one where an answer is wanted soon.
func (r *Resolver) nextAt() time.Time {
	at := r.regularAt
	if r.extra < 1 {
		return at
	}
	wait := time.Duration(-1)
	switch {
	case r.unsure && !r.waiting:
		wait = r.options.MinInterval
	case r.waiting:
		wait = max(r.options.MinInterval, 2*r.answerIn)
	}
	if soon := r.askedAt.Add(wait); wait >= 0 && soon.Before(at) {
		return soon
	}
	return at
}

// ask asks one question, on the socket whose turn it is.
func (r *Resolver) ask(ctx context.Context) {
	now := time.Now()
	if now.Before(r.regularAt) {
		r.extra--
	} else {
		r.extra = min(extraMost, r.extra+extraPerAsk)
		r.regularAt = now.Add(r.options.Interval)
	}
	r.askedAt = now
	r.tend(ctx, now)
	if len(r.active) == 0 {
		return
	}
	r.next = (r.next + 1) % len(r.active)
	s := r.active[r.next]
	id := r.newQuestion(now)
	message, err := nodelist.Query(id)
	if err == nil {
		_, err = s.conn.Write(message)
	}
	if err != nil {
		delete(r.questions, id)
		r.failed("a question could not be asked", err)
		return
	}
	r.stats.questions.Add(1)
	r.waiting = true
	s.asked(r.serial, now)
}

// receive takes what a socket has brought.
func (r *Resolver) receive(p packet) {
	if p.err != nil { // such as: nobody listens there
		r.failed("the name service is not there", p.err)
		return
	}
	q, list, err := r.parse(p.message)
	if err != nil {
		r.failed("an answer cannot be used", err)
		return
	}
	now := time.Now()
	r.heard(now, q, p.socket)
	for _, row := range list.Skipped {
		r.failed("a row cannot be used", row.Err)
	}
	r.observe(q, list)
}

// parse reads an answer to a question that is open.
func (r *Resolver) parse(message []byte) (question, nodelist.Numbered, error) {
	if len(message) > nodelist.MaxResponseBytes {
		return question{}, nodelist.Numbered{}, errTooLong
	}
	var q question
	list, err := nodelist.ParseResponse(message, func(id uint16) (open bool) { q, open = r.questions[id]; return open }, r.options.Names)
	return q, list, err
}

// heard notes that a usable answer has come.
func (r *Resolver) heard(now time.Time, q question, s *socket) {
	took, age := now.Sub(q.at), r.age()
	s.heard(q.serial)
	if q.serial > r.newest { // one that was overtaken says nothing of how things are now
		r.newest, r.answerIn = q.serial, expected(r.answerIn, took)
	}
	if q.serial == r.serial {
		r.waiting = false
	}
	r.backoff = 0
	r.stats.answers.Add(1)
	r.stats.heardAt.Store(int64(now.Sub(r.began)))
	r.stats.answerIn.Store(int64(r.answerIn))
	if r.silent {
		r.silent = false
		r.log.Info("node list: answered again", "age_ms", age.Milliseconds(), "answer_ms", took.Milliseconds())
	}
}

// expected is how long answers take, after one more. It falls at once: what is expected to take long is missed late.
func expected(before, took time.Duration) time.Duration {
	if before == 0 || took < before {
		return took
	}
	return before + time.Duration(answerWeight*float64(took-before))
}

// observe lets the view decide what a list changes.
func (r *Resolver) observe(q question, list nodelist.Numbered) {
	before := r.view.Number()
	if list.Number < before {
		r.stats.lower.Add(1)
	}
	u := r.view.Observe(membership.Answer{Question: q.serial, Numbered: list})
	r.unsure = u.Unsure
	if u.Reverted {
		r.stats.reverted.Add(1)
		r.log.Warn("node list: its number was wrong and goes back", "from", before, "to", r.view.Number())
	}
	r.stats.version.Store(r.view.Number())
	if u.Changed {
		r.options.Apply(r.view.Nodes())
	}
}

func (r *Resolver) failed(what string, err error) {
	r.stats.unusable.Add(1)
	r.log.Debug("node list: "+what, "error", err)
}

// counters are a resolver's figures, read by other goroutines.
type counters struct {
	version, questions, answers, unusable, lower, reverted, sockets atomic.Int64
	heardAt                                                         atomic.Int64 // when the last usable answer came, in nanoseconds since the start
	answerIn                                                        atomic.Int64 // nanoseconds
}

// Stats are what a Resolver has seen since its start.
type Stats struct {
	Version   int64         // of the list in force
	Age       time.Duration // since the last usable answer, or the start
	AnswerIn  time.Duration // that answers take
	Questions int64
	Answers   int64 // usable ones
	Unusable  int64 // answers and rows that could not be used, and questions that could not be asked
	Lower     int64 // answers under a lower number than the one in force
	Reverted  int64 // times that the number in force was found to be wrong
	Sockets   int64 // opened
}

// Stats tells what has been seen so far; it may be called from any goroutine.
func (r *Resolver) Stats() Stats {
	c := &r.stats
	return Stats{Version: c.version.Load(), Age: r.age(), AnswerIn: time.Duration(c.answerIn.Load()), Questions: c.questions.Load(),
		Answers: c.answers.Load(), Unusable: c.unusable.Load(), Lower: c.lower.Load(), Reverted: c.reverted.Load(), Sockets: c.sockets.Load()}
}

// Failures counts the answers that could not be used, and questions that could not be asked.
func (r *Resolver) Failures() int64 { return r.stats.unusable.Load() }

func (r *Resolver) age() time.Duration {
	return time.Since(r.began) - time.Duration(r.stats.heardAt.Load())
}
