package store

import (
	"fmt"
	"path/filepath"
	"testing"

	"embershunt/config"
	"embershunt/control"
	"embershunt/control/configv1"
)

// world is what outlives a crash, and what the service was told.
type world struct {
	t     *testing.T
	path  string
	store *Store
	acked map[uint64]bool
}

func (w *world) local() config.File {
	c, err := config.Parse("local", []byte(`{"any_user": true, "control": {"address": "127.0.0.1:1", "cluster": "c"},
	  "kinds": [{"name": "k", "cores": 8}], "classes": [{"name": "lookup", "aim": "1s", "deadline": "2s"}]}`))
	if err != nil {
		w.t.Fatal(err)
	}
	return c.File
}

// start is a dispatcher's start: from the newest good version.
func (w *world) start() (*control.Module, uint64) {
	var err error
	if w.store, err = Open(w.path, 5); err != nil {
		w.t.Fatal(err)
	}
	set, _, err := w.store.Last()
	if err != nil {
		set = control.Set{}
	}
	return control.New(control.DefaultBounds(), w.local(), set), set.Number
}

// offer plays a set until it has arrived, or dies after so many actions have been carried out; it tells how many there
// were and which set the dispatcher then runs by.
func (w *world) offer(m *control.Module, s control.Set, dieAfter int) (steps int) {
	queue := []control.Event{}
	for k, p := range s.Parts() {
		queue = append(queue, control.Offered{Kind: control.Kind(k), Version: "v", Nonce: fmt.Sprint(k), Message: p})
	}
	for len(queue) > 0 {
		actions := m.Step(0, queue[0])
		queue = queue[1:]
		for _, a := range actions {
			if _, ok := a.(control.Log); ok {
				continue
			}
			if steps == dieAfter {
				return steps
			}
			steps++
			switch a := a.(type) {
			case control.Store:
				queue = append(queue, control.Stored{Number: a.Set.Number, Err: w.store.Put(a.Set)})
			case control.Apply:
				queue = append(queue, control.Applied{Number: a.Set.Number})
			case control.Ack:
				w.acked[s.Number] = true
			case control.Nack:
				w.t.Fatalf("refused: %v", a.Reasons)
			}
		}
	}
	return steps
}

// A dispatcher that is killed at any point between taking a version and the last acknowledgement comes back in a state
// that is whole: the old set or the new one, never one that was acknowledged and is gone; offered again, the new set is
// taken or acknowledged as in force.
func TestKilledAtEveryStep(t *testing.T) {
	good := func(n uint64) control.Set {
		s := set(n)
		s.Classes.Classes = []*configv1.Class{{Name: "lookup", AimUs: 1e6, DeadlineUs: 2e6}}
		return s
	}
	const all = 7 // store, apply, five acknowledgements
	for point := 0; point <= all; point++ {
		t.Run(fmt.Sprintf("after %d steps", point), func(t *testing.T) {
			w := &world{t: t, path: filepath.Join(t.TempDir(), "s.db"), acked: map[uint64]bool{}}
			m, _ := w.start()
			if n := w.offer(m, good(1), 99); n != all {
				t.Fatalf("%d steps, want %d", n, all)
			}
			w.offer(m, good(2), point)
			w.store.Close() // what bbolt has acknowledged is on the disk; nothing else survives

			m, number := w.start()
			defer w.store.Close()
			want := uint64(2)
			if point == 0 {
				want = 1
			}
			if number != want {
				t.Errorf("came back in set %d, want %d", number, want)
			}
			if w.acked[2] && number != 2 {
				t.Error("set 2 was acknowledged and is gone")
			}
			w.offer(m, good(2), 99)
			if !w.acked[2] || m.InForce().Number != 2 {
				t.Errorf("offered again: acknowledged %v, in force is %d", w.acked[2], m.InForce().Number)
			}
		})
	}
}

// A store that cannot be written refuses the version; the one before stays in force and in the store.
func TestAStoreThatCannotBeWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s := open(t, path)
	if err := s.Put(set(1)); err != nil {
		t.Fatal(err)
	}
	s.Close() // every write fails from now on, as on a full or read-only disk
	if err := s.Put(set(2)); err == nil {
		t.Fatal("written to a closed store")
	}
	s = open(t, path)
	defer s.Close()
	if got, _, err := s.Last(); err != nil || got.Number != 1 {
		t.Errorf("%d, %v", got.Number, err)
	}
}
