package flightwire

// Kind tells what a node is asked to do.
type Kind int

// The kinds of call.
const (
	Get     Kind = iota // GetFlightInfo and DoGet of one command; the answer is a stream of frames
	Update              // DoPut of one update; the answer is one PutResult
	Schema              // GetSchema of one command; the answer is one SchemaResult
	Do                  // DoAction of Action; the answer is the body of its one Result
	Prepare             // what a node says of Text: the body of an ActionCreatePreparedStatementResult
)

// Sink takes the frames of an answer on their way to the client. Frame blocks while the client is slow, which is
// what holds the node back.
type Sink interface{ Frame(f *Frame) error }

// Call is one query as both the front and the fleet know it; what lies between does not look inside.
type Call struct {
	Kind    Kind
	Command []byte   // the Any to send; for prepared statements with parameters: empty
	Text    string   // the statement, where parameters are bound
	Action  Action   // of Do
	Tx      []byte   // the node's transaction that parameters are bound in
	Params  [][]byte // FlightData messages that bind parameters, in order
	Headers []string // key and value in turn, passed on to the node
	Sink    Sink     // where the frames of a Get go
}

// The call headers and the action that nodes may heed (docs/operators.md).
const (
	HeaderQuery     = "embershunt-query"           // id of the query
	HeaderAttempt   = "embershunt-attempt"         // number of the attempt, from 0
	HeaderPriority  = "embershunt-priority"        // 0 to 3
	HeaderMemory    = "embershunt-memory-mb"       // grant in MB; absent: the node's own choice
	HeaderSession   = "embershunt-session"         // name of the session that a transaction belongs to
	HeaderDrainsIn  = "embershunt-drains-in-ms"    // header to clients: their transaction's node takes its work for so long
	HeaderIdle      = "embershunt-session-idle-ms" // with BeginTransaction: roll it back after so long without a statement
	HeaderRan       = "embershunt-ran"             // trailer of a refusal: "no" proves that nothing ran
	ActionRelease   = "embershunt.release"         // body: name of a session whose state is to be ended, whatever it is
	ActionResources = "embershunt.terms"           // body: query id, priority and memory as fields 1, 2 and 3
)

// Ends of transactions and savepoints (FlightSql.proto, EndTransaction and EndSavepoint).
const (
	EndCommit   = 1 // END_TRANSACTION_COMMIT, END_SAVEPOINT_RELEASE
	EndRollback = 2
)
