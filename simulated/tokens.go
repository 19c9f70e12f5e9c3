package simulated

import (
	"sync"
	"time"
)

// Tokens are the deduplication tokens that a group of nodes shares.
type Tokens struct {
	mu      sync.Mutex
	window  time.Duration
	claimed map[string]time.Time // when each was claimed last
}

// NewTokens returns a set that remembers each token for a window of time.
func NewTokens(window time.Duration) *Tokens {
	return &Tokens{window: window, claimed: map[string]time.Time{}}
}

// claim records a token; false where it was claimed within the window.
func (t *Tokens) claim(token string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	at, ok := t.claimed[token]
	if ok && now.Sub(at) < t.window {
		return false
	}
	t.claimed[token] = now
	return true
}

// Share has the node deduplicate by these tokens, with the other nodes that share them.
func (n *Node) Share(t *Tokens) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tokens = t
}
