package clickhouse

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/grpc/status"

	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/internal/native"
	"embershunt/session"
)

// Codes of Exceptions, named as in ClickHouse's ErrorCodes.cpp. docs/operators.md has the table of final answers.
const (
	codeBadArguments         int32 = 36
	codeNotImplemented       int32 = 48
	codeUnexpectedPacket     int32 = 101
	codeTimeoutExceeded      int32 = 159
	codeTooManyQueries       int32 = 202 // TOO_MANY_SIMULTANEOUS_QUERIES
	codeNoFreeConnection     int32 = 203
	codeNetworkError         int32 = 210
	codeAborted              int32 = 236
	codeMemoryLimitExceeded  int32 = 241
	codeQueryWasCancelled    int32 = 394
	codeAuthenticationFailed int32 = 516
	codeStandardException    int32 = 1001
	codeUnknownException     int32 = 1002
)

const (
	exceptionName       = "DB::Exception"
	minRetryAfterMillis = 50 // for a query that was rejected because too many bytes were buffered
	microsPerMilli      = 1000
	writeGrace          = 50 * time.Millisecond // how long the end of an answer waits for a write that is under way
)

// outcomeCodes maps the reasons of final answers that are not served to the codes of their Exceptions.
var outcomeCodes = map[dispatch.Reason]int32{
	dispatch.ReasonOverload:           codeTooManyQueries,
	dispatch.ReasonFull:               codeTooManyQueries,
	dispatch.ReasonClassRemoved:       codeNoFreeConnection,
	dispatch.ReasonDraining:           codeNoFreeConnection,
	dispatch.ReasonAttemptFailed:      codeStandardException,
	dispatch.ReasonResponseBroken:     codeNetworkError,
	dispatch.ReasonDeadline:           codeTimeoutExceeded,
	dispatch.ReasonInternal:           codeUnknownException,
	dispatch.ReasonClientDisconnected: codeQueryWasCancelled,
	dispatch.ReasonStopped:            codeAborted,
}

var (
	errPartialPacket = errors.New("a packet of the answer was written only in part: the connection cannot be used further")
	errAnswerEnded   = errors.New("packet after the end of the answer")
)

// write writes whole packets and flushes them.
func (c *connection) write(packets []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, err := c.writer.Write(packets); err != nil {
		return err
	}
	return c.writer.Flush()
}

// reject writes an Exception that originates in this frontend.
func (c *connection) reject(code int32, text string) {
	c.exceptionSent = true
	exception := &native.Exception{Code: code, Name: exceptionName, Message: exceptionName + ": " + text}
	_ = c.write(exception.Encode()) // if the connection is broken, the next read fails
}

// rejectUnreadable writes the Exception for a packet that could not be read or buffered.
func (c *connection) rejectUnreadable(err error) {
	var capacity *dispatch.CapacityError
	switch {
	case errors.As(err, &capacity) && capacity.QueryTooLarge:
		c.reject(codeMemoryLimitExceeded, "refused (QUERY_TOO_LARGE): "+capacity.Error())
	case errors.As(err, &capacity):
		c.reject(codeTooManyQueries, fmt.Sprintf("refused (%s): %v; trying again does no harm, come back in %d ms", dispatch.ReasonFull, capacity,
			max(capacity.RetryAfter/microsPerMilli, minRetryAfterMillis)))
	default:
		c.reject(codeUnexpectedPacket, err.Error())
	}
}

// rejectQuery writes the Exception for a query without an outcome: its hints are invalid, or its session rejected it or ended.
func (c *connection) rejectQuery(err error) {
	var ended *frontend.SessionError
	if !errors.As(err, &ended) {
		c.reject(codeBadArguments, err.Error())
		return
	}
	c.reject(sessionException(ended))
}

