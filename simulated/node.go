// Package simulated has simulated peers of a dispatcher: query nodes that speak Flight SQL, the ClickHouse native protocol or the
// platform's line protocol, a name service, a control service, and a TCP relay that fails on demand. They are written from the
// public specifications; their costs are a model, not a measurement of any engine.
package simulated

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Node is a simulated query node of Flight SQL and the ClickHouse native protocol.
type Node struct {
	Name    string
	Address string // set by Start
	Native  string // address of the native protocol, set by Start
	// Revision is the newest of the native protocol that it speaks; 0: the newest there is.
	Revision int

	model Model

	mu              sync.Mutex // guards what follows
	rng             *rand.Rand
	process         *process
	currentFaults   Faults
	attempts        []*AttemptRecord
	changed         chan struct{} // closed and replaced at each change
	tokens          *Tokens       // to deduplicate updates by; nil: none
	nativeConns     int           // of the native protocol
	sessions        sessionState  // of the current process
	temporaryTables int           // tables on native connections
	tally           SessionRecord
}

// NewNode returns a node that is not started.
func NewNode(name string, m Model, seed uint64) *Node {
	return &Node{Name: name, model: m, changed: make(chan struct{}), tally: SessionRecord{Commits: map[string]int{}}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// Started is when the current process started; zero while the node is down.
func (n *Node) Started() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return time.Time{}
	}
	return n.process.started
}

// NativeConns is the number of open connections of the native protocol.
func (n *Node) NativeConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nativeConns
}

// Temporary is the number of temporary tables on native connections.
func (n *Node) Temporary() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.temporaryTables
}

// Freeze makes the node unresponsive: no reset, no answer, until it dies or restarts.
func (n *Node) Freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.flightListener.freeze()
		n.process.nativeListener.freeze()
	}
}
