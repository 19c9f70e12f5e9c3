package simulated

import (
	"context"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// resultSchema is the schema of results without a payload column.
var resultSchema = arrow.NewSchema([]arrow.Field{{Name: "node", Type: arrow.BinaryTypes.String},
	{Name: "row", Type: arrow.PrimitiveTypes.Int64}}, nil)

// wideSchema is the schema of results with a payload column.
var wideSchema = arrow.NewSchema(append(resultSchema.Fields(),
	arrow.Field{Name: "payload", Type: arrow.BinaryTypes.Binary}), nil)

// schemaOf returns the schema of the result of a statement with these hints.
func schemaOf(h hints) *arrow.Schema {
	if h.rowBytes > 0 {
		return wideSchema
	}
	return resultSchema
}

// Limits of a batch of a result: its rows, and the bytes of its payload column. A single row may exceed batchBytes.
const (
	batchRows  = 1024
	batchBytes = 256 << 10
)

// streamRows sends the batches of a result to out, applies the StallAfterRows and CutAfterRows faults between them, and closes out.
func (s *flightServer) streamRows(ctx context.Context, h hints, attempt *AttemptRecord, out chan<- flight.StreamChunk) {
	defer close(out)
	for sent := 0; sent < h.rows; {
		f := s.node.faults()
		if f.StallAfterRows > 0 && sent >= f.StallAfterRows {
			select {
			case <-ctx.Done():
			case <-s.ctx.Done():
			}
			return
		}
		if f.CutAfterRows > 0 && sent >= f.CutAfterRows {
			select {
			case out <- flight.StreamChunk{Err: status.Error(codes.Unavailable, "cut off")}:
			case <-ctx.Done():
			}
			return
		}
		n := flightBatchRows(h, f, sent)
		select {
		case out <- flight.StreamChunk{Data: recordBatch(s.node.Name, h, sent, n)}:
		case <-ctx.Done():
			return
		}
		sent += n
		s.node.change(func() { attempt.Rows = sent })
	}
}

// flightBatchRows returns the number of rows of the next batch, which ends at the row of a StallAfterRows or CutAfterRows fault.
func flightBatchRows(h hints, f Faults, sent int) int {
	n := batchRows
	if h.rowBytes > 0 {
		n = max(1, min(n, batchBytes/h.rowBytes))
	}
	n = min(n, h.rows-sent)
	for _, stop := range []int{f.StallAfterRows, f.CutAfterRows} {
		if stop > sent {
			n = min(n, stop-sent)
		}
	}
	return n
}

// recordBatch returns a batch of n rows of a result. The row numbers begin with from.
func recordBatch(node string, h hints, from, n int) arrow.RecordBatch {
	b := array.NewRecordBuilder(memory.DefaultAllocator, schemaOf(h))
	defer b.Release()
	for i := range n {
		b.Field(0).(*array.StringBuilder).Append(node)
		b.Field(1).(*array.Int64Builder).Append(int64(from + i))
		if h.rowBytes > 0 {
			b.Field(2).(*array.BinaryBuilder).Append(make([]byte, h.rowBytes))
		}
	}
	return b.NewRecordBatch()
}
