package native

// Sink takes the packets of an answer on their way to the client. Packet blocks while the client is slow, which is what
// holds the node back.
type Sink interface{ Packet(p Packet) error }

// Call is one query as both the front and the fleet know it.
type Call struct {
	Query    Query // without compression and external tables
	Revision int   // of the client's side; the node is asked at the same
	Database string
	Sink     Sink
}
