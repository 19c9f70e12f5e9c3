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

// testDispatcher stands in for a dispatcher: it has a store file, starts control modules from it and records the acknowledged sets.
type testDispatcher struct {
	t     *testing.T
	path  string
	store *Store
	acked map[uint64]bool // by set number
	onAck func()          // called at each acknowledgement; may be nil
}

// local returns the settings that are not streamed.
func (d *testDispatcher) local() config.File {
	c, err := config.Parse("local", []byte(`{"any_user": true, "control": {"address": "127.0.0.1:1", "cluster": "c"},
	  "kinds": [{"name": "k", "cores": 8}], "classes": [{"name": "lookup", "aim": "1s", "deadline": "2s"}]}`))
	if err != nil {
		d.t.Fatal(err)
	}
	return c.File
}

// start opens the store and returns a control module that starts from the newest intact version, and the number of that version's
// set; 0 if there is none.
func (d *testDispatcher) start() (*control.Module, uint64) {
	var err error
	if d.store, err = Open(d.path, 5); err != nil {
		d.t.Fatal(err)
	}
	set, _, err := d.store.Last()
	if err != nil {
		set = control.Set{}
	}
	return control.New(control.DefaultBounds(), d.local(), set), set.Number
}

// offer offers a set to the module and carries out the actions that follow, but no more than maxActions. Log actions do not count.
func (d *testDispatcher) offer(m *control.Module, s control.Set, maxActions int) {
	carriedOut := 0
	queue := []control.Event{}
	for k, p := range s.Resources() {
		queue = append(queue, control.Offered{Kind: control.Kind(k), Version: "v", Nonce: fmt.Sprint(k), Message: p})
	}
	for len(queue) > 0 {
		actions := m.Step(0, queue[0])
		queue = queue[1:]
		for _, a := range actions {
			if _, ok := a.(control.Log); ok {
				continue
			}
			if carriedOut == maxActions {
				return
			}
			carriedOut++
			switch a := a.(type) {
			case control.Store:
				queue = append(queue, control.Stored{Number: a.Set.Number, Err: d.store.Put(a.Set)})
			case control.Apply:
				queue = append(queue, control.Applied{Number: a.Set.Number})
			case control.Ack:
				d.acked[s.Number] = true
				if d.onAck != nil {
					d.onAck()
				}
			case control.Nack:
				d.t.Fatalf("set %d is rejected: %v", s.Number, a.Reasons)
			}
		}
	}
}

// runChild runs this test binary as a child process, in which TestMain calls child, and returns the child's output. Except in mode
// "full" the child must end by SIGKILL.
func runChild(t *testing.T, path, mode string) string {
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

// validSet returns set n with a valid class, so that a dispatcher accepts it.
func validSet(n uint64) control.Set {
	s := set(n)
	s.Classes.Classes = []*configv1.Class{{Name: "lookup", AimUs: 1e6, DeadlineUs: 2e6}}
	return s
}

// child runs in the child process. It offers set 2, prints each acknowledgement and kills itself after the number of actions that
// mode gives. In mode "full" it instead writes a set to a store whose file cannot grow, and prints the error.
func child(mode, path string) {
	d := &testDispatcher{t: &testing.T{}, path: path, acked: map[uint64]bool{}}
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
		big := validSet(2)
		for i := range 5000 {
			big.Classes.Classes = append(big.Classes.Classes, &configv1.Class{Name: fmt.Sprintf("class-%d", i), AimUs: 1, DeadlineUs: 1})
		}
		fmt.Println("put:", s.Put(big))
		return
	}
	maxActions, err := strconv.Atoi(mode)
	if err != nil {
		fmt.Println("mode:", err)
		return
	}
	m, _ := d.start()
	d.onAck = func() { fmt.Println("ack") }
	d.offer(m, validSet(2), maxActions)
	if err := syscall.Kill(os.Getpid(), syscall.SIGKILL); err != nil {
		fmt.Println("kill:", err)
		return
	}
	select {}
}

// A dispatcher that is killed at any point between receiving a version and the last acknowledgement restarts with the old
// set or the new one, never without one that was acknowledged; offered again, the new set is accepted or acknowledged as
// active.
func TestKilledAtEveryStep(t *testing.T) {
	for point := 0; point <= 7; point++ { // 7 actions: store, apply and five acknowledgements
		t.Run(fmt.Sprintf("after %d steps", point), func(t *testing.T) {
			d := &testDispatcher{t: t, path: filepath.Join(t.TempDir(), "s.db"), acked: map[uint64]bool{}}
			m, _ := d.start()
			d.offer(m, validSet(1), 99)
			closeStore(t, d.store)
			acked := strings.Contains(runChild(t, d.path, fmt.Sprint(point)), "ack")
			m, number := d.start()
			defer closeStore(t, d.store)
			if acked != (point > 2) {
				t.Errorf("acknowledged before the kill: %v", acked)
			}
			if want := uint64(min(point, 1) + 1); number != want {
				t.Errorf("restarted with set %d, want %d", number, want)
			}
			d.acked[2] = false
			if d.offer(m, validSet(2), 99); !d.acked[2] || m.Active().Number != 2 {
				t.Errorf("set 2 offered again: acknowledged %v, active set is %d", d.acked[2], m.Active().Number)
			}
		})
	}
}

// A failed Put returns an error, and the version before stays in the store.
func TestWriteFailures(t *testing.T) {
	cases := map[string]func(t *testing.T, path string) string{
		"closed": func(t *testing.T, path string) string {
			s := open(t, path)
			closeStore(t, s)
			return fmt.Sprint(s.Put(validSet(2)))
		},
		"read-only": func(t *testing.T, path string) string {
			db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := db.Close(); err != nil {
					t.Error(err)
				}
			}()
			return fmt.Sprint((&Store{db: db, maxVersions: 3}).Put(validSet(2)))
		},
		"full": func(t *testing.T, path string) string { return runChild(t, path, "full") }, // RLIMIT_FSIZE stops the file growing
	}
	for name, put := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "s.db")
			s := open(t, path)
			if err := s.Put(validSet(1)); err != nil {
				t.Fatal(err)
			}
			closeStore(t, s)
			if output := put(t, path); output == "<nil>" || strings.Contains(output, "put: <nil>") || strings.Contains(output, "limit:") {
				t.Errorf("Put did not fail: %s", output)
			} else {
				t.Log(strings.TrimSpace(output))
			}
			s = open(t, path)
			defer closeStore(t, s)
			if got, damaged, err := s.Last(); err != nil || got.Number != 1 || len(damaged) > 0 {
				t.Errorf("Last after a failed Put: set %d, damaged %v, error %v; want set 1", got.Number, damaged, err)
			}
		})
	}
}
