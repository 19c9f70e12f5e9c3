package resolver

import (
	"math/rand/v2"
	"time"
)

const (
	queryLifetime     = 10 * time.Second // how long a query waits for its response
	maxPendingQueries = 512
)

// query identifies a query that was sent.
type query struct {
	serial uint64    // from 1, in the order of sending
	at     time.Time // when it was sent
}

// pendingQueries holds the queries whose responses are accepted.
type pendingQueries struct {
	byID       map[uint16]query // by DNS ID
	lastSerial uint64
}

// add adds a query under an unused random ID and returns the ID. It drops queries older than queryLifetime and,
// when maxPendingQueries are pending, also those sent maxPendingQueries or more queries ago.
func (p *pendingQueries) add(now time.Time) uint16 {
	for id, q := range p.byID {
		if now.Sub(q.at) > queryLifetime || len(p.byID) >= maxPendingQueries && q.serial+maxPendingQueries <= p.lastSerial+1 {
			delete(p.byID, id)
		}
	}
	for {
		id := uint16(rand.Uint32())
		if _, used := p.byID[id]; !used {
			p.lastSerial++
			p.byID[id] = query{serial: p.lastSerial, at: now}
			return id
		}
	}
}

func (p *pendingQueries) remove(id uint16) { delete(p.byID, id) }
