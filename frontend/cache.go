package frontend

import (
	"container/list"
	"sync"
	"time"

	"github.com/zeebo/blake3"
)

// AnswerCache holds what nodes answer about statements, such as their schemas. It evicts the least recently used entry when it is full,
// and every entry expires after the same lifetime. Keys are stored as hashes, so that a statement of megabytes takes no more memory
// than a short one. It is safe for concurrent use.
type AnswerCache struct {
	maxEntries int
	lifetime   time.Duration

	mu      sync.Mutex
	order   *list.List                 // of *cacheEntry, the most recently used first
	entries map[[32]byte]*list.Element // by hash of the key
}

type cacheEntry struct {
	key    [32]byte // hash of the key
	value  []byte
	expiry time.Time
}

// maxCachedBytes is the size of the largest answer that is cached.
const maxCachedBytes = 64 << 10

// NewAnswerCache returns an empty cache.
func NewAnswerCache(maxEntries int, lifetime time.Duration) *AnswerCache {
	return &AnswerCache{maxEntries: maxEntries, lifetime: lifetime, order: list.New(), entries: map[[32]byte]*list.Element{}}
}

// Get returns the cached answer of a key, and whether there is one. The caller must not change the answer.
func (c *AnswerCache) Get(key string, now time.Time) ([]byte, bool) {
	hash := blake3.Sum256([]byte(key))
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[hash]
	if e == nil {
		return nil, false
	}
	entry := e.Value.(*cacheEntry)
	if now.After(entry.expiry) {
		c.order.Remove(e)
		delete(c.entries, hash)
		return nil, false
	}
	c.order.MoveToFront(e)
	return entry.value, true
}

// Put caches an answer, unless it has more than maxCachedBytes. It replaces an earlier answer of the same key.
func (c *AnswerCache) Put(key string, value []byte, now time.Time) {
	if len(value) > maxCachedBytes {
		return
	}
	hash := blake3.Sum256([]byte(key))
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entries[hash]; e != nil {
		c.order.Remove(e)
	}
	c.entries[hash] = c.order.PushFront(&cacheEntry{hash, value, now.Add(c.lifetime)})
	for c.order.Len() > c.maxEntries {
		last := c.order.Back()
		delete(c.entries, c.order.Remove(last).(*cacheEntry).key)
	}
}

// Delete removes the cached answer of a key.
func (c *AnswerCache) Delete(key string) {
	hash := blake3.Sum256([]byte(key))
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entries[hash]; e != nil {
		c.order.Remove(e)
		delete(c.entries, hash)
	}
}
