package flightsql

import (
	"container/list"
	"sync"
	"time"

	"github.com/zeebo/blake3"
)

// schemaCache keeps what nodes said of statements: bounded in count, each for a stated life, the least used goes first.
// Keys are hashed, so a statement of megabytes costs no more than a short one.
type schemaCache struct {
	mu    sync.Mutex
	most  int
	life  time.Duration
	order *list.List // of *schemaEntry, the latest used first
	by    map[[32]byte]*list.Element
}

type schemaEntry struct {
	key    [32]byte
	value  []byte
	expiry time.Time
}

// schemaLargest is the largest answer that is kept, in bytes.
const schemaLargest = 64 << 10

func newSchemaCache(most int, life time.Duration) *schemaCache {
	return &schemaCache{most: most, life: life, order: list.New(), by: map[[32]byte]*list.Element{}}
}

func (c *schemaCache) get(key string, now time.Time) ([]byte, bool) {
	h := blake3.Sum256([]byte(key))
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.by[h]
	if e == nil {
		return nil, false
	}
	s := e.Value.(*schemaEntry)
	if now.After(s.expiry) {
		c.order.Remove(e)
		delete(c.by, h)
		return nil, false
	}
	c.order.MoveToFront(e)
	return s.value, true
}

func (c *schemaCache) put(key string, value []byte, now time.Time) {
	if len(value) > schemaLargest {
		return
	}
	h := blake3.Sum256([]byte(key))
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.by[h]; e != nil {
		c.order.Remove(e)
	}
	c.by[h] = c.order.PushFront(&schemaEntry{h, value, now.Add(c.life)})
	for c.order.Len() > c.most {
		last := c.order.Back()
		delete(c.by, c.order.Remove(last).(*schemaEntry).key)
	}
}
