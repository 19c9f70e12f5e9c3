package frontend

import (
	"container/list"
	"sync"
	"time"

	"github.com/zeebo/blake3"
)

// Cache keeps what nodes said of statements: bounded in count, each for a stated life, the least used goes first.
// Keys are hashed, so a statement of megabytes costs no more than a short one.
type Cache struct {
	mu    sync.Mutex
	most  int
	life  time.Duration
	order *list.List // of *cached, the latest used first
	by    map[[32]byte]*list.Element
}

type cached struct {
	key    [32]byte
	value  []byte
	expiry time.Time
}

// cachedLargest is the largest answer that is kept, in bytes.
const cachedLargest = 64 << 10

// NewCache returns a cache of so many answers, each of which is kept for its life.
func NewCache(most int, life time.Duration) *Cache {
	return &Cache{most: most, life: life, order: list.New(), by: map[[32]byte]*list.Element{}}
}

// Get returns what is kept for a key.
func (c *Cache) Get(key string, now time.Time) ([]byte, bool) {
	h := blake3.Sum256([]byte(key))
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.by[h]
	if e == nil {
		return nil, false
	}
	s := e.Value.(*cached)
	if now.After(s.expiry) {
		c.order.Remove(e)
		delete(c.by, h)
		return nil, false
	}
	c.order.MoveToFront(e)
	return s.value, true
}

// Put keeps an answer, unless it is too large.
func (c *Cache) Put(key string, value []byte, now time.Time) {
	if len(value) > cachedLargest {
		return
	}
	h := blake3.Sum256([]byte(key))
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.by[h]; e != nil {
		c.order.Remove(e)
	}
	c.by[h] = c.order.PushFront(&cached{h, value, now.Add(c.life)})
	for c.order.Len() > c.most {
		last := c.order.Back()
		delete(c.by, c.order.Remove(last).(*cached).key)
	}
}

// Drop forgets what is kept for a key.
func (c *Cache) Drop(key string) {
	h := blake3.Sum256([]byte(key))
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.by[h]; e != nil {
		c.order.Remove(e)
		delete(c.by, h)
	}
}
