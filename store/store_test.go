package store

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"embershunt/control"
	"embershunt/control/configv1"
)

func set(n uint64) control.Set {
	return control.Set{Number: n, Classes: &configv1.Classes{Set: n, Classes: []*configv1.Class{{Name: "lookup", AimUs: 5}}},
		Tenants: &configv1.Tenants{Set: n}, Limits: &configv1.Limits{Set: n, Attempts: 3}, Classification: &configv1.Classification{Set: n},
		Fronts: &configv1.Fronts{Set: n}}
}

func open(t *testing.T, path string) *Store {
	t.Helper()
	s, err := Open(path, 3)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// closeStore closes a store; an error fails the test.
func closeStore(t *testing.T, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// put stores a set; an error ends the test.
func put(t *testing.T, s *Store, set control.Set) {
	t.Helper()
	if err := s.Put(set); err != nil {
		t.Fatal(err)
	}
}

func TestVersionsSurviveARestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s := open(t, path)
	if _, _, err := s.Last(); !errors.Is(err, ErrNotFound) {
		t.Errorf("an empty store: %v", err)
	}
	for n := uint64(1); n <= 5; n++ {
		put(t, s, set(n))
	}
	closeStore(t, s)
	s = open(t, path)
	defer closeStore(t, s)
	got, damaged, err := s.Last()
	if err != nil || len(damaged) > 0 || got.Number != 5 || !proto.Equal(got.Classes, set(5).Classes) {
		t.Errorf("%+v, %v, %v", got, damaged, err)
	}
	if all, _ := s.All(); len(all) != 3 || all[0].Number != 3 {
		t.Errorf("%d versions, want the last 3", len(all))
	}
	if got, err := s.Get(4); err != nil || got.Number != 4 {
		t.Errorf("%v, %v", got.Number, err)
	}
	if _, err := s.Get(1); !errors.Is(err, ErrNotFound) {
		t.Errorf("one that was dropped: %v", err)
	}
	for _, n := range []uint64{4, 5} { // 4 is not the newest: it stays
		if err := s.Forget(n); err != nil {
			t.Error(err)
		}
	}
	if got, _, _ := s.Last(); got.Number != 4 {
		t.Errorf("after Forget: %d", got.Number)
	}
}

// A damaged record is skipped in favour of the one before it, whichever byte was changed.
func TestDamagedVersionsAreSkipped(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s := open(t, path)
	defer closeStore(t, s)
	put(t, s, set(1))
	put(t, s, set(2))
	record, err := encode(set(2))
	if err != nil {
		t.Fatal(err)
	}
	write := func(b []byte) {
		t.Helper()
		err := s.db.Update(func(tx *bbolt.Tx) error {
			k, _ := tx.Bucket(bucket).Cursor().Last()
			return tx.Bucket(bucket).Put(append([]byte(nil), k...), b)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for i := range record {
		damaged := append([]byte(nil), record...)
		damaged[i] ^= 0x10
		write(damaged)
		got, skipped, err := s.Last()
		if err != nil || got.Number != 1 || len(skipped) != 1 || skipped[0].Entry != 2 {
			t.Fatalf("byte %d: set %d, %v, %v", i, got.Number, skipped, err)
		}
	}
	write(record[:4])
	if got, skipped, _ := s.Last(); got.Number != 1 || len(skipped) != 1 {
		t.Errorf("truncated: set %d, %v", got.Number, skipped)
	}
}

// Open reports a file that is no store, and a directory that does not exist.
func TestOpenErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	if err := os.WriteFile(path, []byte("this is not a store, but it is long enough to be looked at as one"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path, 3); err == nil {
		t.Error("opened")
	}
	if _, err := Open(filepath.Join(t.TempDir(), "no", "such", "dir"), 3); err == nil {
		t.Error("opened in a directory that does not exist")
	}
}
