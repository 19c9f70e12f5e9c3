package native

import (
	"encoding/binary"
	"fmt"
)

// Revisions: what is above Newest is negotiated down to it, what is below Oldest is turned away.
const (
	OldestRevision = 54429 // settings as text
	NewestRevision = 54460 // server time in Progress
)

// Revisions from which a part of a packet is there.
const (
	revInterserver  = 54441
	revTelemetry    = 54442
	revDepth        = 54448
	revStartTime    = 54449
	revReplicas     = 54453
	revSerialKind   = 54454
	revAddendum     = 54458
	revParameters   = 54459
	revProgressTime = 54460
)

// AddendumFrom is the revision from which a client sends a quota key behind the server's Hello.
const AddendumFrom = revAddendum

// Packets of the client.
const (
	ClientHello  = 0
	ClientQuery  = 1
	ClientData   = 2
	ClientCancel = 3
	ClientPing   = 4
)

// Packets of the server.
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

// Bounds of texts, in bytes.
const (
	maxNameBytes = 64 << 10
	maxTextBytes = 64 << 20
	maxTypeDepth = 32
	maxColumns   = 100000
)

// FormatError tells what in a stream cannot be read, and where: bytes since the packet began.
type FormatError struct {
	Packet, Field string
	At            int
	Found         string
	Allowed       string
}

// Error names the packet, the field and the byte.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s, %s at byte %d: found %s, allowed: %s", e.Packet, e.Field, e.At, e.Found, e.Allowed)
}

// PutUvarint appends a number.
func PutUvarint(b []byte, v uint64) []byte { return binary.AppendUvarint(b, v) }

// PutText appends a text with its length.
func PutText[T ~string | ~[]byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}
