package dispatch

// Attempt is one send of a query to a node.
type Attempt struct {
	Query        *Query
	Number       int // from 0
	Node         string
	Deadline     Micros // of the attempt; never after Query.Deadline
	StartBefore  Micros // it must not start later; 0: until Deadline
	MemoryMB     float64
	Priority     int  // 0 to 3
	HasResources bool // the gateway has set MemoryMB and Priority
}

// Fleet carries out the actions of the gateway. No method blocks. Every Send ends in exactly one AttemptEnded event, also after
// Cancel and also where nothing was sent.
type Fleet interface {
	Send(Attempt)
	// ForwardResponse forwards the response of an attempt after its ResponseReady event to the client.
	ForwardResponse(id string, number int)
	Cancel(id string, number int)
	// SetResources changes memory and priority of every attempt of the query that has not ended.
	SetResources(id string, memoryMB float64, priority int)
	HealthCheck(node string)
	WatchEndpoints()
	FetchEndpoints()
	SendGossip(peer int, data []byte)
}
