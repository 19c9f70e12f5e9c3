package flightsql

import (
	"crypto/subtle"
	"sync"

	"github.com/zeebo/blake3"
	"golang.org/x/crypto/bcrypt"

	"embershunt/frontend"
)

var (
	_ frontend.Authenticator = AnyUser{}
	_ frontend.Authenticator = (*Users)(nil)
)

// AnyUser accepts every name and password. With it the frontend also accepts calls without credentials.
type AnyUser struct{}

// Check implements frontend.Authenticator.
func (AnyUser) Check(string, string) bool { return true }

// Users checks passwords against bcrypt hashes. bcrypt is slow by design and some drivers send the password with every call, so
// the last correct password of each user is cached as a keyed hash. The key is random and never leaves the process. Users is safe
// for concurrent use.
type Users struct {
	hashes map[string]string // bcrypt hashes by user
	key    [32]byte          // of the hashes in verified

	mu       sync.Mutex
	verified map[string][32]byte // keyed hash of the last correct password, by user
}

// NewUsers returns an authenticator of the users in hashes, a map from name to bcrypt hash.
func NewUsers(hashes map[string]string) *Users {
	u := &Users{hashes: hashes, verified: map[string][32]byte{}}
	copy(u.key[:], newSerial()+newSerial()+newSerial()+newSerial())
	return u
}

// Check implements frontend.Authenticator.
func (u *Users) Check(user, password string) bool {
	hash, ok := u.hashes[user]
	if !ok {
		return false
	}
	hasher, err := blake3.NewKeyed(u.key[:])
	if err != nil {
		return false
	}
	_, _ = hasher.Write([]byte(password)) // writing to a hash does not fail
	var sum [32]byte
	hasher.Sum(sum[:0])
	u.mu.Lock()
	verified, ok := u.verified[user]
	u.mu.Unlock()
	if ok && subtle.ConstantTimeCompare(verified[:], sum[:]) == 1 {
		return true
	}
	if bcrypt.CompareHashAndPassword([]byte(hash), []byte(password)) != nil {
		return false
	}
	u.mu.Lock()
	u.verified[user] = sum
	u.mu.Unlock()
	return true
}
