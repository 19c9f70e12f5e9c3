package native

// Sink takes the bytes of an answer on their way to the client, packet by packet; more tells that another one is at hand,
// so that both may go out together. Pass blocks while the client is slow, which is what holds the node back.
type Sink interface {
	Pass(packets []byte, more bool) error
}

// Call is one query as both the front and the fleet know it.
type Call struct {
	Query    Query
	Revision int // of the client's side; the node is asked at the same
	Database string
	Tables   []byte   // external tables and the empty block behind them, as the client sent them
	Data     [][]byte // rows of an INSERT and the empty block behind them, likewise; nil: the statement takes none
	Session  string   // name of the session whose state lives on one connection to its node; "": none
	Sample   bool     // only the columns that an INSERT takes are wanted: nothing runs
	Sink     Sink
}