// sessionException returns the code and text of the Exception for a statement that its session rejected, or that failed because
// the session ended.
func sessionException(ended *frontend.SessionError) (code int32, text string) {
	code, final := codeAborted, "failed"
	switch ended.Reason {
	case session.ReasonTooManySessions, session.ReasonTooManyTables:
		code, final = codeTooManyQueries, "refused"
	case session.ReasonNodesUnknown:
		code, final = codeNoFreeConnection, "refused"
	case session.ReasonBusy, session.ReasonNoTransaction, session.ReasonTransactionOpen:
		code, final = codeBadArguments, "refused"
	}
	text = fmt.Sprintf("%s (%s)%s", final, ended.Reason, strings.TrimPrefix(ended.Error(), string(ended.Reason)))
	if ended.RetryAfter > 0 {
		text += fmt.Sprintf(", come back in %d ms", ended.RetryAfter.Milliseconds()+1)
	}
	return code, text
}

// answerSink receives the packets of one answer. An attempt may pass packets after its query has ended and the next query has begun;
// the sink rejects these, so that they are not written into the next answer.
type answerSink struct {
	connection *connection
	ended      bool // guarded by connection.mu
}

var _ native.Sink = (*answerSink)(nil)

// beginAnswer begins the answer of the next query.
func (c *connection) beginAnswer() {
	c.mu.Lock()
	c.answer, c.partial = &answerSink{connection: c}, false
	c.mu.Unlock()
}

// Forward implements native.Sink.
func (a *answerSink) Forward(packets []byte, more bool) error {
	c := a.connection
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.ended {
		return errAnswerEnded
	}
	_, err := c.writer.Write(packets)
	if err == nil && !more {
		err = c.writer.Flush()
	}
	c.partial = c.partial || err != nil
	return err
}

// endAnswer ends the current answer: the sink rejects every later packet. A write that a slow client blocks is interrupted after
// writeGrace.
func (c *connection) endAnswer() {
	t := time.AfterFunc(writeGrace, func() {
		_ = c.conn.SetWriteDeadline(inThePast) // fails only on a closed connection, where the write fails anyway
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	t.Stop()
	c.answer.ended = true
	_ = c.conn.SetWriteDeadline(time.Time{}) // fails only on a closed connection, where the next write fails anyway
}

// finish writes the end of an answer: EndOfStream for a cancelled query, an Exception for err, else the outcome. It writes nothing
// for a client that has disconnected. An error ends the connection.
func (c *connection) finish(v dispatch.Outcome, end ending, err error) error {
	switch {
	case end == clientDisconnected:
		return err
	case end == cancelled:
		c.endAnswer()
		if c.partial {
			return errPartialPacket
		}
		return c.write([]byte{native.ServerEndOfStream})
	case err != nil:
		c.rejectQuery(err)
		return nil
	}
	return c.writeOutcome(v)
}

// writeOutcome ends the current answer and writes the outcome of its query.
func (c *connection) writeOutcome(v dispatch.Outcome) error {
	c.endAnswer()
	if c.partial {
		return errPartialPacket
	}
	if v.Kind == dispatch.Served {
		unstreamed, _ := v.Result.([]byte)
		return c.write(append(unstreamed, native.ServerEndOfStream))
	}
	return c.write(outcomeException(v).Encode())
}

// outcomeException returns the Exception for an outcome that is not served.
func outcomeException(v dispatch.Outcome) *native.Exception {
	var fromNode *native.Exception
	if v.Reason == dispatch.ReasonStatement && errors.As(v.Cause, &fromNode) {
		return fromNode // unchanged
	}
	text := fmt.Sprintf("%s: %s (%s, %d attempts)", exceptionName, v.Kind, v.Reason, v.Attempts)
	if v.Kind == dispatch.Shed {
		text += "; trying again does no harm"
		if v.RetryAfter > 0 {
			text += fmt.Sprintf(", come back in %d ms", (v.RetryAfter+microsPerMilli-1)/microsPerMilli)
		}
	}
	if v.Cause != nil {
		s, _ := status.FromError(v.Cause) // for an error without a status, s has the error's text
		text += "; last attempt: " + s.Message()
	}
	return &native.Exception{Code: outcomeCodes[v.Reason], Name: exceptionName, Message: text}
}
