package native

import (
	"encoding/binary"
	"fmt"
)

// Supported revisions of the protocol. A peer with a newer revision is served at NewestRevision; a client with an older one than
// OldestRevision is rejected.
const (
	OldestRevision = 54429 // settings are encoded as text
	NewestRevision = 54460 // Progress has the server's elapsed time
)

// Revisions that introduced a part of a packet.
const (
	revInterserver       = 54441 // interserver secret of a Query
	revTelemetry         = 54442 // trace context in the client info
	revDistributedDepth  = 54448 // depth of distributed queries in the client info
	revStartTime         = 54449 // start time of the query in the client info
	revParallelReplicas  = 54453 // settings of parallel replicas in the client info
	revSerializationKind = 54454 // serialization kind in the header of a column
	revAddendum          = 54458 // quota key after the server's Hello
	revParameters        = 54459 // parameters of a Query
	revProgressTime      = 54460 // server's elapsed time in Progress
)

// AddendumFrom is the first revision in which a client sends a quota key after the server's Hello.
const AddendumFrom = revAddendum

// Codes of the client's packets.
const (
	ClientHello  = 0
	ClientQuery  = 1
	ClientData   = 2
	ClientCancel = 3
	ClientPing   = 4
)

// Codes of the server's packets.
const (
	ServerHello         = 0
	ServerData          = 1
	ServerException     = 2
	ServerProgress      = 3
	ServerPong          = 4
	ServerEndOfStream   = 5
	ServerProfileInfo   = 6
	ServerTotals        = 7
	ServerExtremes      = 8
	ServerLog           = 10
	ServerTableColumns  = 11
	ServerProfileEvents = 14
)

// Limits of the parts of a packet.
const (
	maxNameBytes = 64 << 10 // of names, ids and other short texts
	maxTextBytes = 64 << 20 // of statements, values of settings and messages
	maxTypeDepth = 32       // levels of nested types
	maxColumns   = 100000   // of a block
)

// FormatError describes a part of a stream that is invalid or not supported.
type FormatError struct {
	Packet, Field string
	Offset        int    // bytes from the start of the packet
	Found         string // value of the field, or what is wrong with it
	Allowed       string // values that are accepted
}

// Error returns the packet, the field, its position, and the found and allowed values.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s, %s at byte %d: found %s, allowed: %s", e.Packet, e.Field, e.Offset, e.Found, e.Allowed)
}

// AppendUvarint appends a number as a varint.
func AppendUvarint(b []byte, v uint64) []byte { return binary.AppendUvarint(b, v) }

// AppendString appends the length of a text as a varint, then the text.
func AppendString[T ~string | ~[]byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}
