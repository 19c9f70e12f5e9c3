package resolver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"embershunt/nodelist"
)

// socket is one flow to the name service. A goroutine reads it until it is closed; the rest is the goroutine of Run's own.
type socket struct {
	conn      net.Conn
	closed    chan struct{}
	open      []question // asked here after the newest one that has an answer
	retiredAt time.Time
}

func (s *socket) asked(serial uint64, now time.Time) {
	if len(s.open) < questionsMost {
		s.open = append(s.open, question{serial, now})
	}
}

// heard notes an answer. Older questions than its own do not tell any more whether the flow is silent, newer ones do.
func (s *socket) heard(serial uint64) {
	s.open = slices.DeleteFunc(s.open, func(q question) bool { return q.serial <= serial })
}

// silentFor is how long questions on a socket have been open since one was answered; 0 where they are too few to tell.
func (s *socket) silentFor(now time.Time) time.Duration {
	if len(s.open) < silentQuestions {
		return 0
	}
	return now.Sub(s.open[0].at)
}

// close closes the socket and lets its reader end.
func (s *socket) close() {
	close(s.closed)
	s.conn.Close()
}

// open opens a socket to the name service.
func (r *Resolver) open(ctx context.Context) (*socket, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "udp", r.target())
	if err != nil {
		return nil, err
	}
	s := &socket{conn: conn, closed: make(chan struct{})}
	r.stats.sockets.Add(1)
	r.readers.Go(func() error { r.read(s); return nil })
	return s, nil
}

// read hands on what comes on a socket until it is closed.
func (r *Resolver) read(s *socket) {
	buffer := make([]byte, nodelist.MaxResponseBytes+1)
	for {
		n, err := s.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		p := packet{socket: s, err: err}
		if err == nil {
			p.message = slices.Clone(buffer[:n])
		}
		select {
		case r.packets <- p:
		case <-s.closed:
			return
		}
		if err != nil && !r.rest(s) {
			return
		}
	}
}

// rest waits a moment after an error, so that one which repeats at once does not take the processor; false where the socket has been closed.
func (r *Resolver) rest(s *socket) bool {
	timer := time.NewTimer(readPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.closed:
		return false
	}
}

// newQuestion books a question under an id that is not in use.
func (r *Resolver) newQuestion(now time.Time) uint16 {
	for id, q := range r.questions {
		if now.Sub(q.at) > questionLife || len(r.questions) >= questionsMost && q.serial+questionsMost <= r.serial+1 {
			delete(r.questions, id)
		}
	}
	for {
		id := uint16(rand.Uint32())
		if _, taken := r.questions[id]; !taken {
			r.serial++
			r.questions[id] = question{serial: r.serial, at: now}
			return id
		}
	}
}

// tend replaces sockets that have fallen silent, opens those that are missing, and closes old ones. A socket stays where its replacement
// cannot be opened.
func (r *Resolver) tend(ctx context.Context, now time.Time) {
	for i, s := range r.active {
		if s.silentFor(now) < r.patience() {
			continue
		}
		r.logSilence()
		fresh, err := r.open(ctx)
		if err != nil {
			r.failed("no socket", err)
			break
		}
		r.backoff++
		r.retire(now, s)
		r.active[i] = fresh
	}
	for len(r.active) < activeSockets {
		fresh, err := r.open(ctx)
		if err != nil {
			r.failed("no socket", err)
			break
		}
		r.active = append(r.active, fresh)
	}
	r.retired = slices.DeleteFunc(r.retired, func(s *socket) bool {
		old := now.Sub(s.retiredAt) > retiredLife
		if old {
			s.close()
		}
		return old
	})
}

// patience is how long a socket may be silent. It doubles as long as nothing is heard at all, so that some socket lives long enough for an
// answer that takes its time.
func (r *Resolver) patience() time.Duration {
	base := max(silentIntervals*r.options.Interval, silentAnswers*r.answerIn)
	return max(base, min(base<<min(r.backoff/activeSockets, 10), silentMost))
}

// retire keeps a socket for answers that are still on their way.
func (r *Resolver) retire(now time.Time, s *socket) {
	s.retiredAt = now
	if r.retired = append(r.retired, s); len(r.retired) > retiredSockets {
		r.retired[0].close()
		r.retired = r.retired[1:]
	}
}

// replaceAll asks at the new address from now on. What the old one still sends is heard.
func (r *Resolver) replaceAll(ctx context.Context) {
	now := time.Now()
	old := r.active
	r.active, r.backoff, r.extra = nil, 0, extraMost
	r.tend(ctx, now)
	for _, s := range old {
		r.retire(now, s)
	}
	r.regularAt = now
}

// logSilence logs once that answers have ended.
func (r *Resolver) logSilence() {
	if r.silent {
		return
	}
	r.silent = true
	r.log.Warn("node list: a flow has no answers", "age_ms", r.age().Milliseconds(), "version", r.view.Number(),
		"questions", r.stats.questions.Load(), "unusable", r.stats.unusable.Load())
}

// close closes all sockets and waits for their readers.
func (r *Resolver) close() {
	for _, s := range append(r.active, r.retired...) {
		s.close()
	}
	r.readers.Wait()
}
