// Package simulated provides simulated peers of a dispatcher for tests and demonstrations: query nodes that speak Flight SQL, the
// ClickHouse native protocol or the platform's line protocol, a name service, a control service, and a TCP relay that fails on demand.
// They are written from the public specifications; the costs of queries are a model, not a measurement of any engine.
package simulated

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Node is a simulated query node that serves Flight SQL and the ClickHouse native protocol.
type Node struct {
	Name          string
	Address       string // host:port of Flight SQL, set by Start
	NativeAddress string // host:port of the native protocol, set by Start; if set before, Start listens there
	// Revision is the newest revision of the native protocol that the node speaks; 0: native.NewestRevision.
	Revision int

	model MachineModel

	mu              sync.Mutex // guards the fields below
	rng             *rand.Rand
	process         *process // nil while the node is down
	currentFaults   Faults
	attempts        []*AttemptRecord
	changed         chan struct{} // closed and replaced at each call of change
	tokens          *DedupTokens  // deduplication tokens of updates; nil: updates are not deduplicated
	nativeConns     int           // open connections of the native protocol
	sessions        sessionState  // lost with the process
	temporaryTables int           // on open native connections
	sessionRecord   SessionRecord
}

// NewNode returns a node that is not started. seed is for the random choice of queries that the FailShare fault strikes.
func NewNode(name string, m MachineModel, seed uint64) *Node {
	return &Node{Name: name, model: m, changed: make(chan struct{}),
		sessionRecord: SessionRecord{CommitsBySession: map[string]int{}}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// Started returns when the current process started; zero while the node is down.
func (n *Node) Started() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return time.Time{}
	}
	return n.process.started
}

// NativeConns returns the number of open connections of the native protocol.
func (n *Node) NativeConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nativeConns
}

// TemporaryTables returns the number of temporary tables on open native connections.
func (n *Node) TemporaryTables() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.temporaryTables
}

// Freeze makes the node unresponsive until Crash: its connections stay open, but nothing is read or written.
func (n *Node) Freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.flightListener.freeze()
		n.process.nativeListener.freeze()
	}
}
