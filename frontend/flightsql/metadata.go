package flightsql

import (
	"strconv"

	"github.com/apache/arrow-go/v18/arrow/flight"
	arrowsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"embershunt/internal/flightwire"
)

// isMetadata tells the commands that are passed on to a node as they are, through the module like any query.
func isMetadata(name string) bool {
	switch name {
	case "CommandGetCatalogs", "CommandGetDbSchemas", "CommandGetTables", "CommandGetTableTypes",
		"CommandGetXdbcTypeInfo", "CommandGetPrimaryKeys", "CommandGetExportedKeys", "CommandGetImportedKeys",
		"CommandGetCrossReference", "CommandGetSqlInfo":
		return true
	}
	return false
}

func formatInt(v int64) string { return strconv.FormatInt(v, 10) }

// info is what GetSqlInfo tells: of the dispatcher itself, since it, not a node, is what the client speaks with.
var info = func() *arrowsql.BaseServer {
	b := new(arrowsql.BaseServer)
	for id, v := range map[arrowsql.SqlInfo]any{
		arrowsql.SqlInfoFlightSqlServerName:         "embershunt",
		arrowsql.SqlInfoFlightSqlServerVersion:      "1",
		arrowsql.SqlInfoFlightSqlServerArrowVersion: "18",
		arrowsql.SqlInfoFlightSqlServerReadOnly:     false,
		arrowsql.SqlInfoFlightSqlServerSql:          true,
		arrowsql.SqlInfoFlightSqlServerSubstrait:    false,
		arrowsql.SqlInfoFlightSqlServerTransaction:  int32(arrowsql.SqlTransactionNone),
		arrowsql.SqlInfoFlightSqlServerCancel:       true,
	} {
		if err := b.RegisterSqlInfo(id, v); err != nil {
			panic(err) // the values are the ones above
		}
	}
	return b
}()

// wanted is the list of codes that a client asks for.
type wanted []uint32

func (w wanted) GetInfo() []uint32 { return w }

// sqlInfo answers CommandGetSqlInfo. It reads no data of anybody: the rows are our own.
func (f *Front) sqlInfo(cmd flightwire.Command, stream grpc.ServerStream) error {
	ids, err := flightwire.Uint32s(cmd.Body, 1)
	if err != nil {
		return malformed(err)
	}
	schema, chunks, err := info.DoGetSqlInfo(stream.Context(), wanted(ids))
	if err != nil {
		return err
	}
	w := flight.NewRecordWriter(dataStream{stream}, ipc.WithSchema(schema))
	defer w.Close()
	for chunk := range chunks {
		if chunk.Err != nil {
			return chunk.Err
		}
		err := w.Write(chunk.Data)
		chunk.Data.Release()
		if err != nil {
			return err
		}
	}
	return nil
}

// dataStream sends FlightData messages made here.
type dataStream struct{ stream grpc.ServerStream }

// Send implements flight.DataStreamWriter.
func (d dataStream) Send(data *flight.FlightData) error {
	b, err := proto.Marshal(data)
	if err != nil {
		return err
	}
	return d.stream.SendMsg(flightwire.NewFrame(b))
}
