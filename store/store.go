// Package store persists the versions of the settings that a dispatcher has accepted. It is one file (bbolt), synced before
// a version is acknowledged. Each version has a checksum of its own: a damaged one is detected and skipped in favour of the
// one before it.
package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"embershunt/control"
)

// Store is an open store. Its methods are safe for concurrent use.
type Store struct {
	db          *bbolt.DB
	maxVersions int
}

// minVersions is the least number of versions to keep: the newest may be damaged.
const minVersions = 2

// lockTimeout bounds the wait for a file that another process has open.
const lockTimeout = time.Second

// ErrNotFound is the error where no intact version is stored.
var ErrNotFound = errors.New("store: no good version")

// Damaged is a version that cannot be decoded. It is an error.
type Damaged struct {
	Entry uint64 // sequence number, from 1
	Err   error
}

// Error names the entry and what is wrong with it.
func (d Damaged) Error() string { return fmt.Sprintf("store: entry %d: %v", d.Entry, d.Err) }

// Unwrap is the error of decoding.
func (d Damaged) Unwrap() error { return d.Err }

var bucket = []byte("versions") // sequence number (8 bytes, big endian) to record

// Open opens or creates the file of a store that keeps the newest maxVersions versions, two at least. A file that another
// process has open is an error after a second.
func Open(path string, maxVersions int) (*Store, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(bucket)
		return err
	})
	if err != nil {
		_ = db.Close() // the error of the transaction is the one to report
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	return &Store{db: db, maxVersions: max(maxVersions, minVersions)}, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Put stores a set as the newest version and drops the oldest ones over the limit. When it returns without an error, the
// set is on disk.
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
		return s.dropOldest(b)
	})
}

func (s *Store) dropOldest(b *bbolt.Bucket) error {
	var keys [][]byte
	c := b.Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		keys = append(keys, bytes.Clone(k))
	}
	for len(keys) > s.maxVersions {
		if err := b.Delete(keys[0]); err != nil {
			return err
		}
		keys = keys[1:]
	}
	return nil
}

// Forget deletes the newest version if it has this number or is damaged.
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

// Last returns the newest intact version, and the damaged ones that are newer. The error is ErrNotFound if there is none.
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
		err = ErrNotFound
	}
	if err != nil {
		return control.Set{}, damaged, err
	}
	return *found, damaged, nil
}

// Get returns the newest intact version with a number. The error is ErrNotFound if there is none.
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
	return control.Set{}, fmt.Errorf("store: set %d: %w", number, ErrNotFound)
}

// All returns the intact versions, the oldest first.
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
