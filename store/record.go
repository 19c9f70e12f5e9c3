package store

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"embershunt/control"
	"embershunt/control/configv1"
	"embershunt/internal/flightwire"
)

// A record is a format version, a checksum (xxHash64 of what follows, big endian) and the set as protobuf fields: its number
// as field 1, the five resources as fields 2 to 6.
const (
	formatVersion  = 1
	checksumOffset = 1 // bytes
	bodyOffset     = 9 // bytes

	numberField        = 1
	firstResourceField = 2
	lastResourceField  = 6
)

func encode(set control.Set) ([]byte, error) {
	body := flightwire.AppendVarint(nil, numberField, set.Number)
	for i, m := range set.Resources() {
		b, err := proto.Marshal(m)
		if err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
		body = flightwire.AppendBytes(body, i+firstResourceField, b)
	}
	record := binary.BigEndian.AppendUint64([]byte{formatVersion}, xxhash.Sum64(body))
	return append(record, body...), nil
}

// decode returns the set of a record. An error says what is wrong with the record.
func decode(record []byte) (control.Set, error) {
	if len(record) < bodyOffset {
		return control.Set{}, fmt.Errorf("%d bytes, a record has %d or more", len(record), bodyOffset)
	}
	if record[0] != formatVersion {
		return control.Set{}, fmt.Errorf("format %d, known is %d", record[0], formatVersion)
	}
	body := bytes.Clone(record[bodyOffset:]) // bbolt's memory is valid during the transaction only
	stored := binary.BigEndian.Uint64(record[checksumOffset:bodyOffset])
	if sum := xxhash.Sum64(body); sum != stored {
		return control.Set{}, fmt.Errorf("checksum %016x, written was %016x", sum, stored)
	}
	fields, varints, err := flightwire.Fields(body)
	if err != nil {
		return control.Set{}, err
	}
	set := control.Set{Number: varints[numberField], Classes: &configv1.Classes{}, Tenants: &configv1.Tenants{},
		Limits: &configv1.Limits{}, Classification: &configv1.Classification{}, Fronts: &configv1.Fronts{}}
	resources := set.Resources()
	for _, f := range fields {
		if f.Number < firstResourceField || f.Number > lastResourceField {
			return control.Set{}, fmt.Errorf("field %d, known are 1 to 6", f.Number)
		}
		if err := proto.Unmarshal(f.Value, resources[f.Number-firstResourceField]); err != nil {
			return control.Set{}, fmt.Errorf("field %d: %w", f.Number, err)
		}
	}
	return set, nil
}
