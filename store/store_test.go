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

// set returns set n. Its settings need not be valid, because the store does not validate them.
func set(n uint64) control.Set {
	return control.Set{Number: n, Classes: &configv1.Classes{Set: n, Classes: []*configv1.Class{{Name: "lookup", AimUs: 5}}},
		Tenants: &configv1.Tenants{Set: n}, Limits: &configv1.Limits{Set: n, Attempts: 3}, Classification: &configv1.Classification{Set: n},
		Fronts: &configv1.Fronts{Set: n}}
}

// open opens a store that keeps three versions.
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
		t.Errorf("Last of an empty store: error %v, want ErrNotFound", err)
	}
	for n := uint64(1); n <= 5; n++ {
		put(t, s, set(n))
	}
	closeStore(t, s)
	s = open(t, path)
	defer closeStore(t, s)
	got, damaged, err := s.Last()
	if err != nil || len(damaged) > 0 || got.Number != 5 || !proto.Equal(got.Classes, set(5).Classes) {
		t.Errorf("Last: %+v, damaged %v, error %v; want set 5", got, damaged, err)
	}
	if all, _ := s.All(); len(all) != 3 || all[0].Number != 3 {
		t.Errorf("All: %d versions, want sets 3 to 5", len(all))
	}
	if got, err := s.Get(4); err != nil || got.Number != 4 {
		t.Errorf("Get(4): set %v, error %v", got.Number, err)
	}
	if _, err := s.Get(1); !errors.Is(err, ErrNotFound) {
		t.Errorf("Get of a version over the limit: error %v, want ErrNotFound", err)
	}
	for _, n := range []uint64{4, 5} { // set 4 stays, because it is not the newest
		if err := s.DeleteNewest(n); err != nil {
			t.Error(err)
		}
	}
	if got, _, _ := s.Last(); got.Number != 4 {
		t.Errorf("after DeleteNewest: set %d, want 4", got.Number)
	}
}

// If the newest record is damaged, in whichever byte, Last skips it and returns the version before it.
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
			k, _ := tx.Bucket(versionsBucket).Cursor().Last()
			return tx.Bucket(versionsBucket).Put(append([]byte(nil), k...), b)
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
			t.Fatalf("byte %d changed: set %d, skipped %v, error %v", i, got.Number, skipped, err)
		}
	}
	write(record[:4])
	if got, skipped, _ := s.Last(); got.Number != 1 || len(skipped) != 1 {
		t.Errorf("truncated record: set %d, skipped %v", got.Number, skipped)
	}
}

// Open returns an error for a file that is not a store and for a path in a directory that does not exist.
func TestOpenErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	if err := os.WriteFile(path, []byte("this is not a store, but it is long enough to be looked at as one"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path, 3); err == nil {
		t.Error("opened a file that is not a store")
	}
	if _, err := Open(filepath.Join(t.TempDir(), "no", "such", "dir"), 3); err == nil {
		t.Error("opened in a directory that does not exist")
	}
}
