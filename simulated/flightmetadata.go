package simulated

import (
	"context"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	arrowsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql/schema_ref"
	"github.com/apache/arrow-go/v18/arrow/memory"
)

// metadataResult returns a result with a row for each value. All columns of the schema are text, and each holds the row's value.
func metadataResult(schema *arrow.Schema, values ...string) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer b.Release()
	for _, v := range values {
		for i := range schema.NumFields() {
			b.Field(i).(*array.StringBuilder).Append(v)
		}
	}
	out := make(chan flight.StreamChunk, 1)
	out <- flight.StreamChunk{Data: b.NewRecordBatch()}
	close(out)
	return schema, out, nil
}

var (
	catalogsSchema   = arrow.NewSchema([]arrow.Field{{Name: "catalog_name", Type: arrow.BinaryTypes.String}}, nil)
	tableTypesSchema = arrow.NewSchema([]arrow.Field{{Name: "table_type", Type: arrow.BinaryTypes.String}}, nil)
)

// GetFlightInfoCatalogs plans the list of catalogs. Drivers send this and the other metadata calls when they connect.
func (s *flightServer) GetFlightInfoCatalogs(_ context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.flightInfo(d, d.Cmd, nil), nil
}

// DoGetCatalogs returns one catalog.
func (s *flightServer) DoGetCatalogs(context.Context) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return metadataResult(catalogsSchema, "main")
}

// GetFlightInfoTableTypes plans the list of table types.
func (s *flightServer) GetFlightInfoTableTypes(_ context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.flightInfo(d, d.Cmd, nil), nil
}

// DoGetTableTypes returns one table type.
func (s *flightServer) DoGetTableTypes(context.Context) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return metadataResult(tableTypesSchema, "TABLE")
}

// GetFlightInfoSchemas plans the list of schemas.
func (s *flightServer) GetFlightInfoSchemas(_ context.Context, _ arrowsql.GetDBSchemas, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.flightInfo(d, d.Cmd, nil), nil
}

// DoGetDBSchemas returns one schema.
func (s *flightServer) DoGetDBSchemas(context.Context, arrowsql.GetDBSchemas) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return metadataResult(schema_ref.DBSchemas, "main")
}

// GetFlightInfoTables plans the list of tables.
func (s *flightServer) GetFlightInfoTables(_ context.Context, _ arrowsql.GetTables, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.flightInfo(d, d.Cmd, nil), nil
}

// DoGetTables returns one table.
func (s *flightServer) DoGetTables(context.Context, arrowsql.GetTables) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return metadataResult(schema_ref.Tables, "policy")
}

// GetFlightInfoXdbcTypeInfo plans the list of types.
func (s *flightServer) GetFlightInfoXdbcTypeInfo(_ context.Context, _ arrowsql.GetXdbcTypeInfo, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.flightInfo(d, d.Cmd, nil), nil
}

// DoGetXdbcTypeInfo returns one type. Its result has the column type_name alone.
func (s *flightServer) DoGetXdbcTypeInfo(context.Context, arrowsql.GetXdbcTypeInfo) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return metadataResult(arrow.NewSchema([]arrow.Field{{Name: "type_name", Type: arrow.BinaryTypes.String}}, nil), "BIGINT")
}
