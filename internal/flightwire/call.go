package flightwire

// Kind is the kind of a call: which Flight methods a node is called with, and the form of its answer.
type Kind int

// The kinds of call.
const (
	Get      Kind = iota // GetFlightInfo and DoGet of one command; the answer is a stream of frames
	Update               // DoPut of one update; the answer is one PutResult
	Schema               // GetSchema of one command; the answer is one SchemaResult
	DoAction             // DoAction of Action; the answer is the body of its one Result
	Prepare              // CreatePreparedStatement of Text; the answer is the body of an ActionCreatePreparedStatementResult
)

// Sink sends the frames of an answer to the client. Frame blocks while the client is slow, so that the node is not read
// from faster than the client receives.
type Sink interface{ Frame(f *Frame) error }

// Call is one query as the frontend hands it to the fleet; the dispatcher between the two does not look into it.
type Call struct {
	Kind              Kind
	Command           []byte   // the Any to send; empty where parameters are bound
	Text              string   // the statement, where parameters are bound
	Action            Action   // of DoAction
	TransactionHandle []byte   // the node's handle of the transaction in which parameters are bound; nil: none
	Params            [][]byte // FlightData messages that bind parameters, in order
	Headers           []string // call headers for the node: key and value in turn
	Sink              Sink     // receives the frames of a Get
}

// Call headers, trailers and actions of this service, beyond Flight SQL; nodes need not support them (docs/operators.md).
const (
	HeaderQuery     = "embershunt-query"           // id of the query
	HeaderAttempt   = "embershunt-attempt"         // number of the attempt, from 0
	HeaderPriority  = "embershunt-priority"        // 0 to 3
	HeaderMemory    = "embershunt-memory-mb"       // grant in MB; absent: the node's own choice
	HeaderSession   = "embershunt-session"         // name of the session that a transaction belongs to
	HeaderDrainsIn  = "embershunt-drains-in-ms"    // header to clients: how long the node of their transaction still accepts its statements
	HeaderIdle      = "embershunt-session-idle-ms" // with BeginTransaction: the node rolls back after so long without a statement
	TrailerRan      = "embershunt-ran"             // trailer of a rejection: "no" means that nothing ran
	ActionRelease   = "embershunt.release"         // body: name of a session; the node drops all state of it
	ActionResources = "embershunt.terms"           // body: field 1 query id, field 2 priority + 1, field 3 memory in MB
)

// Ends of transactions and savepoints (FlightSql.proto, EndTransaction and EndSavepoint).
const (
	EndCommit   = 1 // END_TRANSACTION_COMMIT, END_SAVEPOINT_RELEASE
	EndRollback = 2 // END_TRANSACTION_ROLLBACK, END_SAVEPOINT_ROLLBACK
)
