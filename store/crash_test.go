package store

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"go.etcd.io/bbolt"

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
	tell  func() // at each acknowledgement; nil: nobody
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
				if w.tell != nil {
					w.tell()
				}
			case control.Nack:
				w.t.Fatalf("refused: %v", a.Reasons)
			}
		}
	}
	return steps
}

// crashed runs this test binary again as a process of its own, which TestMain sends into child.
func crashed(t *testing.T, path, mode string) string {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^$")
	cmd.Env = append(os.Environ(), "STORE_CHILD="+mode, "STORE_PATH="+path)
	out, err := cmd.Output()
	if mode != "full" {
		if exit := new(exec.ExitError); !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
			t.Fatalf("the child was not killed: %v", err)
		}
	} else if err != nil {
		t.Fatalf("child: %v, %s", err, out)
	}
	return string(out)
}

func TestMain(m *testing.M) {
	if mode := os.Getenv("STORE_CHILD"); mode != "" {
		child(mode, os.Getenv("STORE_PATH"))
		return
	}
	os.Exit(m.Run())
}

func good(n uint64) control.Set {
	s := set(n)
	s.Classes.Classes = []*configv1.Class{{Name: "lookup", AimUs: 1e6, DeadlineUs: 2e6}}
	return s
}

// child takes set 2 and kills itself after so many steps, telling each acknowledgement as it is sent; or it writes to a
// store whose file may not grow.
func child(mode, path string) {
	w := &world{t: &testing.T{}, path: path, acked: map[uint64]bool{}}
	if mode == "full" {
		signal.Ignore(syscall.SIGXFSZ)
		s, err := Open(path, 3)
		if err != nil {
			fmt.Println("open:", err)
			return
		}
		info, _ := os.Stat(path)
		limit := syscall.Rlimit{Cur: uint64(info.Size()), Max: uint64(info.Size())}
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit); err != nil {
			fmt.Println("limit:", err)
			return
		}
		big := good(2)
		for i := range 5000 {
			big.Classes.Classes = append(big.Classes.Classes, &configv1.Class{Name: fmt.Sprintf("class-%d", i), AimUs: 1, DeadlineUs: 1})
		}
		fmt.Println("put:", s.Put(big))
		return
	}
	point, _ := strconv.Atoi(mode)
	m, _ := w.start()
	w.tell = func() { os.Stdout.WriteString("ack\n") }
	w.offer(m, good(2), point)
	syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

// A dispatcher that is killed outright at any point between taking a version and the last acknowledgement comes back in a
// state that is whole: the old set or the new one, never one that was acknowledged and is gone; offered again, the new set
// is taken or acknowledged as in force.
func TestKilledOutrightAtEveryStep(t *testing.T) {
	for point := 0; point <= 7; point++ { // store, apply, five acknowledgements
		t.Run(fmt.Sprintf("after %d steps", point), func(t *testing.T) {
			w := &world{t: t, path: filepath.Join(t.TempDir(), "s.db"), acked: map[uint64]bool{}}
			m, _ := w.start()
			w.offer(m, good(1), 99)
			w.store.Close()
			acked := strings.Contains(crashed(t, w.path, fmt.Sprint(point)), "ack")
			m, number := w.start()
			defer w.store.Close()
			if acked != (point > 2) {
				t.Errorf("acknowledged: %v", acked)
			}
			if want := uint64(min(point, 1) + 1); number != want {
				t.Errorf("came back in set %d, want %d", number, want)
			}
			w.acked[2] = false
			if w.offer(m, good(2), 99); !w.acked[2] || m.InForce().Number != 2 {
				t.Errorf("offered again: acknowledged %v, in force is %d", w.acked[2], m.InForce().Number)
			}
		})
	}
}

// A store that cannot be written refuses the version; the one before stays in the store.
func TestAStoreThatCannotBeWritten(t *testing.T) {
	cases := map[string]func(t *testing.T, path string) string{
		"closed": func(t *testing.T, path string) string {
			s := open(t, path)
			s.Close()
			return fmt.Sprint(s.Put(good(2)))
		},
		"read-only": func(t *testing.T, path string) string {
			db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
			if err != nil {
				t.Fatal(err)
			}
			defer db.Close()
			return fmt.Sprint((&Store{db: db, keep: 3}).Put(good(2)))
		},
		"full": func(t *testing.T, path string) string { return crashed(t, path, "full") }, // the file may not grow
	}
	for name, put := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "s.db")
			s := open(t, path)
			if err := s.Put(good(1)); err != nil {
				t.Fatal(err)
			}
			s.Close()
			if said := put(t, path); said == "<nil>" || strings.Contains(said, "put: <nil>") || strings.Contains(said, "limit:") {
				t.Errorf("written: %s", said)
			} else {
				t.Log(strings.TrimSpace(said))
			}
			s = open(t, path)
			defer s.Close()
			if got, damaged, err := s.Last(); err != nil || got.Number != 1 || len(damaged) > 0 {
				t.Errorf("%d, %v, %v", got.Number, damaged, err)
			}
		})
	}
}
