// Package seal makes tokens that only holders of a key can make: tickets, prepared handles, bearer tokens and session
// cookies. A token is signed, not encrypted: whoever holds it may read it. Any dispatcher with the same key takes it.
package seal

import (
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/zeebo/blake3"

	"embershunt/internal/flightwire"
)

// Purpose keeps tokens of one use from being taken for another.
type Purpose byte

// The purposes.
const (
	Ticket Purpose = iota + 1
	Prepared
	Bearer
	Session
	Transaction
	Savepoint
)

// String names what a token is used for.
func (p Purpose) String() string {
	return [...]string{"token", "ticket", "prepared statement handle", "bearer token", "session cookie", "transaction", "savepoint"}[min(p, 6)]
}

const (
	version = 1
	macSize = 32
	// KeySize is the length of a key in bytes.
	KeySize = 32
)

// Errors of Open. A forged token and one of another key cannot be told apart.
var (
	ErrForged  = errors.New("not made by this service, or by one with another key")
	ErrExpired = errors.New("expired")
)

// Sealer signs with its first key and takes tokens of all.
type Sealer struct{ hashers []*sync.Pool } // of *blake3.Hasher, one pool a key: a hasher is large

// New returns a Sealer; keys are KeySize bytes each. Without a key it makes one that dies with the process.
func New(keys ...[]byte) (*Sealer, error) {
	if len(keys) == 0 {
		k := make([]byte, KeySize)
		rand.Read(k)
		keys = [][]byte{k}
	}
	s := &Sealer{}
	for i, k := range keys {
		if len(k) != KeySize {
			return nil, fmt.Errorf("key %d has %d bytes, allowed is %d", i, len(k), KeySize)
		}
		s.hashers = append(s.hashers, &sync.Pool{New: func() any {
			h, err := blake3.NewKeyed(k)
			if err != nil { // the length was checked
				panic(err)
			}
			return h
		}})
	}
	return s, nil
}

// mac is the keyed hash of a token's body.
func mac(pool *sync.Pool, body []byte) (sum [macSize]byte) {
	h := pool.Get().(*blake3.Hasher)
	h.Reset()
	_, _ = h.Write(body) // a hash takes everything
	h.Sum(sum[:0])
	pool.Put(h)
	return sum
}

// Seal returns a token that holds payload until a time.
func (s *Sealer) Seal(p Purpose, expires time.Time, payload []byte) []byte {
	body := []byte{version, byte(p)}
	body = flightwire.AppendVarint(body, 1, uint64(expires.UnixMilli()))
	body = flightwire.AppendBytes(body, 2, payload)
	sum := mac(s.hashers[0], body)
	return append(body, sum[:]...)
}

// Open returns a token's payload. Every error wraps ErrForged or ErrExpired.
func (s *Sealer) Open(p Purpose, now time.Time, token []byte) ([]byte, error) {
	if len(token) < 2+macSize || token[0] != version || token[1] != byte(p) {
		return nil, fmt.Errorf("%s of %d bytes: %w", p, len(token), ErrForged)
	}
	body, sum := token[:len(token)-macSize], token[len(token)-macSize:]
	good := 0
	for _, pool := range s.hashers {
		want := mac(pool, body)
		good |= subtle.ConstantTimeCompare(sum, want[:])
	}
	if good == 0 {
		return nil, fmt.Errorf("%s of %d bytes: %w", p, len(token), ErrForged)
	}
	fields, varints, err := flightwire.Fields(body[2:])
	if err != nil || len(fields) > 1 {
		return nil, fmt.Errorf("%s: %w", p, ErrForged)
	}
	if expires := time.UnixMilli(int64(varints[1])); now.After(expires) {
		return nil, fmt.Errorf("%s: %w since %s", p, ErrExpired, expires.UTC().Format(time.RFC3339))
	}
	if len(fields) == 0 {
		return nil, nil
	}
	return fields[0].Value, nil
}
