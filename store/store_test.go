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

func TestVersionsOutliveARestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s := open(t, path)
	if _, _, err := s.Last(); !errors.Is(err, ErrNone) {
		t.Errorf("an empty store: %v", err)
	}
	for n := uint64(1); n <= 5; n++ {
		if err := s.Put(set(n)); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	s = open(t, path)
	defer s.Close()
	got, damaged, err := s.Last()
	if err != nil || len(damaged) > 0 || got.Number != 5 || !proto.Equal(got.Classes, set(5).Classes) {
		t.Errorf("%+v, %v, %v", got, damaged, err)
	}
	if all, _ := s.All(); len(all) != 3 || all[0].Number != 3 {
		t.Errorf("kept %d, want the last 3", len(all))
	}
	if got, err := s.Get(4); err != nil || got.Number != 4 {
		t.Errorf("%v, %v", got.Number, err)
	}
	if _, err := s.Get(1); !errors.Is(err, ErrNone) {
		t.Errorf("one that was dropped: %v", err)
	}
	s.Forget(4) // not the newest: stays
	s.Forget(5)
	if got, _, _ := s.Last(); got.Number != 4 {
		t.Errorf("after Forget: %d", got.Number)
	}
}

// A damaged record is refused in favour of the one before it, whatever byte was hit.
func TestADamagedVersionIsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s := open(t, path)
	defer s.Close()
	s.Put(set(1))
	s.Put(set(2))
	record, err := encode(set(2))
	if err != nil {
		t.Fatal(err)
	}
	write := func(b []byte) {
		s.db.Update(func(tx *bbolt.Tx) error {
			k, _ := tx.Bucket(bucket).Cursor().Last()
			return tx.Bucket(bucket).Put(append([]byte(nil), k...), b)
		})
	}
	for i := range record {
		hit := append([]byte(nil), record...)
		hit[i] ^= 0x10
		write(hit)
		got, damaged, err := s.Last()
		if err != nil || got.Number != 1 || len(damaged) != 1 || damaged[0].Entry != 2 {
			t.Fatalf("byte %d: set %d, %v, %v", i, got.Number, damaged, err)
		}
	}
	write(record[:4])
	if got, damaged, _ := s.Last(); got.Number != 1 || len(damaged) != 1 {
		t.Errorf("cut short: set %d, %v", got.Number, damaged)
	}
}

func TestAFileThatIsNoStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	if err := os.WriteFile(path, []byte("this is not a store, but it is long enough to be looked at as one"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path, 3); err == nil {
		t.Error("taken")
	}
	if _, err := Open(filepath.Join(t.TempDir(), "no", "such", "dir"), 3); err == nil {
		t.Error("a folder that is not there was taken")
	}
}
