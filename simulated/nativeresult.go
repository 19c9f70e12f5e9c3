package simulated

import (
	"context"
	"strings"
	"time"

	"github.com/ClickHouse/ch-go/proto"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"embershunt/internal/native"
)

// scannedRows is the total number of scanned rows that the Progress packets of each query report.
const scannedRows = 1000

// Codes of ClickHouse exceptions.
const (
	codeUnknownTable   = 60
	codeSyntaxError    = 62
	codeTooManyQueries = 202
	codeMemoryLimit    = 241
	codeStdException   = 1001
)

// answer runs a statement and writes its answer. It returns false if the connection must be closed.
func (s *nativeServer) answer(ctx context.Context, q native.Query, attempt *AttemptRecord, insertedRows int) bool {
	h := parseHints(q.Text)
	if name := temporaryTable.FindString(q.Text); name != "" && !s.tables[name] && !strings.Contains(q.Text, "CREATE TEMPORARY") {
		s.node.change(func() { s.node.sessionRecord.Misplaced = append(s.node.sessionRecord.Misplaced, q.Text) })
		s.writeException(codeUnknownTable, "Table "+name+" does not exist")
		return true
	}
	reportedRows := 0
	err := s.node.runStatement(ctx, s.process, attempt, h, func(share float64) {
		scanned := int(share * scannedRows)
		if scanned <= reportedRows {
			return
		}
		total := 0
		if reportedRows == 0 {
			total = scannedRows
		}
		s.writeProgress(scanned-reportedRows, total)
		s.flush() // a failure shows again at the flush after the answer
		reportedRows = scanned
	})
	if ctx.Err() != nil && err != nil {
		return false
	}
	if err != nil {
		s.writeException(exceptionCode(err), err.Error())
		return true
	}
	s.trackTables(q.Text)
	s.writeProgress(scannedRows-reportedRows, 0)
	s.writeProfileEvents(h)
	if isUpdate(q.Text) {
		s.node.change(func() { attempt.Rows = insertedRows })
		s.write([]byte{native.ServerEndOfStream})
		return true
	}
	return s.writeResult(ctx, h, attempt)
}

// exceptionCode returns the ClickHouse exception code for an error returned by runStatement.
func exceptionCode(err error) int32 {
	switch status.Code(err) {
	case codes.InvalidArgument:
		return codeSyntaxError
	case codes.ResourceExhausted:
		return codeTooManyQueries
	}
	return codeStdException
}

// writeException writes an Exception packet.
func (s *nativeServer) writeException(code int32, message string) {
	s.write((&native.Exception{Code: code, Name: "DB::Exception", Message: "DB::Exception: " + message}).Encode())
}

// writeResult writes a query's rows and applies the StallAfterRows, CutAfterRows and FailMidAnswer faults between blocks. It
// returns false if the connection must be closed.
func (s *nativeServer) writeResult(ctx context.Context, h hints, attempt *AttemptRecord) bool {
	if s.writeRows(0, 0, h) != nil {
		return false
	}
	for sent := 0; sent < h.rows; {
		f := s.node.faults()
		switch {
		case f.StallAfterRows > 0 && sent >= f.StallAfterRows:
			s.flush() // the connection is closed anyway
			<-ctx.Done()
			return false
		case f.CutAfterRows > 0 && sent >= f.CutAfterRows: // in the middle of a block
			s.write([]byte{native.ServerData, 0, 1})
			s.flush() // the connection is closed anyway
			return false
		case f.FailMidAnswer && sent > 0:
			s.writeException(codeMemoryLimit, "memory limit")
			return true
		}
		n := nativeBlockRows(h, f, sent)
		if err := s.writeRows(sent, n, h); err != nil || ctx.Err() != nil {
			return false
		}
		sent += n
		s.node.change(func() { attempt.Rows = sent })
	}
	s.write([]byte{native.ServerEndOfStream})
	return true
}

// nativeBlockRows returns the number of rows of the next block, which ends at the row of a StallAfterRows or CutAfterRows fault.
func nativeBlockRows(h hints, f Faults, sent int) int {
	n := min(batchRows, h.rows-sent)
	if h.rowBytes > 0 {
		n = max(1, min(n, batchBytes/h.rowBytes))
	}
	if stop := f.StallAfterRows + f.CutAfterRows; stop > sent {
		n = min(n, stop-sent)
	}
	return n
}

// writeProgress writes a Progress packet: the rows read since the last packet, and by how many rows the expected total grows. All other
// counters are 0.
func (s *nativeServer) writeProgress(rows, total int) {
	s.write(native.AppendUvarint([]byte{native.ServerProgress}, uint64(rows)))
	s.write(native.AppendUvarint([]byte{0}, uint64(total)))
	s.write([]byte{0, 0})
	if s.revision >= native.NewestRevision {
		s.write([]byte{0})
	}
}

// writeProfileEvents writes a ProfileEvents packet with the query's CPU time and peak memory, as its hints state them.
func (s *nativeServer) writeProfileEvents(h hints) {
	var host proto.ColStr
	var at proto.ColDateTime
	var thread proto.ColUInt64
	var kind proto.ColEnum8
	var name proto.ColStr
	var value proto.ColInt64
	for event, v := range map[string]int64{"OSCPUVirtualTimeMicroseconds": h.work.Microseconds(), "MemoryTrackerPeakUsage": int64(h.memoryMB * 1e6)} {
		host.Append(s.node.Name)
		at.Append(time.Now())
		thread.Append(0)
		if kind = append(kind, 1); event == "MemoryTrackerPeakUsage" {
			kind[len(kind)-1] = 2
		}
		name.Append(event)
		value.Append(v)
	}
	input := proto.Input{{Name: "host_name", Data: &host}, {Name: "current_time", Data: &at}, {Name: "thread_id", Data: &thread},
		{Name: "type", Data: proto.Alias(&kind, "Enum8('increment' = 1, 'gauge' = 2)")}, {Name: "name", Data: &name}, {Name: "value", Data: &value}}
	var b proto.Buffer
	b.PutUVarInt(native.ServerProfileEvents)
	b.PutString("")
	if (proto.Block{Rows: 2, Columns: len(input), Info: proto.BlockInfo{BucketNum: -1}}).EncodeBlock(&b, s.revision, input) == nil {
		s.write(b.Buf)
	}
}

// writeRows writes a Data packet of n rows. The row numbers begin with from.
func (s *nativeServer) writeRows(from, n int, h hints) error {
	names := new(proto.ColStr)
	var numbers proto.ColInt64
	payload := new(proto.ColStr)
	for i := range n {
		names.Append(s.node.Name)
		numbers.Append(int64(from + i))
		payload.AppendBytes(make([]byte, h.rowBytes))
	}
	input := proto.Input{{Name: "node", Data: names}, {Name: "row", Data: numbers}}
	if h.rowBytes > 0 {
		input = append(input, proto.InputColumn{Name: "payload", Data: payload})
	}
	return s.writeBlock(input, n)
}

// writeBlock writes a Data packet, with its block compressed if the client asked for compression.
func (s *nativeServer) writeBlock(input proto.Input, rows int) error {
	var b proto.Buffer
	if err := (proto.Block{Rows: rows, Columns: len(input), Info: proto.BlockInfo{BucketNum: -1}}).EncodeBlock(&b, s.revision, input); err != nil {
		return err
	}
	s.write([]byte{native.ServerData, 0})
	content := b.Buf
	if s.compression != nil {
		if err := s.compression.Compress(content); err != nil {
			return err
		}
		content = s.compression.Data
	}
	_, err := s.w.Write(content)
	return err
}
