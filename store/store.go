// Package store keeps the versions of the settings that a dispatcher took, over restarts. One file (bbolt), written with
// fsync before a version is acknowledged; each version has a checksum of its own, so that one that is damaged is told
// from one that is good, and the good one before it is used.
package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"embershunt/control"
	"embershunt/control/configv1"
	"embershunt/internal/flightwire"
)

// Store is the file. Its methods may be called from one goroutine at a time.
type Store struct {
	db   *bbolt.DB
	keep int
}

// ErrNone tells that no good version is stored.
var ErrNone = errors.New("store: no good version")

// Damaged is one version that cannot be read.
type Damaged struct {
	Entry uint64 // its place in the order of storing, from 1
	Err   error
}

func (d Damaged) Error() string { return fmt.Sprintf("store: entry %d: %v", d.Entry, d.Err) }

var bucket = []byte("versions") // entry (8 bytes, big endian) to record

const formatVersion = 1

// Open opens or makes the file and keeps so many versions (at least 2). A file that another process has open is an
// error after a second.
func Open(path string, keep int) (*Store, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(bucket)
		return err
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	return &Store{db: db, keep: max(keep, 2)}, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Put makes a set durable as the newest version. When it returns, the set is on the disk.
func (s *Store) Put(set control.Set) error {
	record, err := encode(set)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucket)
		n, err := b.NextSequence()
		if err != nil {
			return err
		}
		if err := b.Put(binary.BigEndian.AppendUint64(nil, n), record); err != nil {
			return err
		}
		var old [][]byte // the newest stay
		c := b.Cursor()
		for k, _ := c.First(); k != nil; k, _ = c.Next() {
			old = append(old, bytes.Clone(k))
		}
		for len(old) > s.keep {
			if err := b.Delete(old[0]); err != nil {
				return err
			}
			old = old[1:]
		}
		return nil
	})
}

// Forget takes the newest version out again if it has this number.
func (s *Store) Forget(number uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucket).Cursor()
		k, v := c.Last()
		if k == nil {
			return nil
		}
		if set, err := decode(v); err == nil && set.Number != number {
			return nil
		}
		return c.Delete()
	})
}

// Last returns the newest good version, and the damaged ones that stood before it in line. ErrNone if there is none.
func (s *Store) Last() (control.Set, []Damaged, error) {
	var damaged []Damaged
	var found *control.Set
	err := s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucket).Cursor()
		for k, v := c.Last(); k != nil; k, v = c.Prev() {
			set, err := decode(v)
			if err == nil {
				found = &set
				return nil
			}
			damaged = append(damaged, Damaged{binary.BigEndian.Uint64(k), err})
		}
		return nil
	})
	if err == nil && found == nil {
		err = ErrNone
	}
	if err != nil {
		return control.Set{}, damaged, err
	}
	return *found, damaged, nil
}

// Get returns the newest good version with a number.
func (s *Store) Get(number uint64) (control.Set, error) {
	all, err := s.All()
	if err != nil {
		return control.Set{}, err
	}
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].Number == number {
			return all[i], nil
		}
	}
	return control.Set{}, fmt.Errorf("store: set %d: %w", number, ErrNone)
}

// All returns the good versions, the oldest first.
func (s *Store) All() (out []control.Set, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucket).ForEach(func(_, v []byte) error {
			if set, err := decode(v); err == nil {
				out = append(out, set)
			}
			return nil
		})
	})
	return out, err
}

// A record is a format version, a checksum (xxHash64 of what follows) and the set: number as field 1, the five resources
// as fields 2 to 6.
func encode(set control.Set) ([]byte, error) {
	body := flightwire.AppendVarint(nil, 1, set.Number)
	for i, m := range set.Parts() {
		b, err := proto.Marshal(m)
		if err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
		body = flightwire.AppendBytes(body, i+2, b)
	}
	record := binary.BigEndian.AppendUint64([]byte{formatVersion}, xxhash.Sum64(body))
	return append(record, body...), nil
}

func decode(record []byte) (control.Set, error) {
	if len(record) < 9 {
		return control.Set{}, fmt.Errorf("%d bytes, a record has 9 or more", len(record))
	}
	if record[0] != formatVersion {
		return control.Set{}, fmt.Errorf("format %d, known is %d", record[0], formatVersion)
	}
	body := bytes.Clone(record[9:]) // the file's memory is not ours after the transaction
	if sum := xxhash.Sum64(body); sum != binary.BigEndian.Uint64(record[1:9]) {
		return control.Set{}, fmt.Errorf("checksum %016x, written was %016x", sum, binary.BigEndian.Uint64(record[1:9]))
	}
	fields, varints, err := flightwire.Fields(body)
	if err != nil {
		return control.Set{}, err
	}
	set := control.Set{Number: varints[1], Classes: &configv1.Classes{}, Tenants: &configv1.Tenants{},
		Limits: &configv1.Limits{}, Classification: &configv1.Classification{}, Fronts: &configv1.Fronts{}}
	parts := set.Parts()
	for _, f := range fields {
		if f.Number < 2 || f.Number > 6 {
			return control.Set{}, fmt.Errorf("field %d, known are 1 to 6", f.Number)
		}
		if err := proto.Unmarshal(f.Value, parts[f.Number-2]); err != nil {
			return control.Set{}, fmt.Errorf("field %d: %w", f.Number, err)
		}
	}
	return set, nil
}
