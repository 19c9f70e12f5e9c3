package simulated

import (
	"sync"
	"time"
)

// Tokens is the set of deduplication tokens that a group of nodes shares.
type Tokens struct {
	mu      sync.Mutex
	window  time.Duration        // dedup window
	claimed map[string]time.Time // when each token was last claimed with success
}

// NewTokens returns an empty set that remembers each token for a dedup window.
func NewTokens(window time.Duration) *Tokens {
	return &Tokens{window: window, claimed: map[string]time.Time{}}
}

// claim records a token and returns true, or returns false if the token was claimed within the window.
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

// Share makes the node deduplicate updates by these tokens, together with the other nodes that share them.
func (n *Node) Share(t *Tokens) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tokens = t
}
