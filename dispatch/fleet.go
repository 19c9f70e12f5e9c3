package dispatch

// Attempt is one send of a query to a node.
type Attempt struct {
	Query        *Query
	Number       int // from 0
	Node         string
	Deadline     Micros  // of the attempt; never after Query.Deadline
	StartBefore  Micros  // the attempt must not start at or after this time; 0: limited by Deadline alone
	MemoryMB     float64 // memory grant
	Priority     int     // 0 to 3
	HasResources bool    // the gateway has set MemoryMB and Priority
}

// Fleet carries out the actions of the gateway. No method blocks. Every Send leads to exactly one AttemptEnded event, even after
// Cancel and even if nothing reached the node.
type Fleet interface {
	Send(Attempt)
	// ForwardResponse forwards the response of an attempt to the client, once the attempt's ResponseReady event has come.
	ForwardResponse(id string, number int)
	Cancel(id string, number int)
	// SetResources changes the memory grant and priority of the query's attempts in flight.
	SetResources(id string, memoryMB float64, priority int)
	HealthCheck(node string)
	WatchEndpoints()
	FetchEndpoints()
	SendGossip(peer int, data []byte)
}
