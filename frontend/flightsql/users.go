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

// AnyUser accepts every name and password, and calls without any.
type AnyUser struct{}

// Check implements frontend.Authenticator.
func (AnyUser) Check(string, string) bool { return true }

// Users checks passwords against bcrypt hashes. bcrypt is slow on purpose and some drivers send the password with every
// call, so a password that was right is remembered as a hash under a key of this process.
type Users struct {
	hashes map[string]string
	key    [32]byte

	mu       sync.Mutex
	verified map[string][32]byte // user to keyed hash of the password that was right
}

// NewUsers returns a check of names (keys) against bcrypt hashes (values).
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
	_, _ = hasher.Write([]byte(password)) // a hash takes all bytes and returns no error
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
