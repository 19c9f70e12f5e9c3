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

// A record consists of a format version (1 byte), a checksum (xxHash64 of the body, 8 bytes, big endian) and the body. The body
// is the set as protobuf fields: its number as field 1 and its five resources as fields 2 to 6, in the order of control.Kind.
const (
	formatVersion  = 1
	checksumOffset = 1 // bytes
	bodyOffset     = 9 // bytes

	numberField        = 1
	firstResourceField = 2
	lastResourceField  = 6
)

// encode returns the record of a set.
func encode(set control.Set) ([]byte, error) {
	body := flightwire.AppendVarint(nil, numberField, set.Number)
	for i, m := range set.Resources() {
		b, err := proto.Marshal(m)
		if err != nil {
			return nil, fmt.Errorf("store: encode %s of set %d: %w", control.Kind(i), set.Number, err)
		}
		body = flightwire.AppendBytes(body, i+firstResourceField, b)
	}
	record := binary.BigEndian.AppendUint64([]byte{formatVersion}, xxhash.Sum64(body))
	return append(record, body...), nil
}

// decode returns the set in a record. Its errors say how the record is damaged, without naming it: DamagedVersionError adds the entry.
func decode(record []byte) (control.Set, error) {
	if len(record) < bodyOffset {
		return control.Set{}, fmt.Errorf("truncated record: %d bytes, minimum is %d", len(record), bodyOffset)
	}
	if record[0] != formatVersion {
		return control.Set{}, fmt.Errorf("unknown record format %d, supported is %d", record[0], formatVersion)
	}
	body := bytes.Clone(record[bodyOffset:]) // the memory that bbolt returns is valid only during the transaction
	stored := binary.BigEndian.Uint64(record[checksumOffset:bodyOffset])
	if sum := xxhash.Sum64(body); sum != stored {
		return control.Set{}, fmt.Errorf("checksum mismatch: computed %016x, stored %016x", sum, stored)
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
			return control.Set{}, fmt.Errorf("unknown field %d, known are 1 to 6", f.Number)
		}
		if err := proto.Unmarshal(f.Value, resources[f.Number-firstResourceField]); err != nil {
			return control.Set{}, fmt.Errorf("field %d (%s): %w", f.Number, control.Kind(f.Number-firstResourceField), err)
		}
	}
	return set, nil
}
