package resolver

import (
	"math/rand/v2"
	"time"
)

const (
	queryLifetime     = 10 * time.Second // a response may take so long
	maxPendingQueries = 512
)

// query is one that was sent.
type query struct {
	serial uint64 // from 1, in the order of sending
	at     time.Time
}

// pendingQueries are the queries whose responses are accepted, by DNS ID.
type pendingQueries struct {
	byID       map[uint16]query
	lastSerial uint64
}

// add adds a query under an unused random ID, and drops those that are too old or too many.
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
