package native

// Sink receives the packets of an answer and passes their bytes to the client. more means that more bytes from the node are
// already buffered, so that the packets may be flushed together with the next one. Forward blocks while the client is slow to read;
// so a slow client slows the node down.
type Sink interface {
	Forward(packets []byte, more bool) error
}

// Call is a query with everything that the frontend hands to the fleet to run it.
type Call struct {
	Query    Query
	Revision int // negotiated with the client; the query is sent to the node at the same revision
	Database string
	Tables   []byte   // packets of the external tables and of the empty block that ends them, as the client sent them
	Data     [][]byte // packets of an INSERT's rows and of the empty block that ends them, as sent; nil: the statement takes none
	Session  string   // id of the session whose state lives on one connection to its node; "": none
	Sample   bool     // request only the columns that an INSERT takes; nothing is inserted
	Sink     Sink
}
