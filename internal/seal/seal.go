// Package seal issues and verifies tokens that are authenticated with a secret key: tickets, prepared statement handles, bearer
// tokens, session cookies, and handles of transactions and savepoints. A token is not encrypted: whoever holds it can read its
// payload. Every dispatcher with the same key accepts it.
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

// Purpose is what a token is used for. It is part of the token, so that a token for one purpose is not accepted for another.
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

// String returns the name of the purpose for messages, including those to clients.
func (p Purpose) String() string {
	return [...]string{"token", "ticket", "prepared statement handle", "bearer token", "session cookie", "transaction",
		"savepoint"}[min(p, 6)]
}

const (
	version = 1  // of the token format; the first byte of a token
	macSize = 32 // bytes, at the end of a token
	// KeySize is the length of a key in bytes.
	KeySize = 32
)

// Errors of Open. ErrForged also stands for a token made with an unknown key, which Open cannot tell from a forged one.
var (
	ErrForged  = errors.New("not made by this service, or by one with another key")
	ErrExpired = errors.New("expired")
)

// Sealer makes tokens with its first key and accepts tokens made with any of its keys. It is safe for concurrent use.
type Sealer struct {
	hashers []*sync.Pool // one pool of *blake3.Hasher for each key; pooled because a hasher is large
}

// New returns a Sealer. Each key has KeySize bytes. Without keys New generates a random one, whose tokens no other process accepts,
// nor this one after a restart.
func New(keys ...[]byte) (*Sealer, error) {
	if len(keys) == 0 {
		k := make([]byte, KeySize)
		rand.Read(k)
		keys = [][]byte{k}
	}
	s := &Sealer{}
	for i, k := range keys {
		if len(k) != KeySize {
			return nil, fmt.Errorf("key %d has %d bytes, want %d", i, len(k), KeySize)
		}
		s.hashers = append(s.hashers, &sync.Pool{New: func() any {
			h, err := blake3.NewKeyed(k)
			if err != nil { // cannot happen: the key has the right length
				panic(err)
			}
			return h
		}})
	}
	return s, nil
}

// mac returns the keyed hash of a token's body, the part before the MAC.
func mac(pool *sync.Pool, body []byte) (sum [macSize]byte) {
	h := pool.Get().(*blake3.Hasher)
	h.Reset()
	_, _ = h.Write(body) // a hash never returns an error
	h.Sum(sum[:0])
	pool.Put(h)
	return sum
}

// Seal returns a token that carries payload and is valid for a purpose until expires, at a resolution of one millisecond.
func (s *Sealer) Seal(p Purpose, expires time.Time, payload []byte) []byte {
	body := []byte{version, byte(p)}
	body = flightwire.AppendVarint(body, 1, uint64(expires.UnixMilli()))
	body = flightwire.AppendBytes(body, 2, payload)
	sum := mac(s.hashers[0], body)
	return append(body, sum[:]...)
}

// Open verifies a token and returns its payload. Every error wraps ErrForged or ErrExpired.
func (s *Sealer) Open(p Purpose, now time.Time, token []byte) ([]byte, error) {
	if len(token) < 2+macSize || token[0] != version || token[1] != byte(p) {
		return nil, fmt.Errorf("%s of %d bytes: %w", p, len(token), ErrForged)
	}
	body, sum := token[:len(token)-macSize], token[len(token)-macSize:]
	valid := 0 // 1: the MAC matches a key
	for _, pool := range s.hashers {
		want := mac(pool, body)
		valid |= subtle.ConstantTimeCompare(sum, want[:])
	}
	if valid == 0 {
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
