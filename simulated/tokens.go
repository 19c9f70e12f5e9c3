package simulated

import (
	"sync"
	"time"
)

// DedupTokens is the set of deduplication tokens that a group of nodes shares.
type DedupTokens struct {
	mu      sync.Mutex
	window  time.Duration        // dedup window
	claimed map[string]time.Time // when each token was last claimed with success
}

// NewDedupTokens returns an empty set that remembers each token for a dedup window.
func NewDedupTokens(window time.Duration) *DedupTokens {
	return &DedupTokens{window: window, claimed: map[string]time.Time{}}
}

// claim records a token and returns true, or returns false if the token was claimed within the window.
func (t *DedupTokens) claim(token string) bool {
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

// ShareTokens makes the node deduplicate updates by these tokens, together with the other nodes that share them.
func (n *Node) ShareTokens(t *DedupTokens) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tokens = t
}
