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

// singleValue is a metadata answer with the same values in each text column.
func singleValue(schema *arrow.Schema, rows ...string) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer b.Release()
	for _, r := range rows {
		for i := range schema.NumFields() {
			b.Field(i).(*array.StringBuilder).Append(r)
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

// GetFlightInfoCatalogs and the others answer what a driver asks when it connects.
func (s *flightServer) GetFlightInfoCatalogs(_ context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.flightInfo(d, d.Cmd, nil), nil
}

// DoGetCatalogs names one catalog.
func (s *flightServer) DoGetCatalogs(context.Context) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return singleValue(catalogsSchema, "main")
}

// GetFlightInfoTableTypes plans the list of table types.
func (s *flightServer) GetFlightInfoTableTypes(_ context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.flightInfo(d, d.Cmd, nil), nil
}

// DoGetTableTypes names one table type.
func (s *flightServer) DoGetTableTypes(context.Context) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return singleValue(tableTypesSchema, "TABLE")
}

// GetFlightInfoSchemas plans the list of schemas.
func (s *flightServer) GetFlightInfoSchemas(_ context.Context, _ arrowsql.GetDBSchemas, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.flightInfo(d, d.Cmd, nil), nil
}

// DoGetDBSchemas names one schema.
func (s *flightServer) DoGetDBSchemas(context.Context, arrowsql.GetDBSchemas) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return singleValue(schema_ref.DBSchemas, "main")
}

// GetFlightInfoTables plans the list of tables.
func (s *flightServer) GetFlightInfoTables(_ context.Context, _ arrowsql.GetTables, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.flightInfo(d, d.Cmd, nil), nil
}

// DoGetTables names one table.
func (s *flightServer) DoGetTables(context.Context, arrowsql.GetTables) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return singleValue(schema_ref.Tables, "policy")
}

// GetFlightInfoXdbcTypeInfo plans the list of types.
func (s *flightServer) GetFlightInfoXdbcTypeInfo(_ context.Context, _ arrowsql.GetXdbcTypeInfo, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.flightInfo(d, d.Cmd, nil), nil
}

// DoGetXdbcTypeInfo names one type, without its other columns.
func (s *flightServer) DoGetXdbcTypeInfo(context.Context, arrowsql.GetXdbcTypeInfo) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return singleValue(arrow.NewSchema([]arrow.Field{{Name: "type_name", Type: arrow.BinaryTypes.String}}, nil), "BIGINT")
}
