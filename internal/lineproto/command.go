package lineproto

import (
	"io"
	"strconv"
)

var _ io.WriterTo = (*Request)(nil)

// Request is a query in the form in which it is sent to a node.
type Request struct {
	ID        string
	Class     string
	Key       string // idempotency key; "": none
	MemoryMB  int64  // memory granted to the query; 0: the node decides
	Priority  int    // 0 to 3; below 0: the default
	TTLMillis int64  // how long the dispatcher waits for the answer; at least 1 is sent
	Text      string // the statement
}

// writeChunkBytes is the size of the buffer through which WriteTo writes: a long statement is not copied as a whole.
const writeChunkBytes = 4 << 10

// WriteTo implements io.WriterTo: it writes the GET command for the request, in one call of Write where the command is short. After an error
// the command may have been written in part.
func (q *Request) WriteTo(w io.Writer) (written int64, err error) {
	b := q.appendHeader(make([]byte, 0, min(len(q.Text)+estimatedHeaderBytes, writeChunkBytes)))
	for rest := q.Text; ; b = b[:0] {
		n := min(len(rest), cap(b)-len(b))
		b, rest = append(b, rest[:n]...), rest[n:]
		if rest == "" {
			b = append(b, "\r\n"...)
		}
		n, err = w.Write(b)
		written += int64(n)
		if err != nil || rest == "" {
			return written, err
		}
	}
}

// estimatedHeaderBytes is the size of a command's first line and of its end, as far as it is usual.
const estimatedHeaderBytes = 200

// appendHeader appends the first line of the GET command.
func (q *Request) appendHeader(b []byte) []byte {
	b = append(append(b, "GET "...), q.ID...)
	b = append(append(b, " lane="...), q.Class...)
	b = strconv.AppendInt(append(b, ",ttl="...), max(q.TTLMillis, 1), 10)
	if q.Key != "" {
		b = append(append(b, ",dedupe="...), q.Key...)
	}
	if q.MemoryMB > 0 {
		b = strconv.AppendInt(append(b, ",pool="...), q.MemoryMB, 10)
	}
	if q.Priority >= 0 {
		b = strconv.AppendInt(append(b, ",band="...), int64(q.Priority), 10)
	}
	b = strconv.AppendInt(append(b, ' '), int64(len(q.Text)), 10)
	return append(b, "\r\n"...)
}

// noArgument is the argument of a command that has no number.
const noArgument = -1

// AppendCancel appends the DROP command, which cancels a request.
func AppendCancel(b []byte, id string) []byte { return appendCommand(b, "DROP ", id, noArgument) }

// AppendSetPriority appends the RANK command, which changes the priority of a request.
func AppendSetPriority(b []byte, id string, priority int) []byte {
	return appendCommand(b, "RANK ", id, priority)
}

// AppendPage appends the PAGE command, which asks for one further page of a result.
func AppendPage(b []byte, id string, index int) []byte {
	return appendCommand(b, "PAGE ", id, index)
}

// AppendClose appends the CLOSE command, which lets the node discard the pages of a result.
func AppendClose(b []byte, id string) []byte { return appendCommand(b, "CLOSE ", id, noArgument) }

// AppendPing appends the PING command, which a node answers with a Pong that has the tag as its id.
func AppendPing(b []byte, tag string) []byte { return appendCommand(b, "PING ", tag, noArgument) }

// appendCommand appends a command that has an id and at most one number.
func appendCommand(b []byte, verb, id string, argument int) []byte {
	b = append(append(b, verb...), id...)
	if argument >= 0 {
		b = strconv.AppendInt(append(b, ' '), int64(argument), 10)
	}
	return append(b, "\r\n"...)
}
