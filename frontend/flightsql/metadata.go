package flightsql

import (
	"github.com/apache/arrow-go/v18/arrow/flight"
	arrowsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"embershunt/internal/flightwire"
)

// isMetadata reports whether a command asks for metadata. Such a command is forwarded to a node unchanged, as a query like any other;
// only DoGet of CommandGetSqlInfo is answered here.
func isMetadata(name string) bool {
	switch name {
	case "CommandGetCatalogs", "CommandGetDbSchemas", "CommandGetTables", "CommandGetTableTypes",
		"CommandGetXdbcTypeInfo", "CommandGetPrimaryKeys", "CommandGetExportedKeys", "CommandGetImportedKeys",
		"CommandGetCrossReference", "CommandGetSqlInfo":
		return true
	}
	return false
}

// serverInfo holds the answer to CommandGetSqlInfo. It describes the dispatcher, since that is the server that the client is
// connected to.
var serverInfo = func() *arrowsql.BaseServer {
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
			panic(err) // does not happen: every value above has the type that its id requires
		}
	}
	return b
}()

// infoCodes are the ids of the values that a client asks for.
type infoCodes []uint32

var _ arrowsql.GetSqlInfo = infoCodes(nil)

// GetInfo implements arrowsql.GetSqlInfo.
func (c infoCodes) GetInfo() []uint32 { return c }

// sendServerInfo answers CommandGetSqlInfo from serverInfo, without a node.
func sendServerInfo(cmd flightwire.Command, stream grpc.ServerStream) error {
	ids, err := flightwire.Uint32s(cmd.Body, 1)
	if err != nil {
		return malformed(err)
	}
	schema, chunks, err := serverInfo.DoGetSqlInfo(stream.Context(), infoCodes(ids))
	if err != nil {
		return err
	}
	w := flight.NewRecordWriter(dataStream{stream}, ipc.WithSchema(schema))
	defer func() { _ = w.Close() }() // fails only if the client has disconnected, which then needs no answer
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

// dataStream sends FlightData messages that the dispatcher itself builds.
type dataStream struct{ stream grpc.ServerStream }

var _ flight.DataStreamWriter = dataStream{}

// Send implements flight.DataStreamWriter.
func (d dataStream) Send(data *flight.FlightData) error {
	b, err := proto.Marshal(data)
	if err != nil {
		return err
	}
	return send(d.stream, b)
}
