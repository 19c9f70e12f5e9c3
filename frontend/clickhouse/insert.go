package clickhouse

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"embershunt/classify"
	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/internal/native"
)

// store holds what clients bring with their queries, as far as the books allow.
type store struct {
	mu    sync.Mutex
	books *dispatch.PayloadBudget
	begin time.Time
}

func (s *store) now() dispatch.Micros { return time.Since(s.begin).Microseconds() }

func (s *store) grow(h *dispatch.PayloadReservation, n int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.books.Grow(s.now(), h, int64(n))
}

func (s *store) release(h *dispatch.PayloadReservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.books.Release(s.now(), h)
}

// Holding tells how many bytes of clients' rows and tables are held, and how many queries were turned away because they
// alone brought too much, or because there was no room.
func (f *Front) Holding() (bytes int64, large, full uint64) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	large, full = f.store.books.Turned()
	return f.store.books.Bytes(), large, full
}

// insert runs an INSERT whose rows come from the client. First the client is told which columns the table has, by a node or
// from the cache; then its rows are held here until they are complete; only then is the query made, so that a client that
// stalls keeps no node waiting and a further attempt has the rows at hand.
func (s *client) insert(ctx context.Context, call frontend.Call) error {
	left, err := s.front.desk.Deadline(call)
	if err != nil {
		return s.close(dispatch.Outcome{}, answered, err)
	}
	due := time.Now().Add(left)
	work := call.Work.(*native.Call)
	key := sampleKey(work, s.hello.User) + s.life.pinned()
	sample, ok := s.front.samples.Get(key, time.Now())
	if !ok {
		first := *work
		first.Sample = true
		ask := call
		ask.Work, ask.Facts.Harmless = &first, true
		v, how, err := s.ask(ctx, ask)
		if how != answered || err != nil || v.Kind != dispatch.Served {
			return s.close(v, how, err)
		}
		sample = v.Result.([]byte)
		s.front.samples.Put(key, sample, time.Now())
	}
	if err := s.write(sample); err != nil {
		return err
	}
	how, err := s.collect(ctx, work, due)
	if how != answered {
		return s.close(dispatch.Outcome{}, how, err)
	}
	call.Remaining = max(time.Until(due), time.Millisecond)
	v, how, err := s.ask(ctx, call)
	if v.Reason == dispatch.ReasonStatement { // perhaps the table has other columns by now
		s.front.samples.Drop(key)
	}
	return s.close(v, how, err)
}

// collect takes the client's rows up to the empty block.
func (s *client) collect(ctx context.Context, work *native.Call, due time.Time) (ending, error) {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	for {
		s.watch()
		select {
		case <-ctx.Done():
			return gone, nil
		case <-timer.C:
			s.refuse(159, "refused (CLIENT_STALLED): the rows of the INSERT did not come before its deadline; nothing was sent, trying again does no harm")
			return gone, errStalled
		case st := <-s.steps:
			s.reading = false
			switch {
			case st.err != nil:
				s.refuseFor(st.err)
				return gone, st.err
			case st.code == native.ClientCancel:
				work.Data = nil
				return cancelled, nil
			case st.code == native.ClientPing:
				if err := s.write([]byte{native.ServerPong}); err != nil {
					return gone, err
				}
			case st.code == native.ClientData:
				if work.Data = append(work.Data, st.data); st.block.End() {
					return answered, nil
				}
			default:
				err := fmt.Errorf("packet %d among the rows of an INSERT", st.code)
				s.refuse(101, err.Error())
				return gone, err
			}
		}
	}
}

var errStalled = errors.New("the rows of an INSERT did not come in time")

// sampleKey names what the columns of an INSERT depend on.
func sampleKey(w *native.Call, user string) string {
	return strings.Join([]string{user, w.Database, strconv.Itoa(w.Revision), strconv.FormatBool(w.Query.Compression),
		classify.Bare(w.Query.Text)}, "\x00")
}
