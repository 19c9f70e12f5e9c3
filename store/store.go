// Package store persists the versions of the settings that a dispatcher has accepted. The store is a single bbolt file. Put syncs
// it, so that a version is on disk before the dispatcher acknowledges it. Each version has its own checksum: a damaged version is
// detected, and the newest intact one before it is used instead.
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

// Store is an open store file. Its methods are safe for concurrent use.
type Store struct {
	db          *bbolt.DB
	maxVersions int
}

// minVersions is the smallest number of versions to keep. It is 2 because the newest version may be damaged.
const minVersions = 2

// lockTimeout limits how long Open waits for the lock of a file that another process has open.
const lockTimeout = time.Second

// ErrNotFound means that the store has no intact version or, from Get, none with the given number.
var ErrNotFound = errors.New("store: no intact version")

// DamagedVersionError is the error for a stored version that cannot be decoded.
type DamagedVersionError struct {
	Entry uint64 // sequence number of the version in the file, from 1
	Err   error  // how the record is damaged
}

// Error names the entry and says how it is damaged.
func (e DamagedVersionError) Error() string {
	return fmt.Sprintf("store: entry %d: %v", e.Entry, e.Err)
}

// Unwrap returns Err.
func (e DamagedVersionError) Unwrap() error { return e.Err }

// versionsBucket maps the sequence number of a version (8 bytes, big endian) to its record.
var versionsBucket = []byte("versions")

// Open opens or creates the file of a store that keeps the newest maxVersions versions, but at least minVersions. It returns an
// error if another process keeps the file open for longer than lockTimeout.
func Open(path string, maxVersions int) (*Store, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(versionsBucket)
		return err
	})
	if err != nil {
		_ = db.Close() // the transaction's error is the one to report
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	return &Store{db: db, maxVersions: max(maxVersions, minVersions)}, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Put stores a set as the newest version and deletes the oldest versions in excess of maxVersions. When it returns without an
// error, the set is on disk.
func (s *Store) Put(set control.Set) error {
	record, err := encode(set)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(versionsBucket)
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

// dropOldest deletes the oldest versions in excess of maxVersions.
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

// DeleteNewest deletes the newest version if its set has the given number or if it is damaged.
func (s *Store) DeleteNewest(number uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		c := tx.Bucket(versionsBucket).Cursor()
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

// Last returns the newest intact version and the damaged versions that are newer. If no version is intact, the error is
// ErrNotFound.
func (s *Store) Last() (control.Set, []DamagedVersionError, error) {
	var damaged []DamagedVersionError
	var found *control.Set
	err := s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(versionsBucket).Cursor()
		for k, v := c.Last(); k != nil; k, v = c.Prev() {
			set, err := decode(v)
			if err == nil {
				found = &set
				return nil
			}
			damaged = append(damaged, DamagedVersionError{binary.BigEndian.Uint64(k), err})
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

// Get returns the newest intact version with the given set number. If there is none, the error wraps ErrNotFound.
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
func (s *Store) All() (sets []control.Set, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(versionsBucket).ForEach(func(_, v []byte) error {
			if set, err := decode(v); err == nil {
				sets = append(sets, set)
			}
			return nil
		})
	})
	return sets, err
}
