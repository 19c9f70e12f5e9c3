package native

import (
	"encoding/binary"
	"fmt"
)

// Block holds the numbers of columns and rows of a block.
type Block struct{ Columns, Rows int }

// IsEnd reports whether the block is the empty one that ends a sequence of Data packets.
func (b Block) IsEnd() bool { return b.Columns == 0 && b.Rows == 0 }

// block reads a block and returns its size.
func (r *Reader) block(revision int) (b Block, err error) {
	err = r.walkBlock(revision, func(rows int) { b.Rows = rows }, func(string, columnType, []byte) error {
		b.Columns++
		return nil
	})
	return b, err
}

// walkBlock reads a block: its info, the numbers of columns and rows, then each column. It calls onRows once and then onColumn for
// each column. The bytes of the values, with the column's prefix in front, are valid until the next read.
func (r *Reader) walkBlock(revision int, onRows func(rows int), onColumn func(name string, c columnType, values []byte) error) error {
	if err := r.blockInfo(); err != nil {
		return err
	}
	n, err := r.count("columns", maxColumns)
	if err != nil {
		return err
	}
	rows, err := r.count("rows", uint64(r.maxPacket))
	if err != nil {
		return err
	}
	onRows(rows)
	for range n {
		name, c, err := r.columnHeader(revision)
		if err != nil {
			return err
		}
		at := len(r.raw)
		if rows > 0 {
			if err := r.columnPrefix(c); err != nil {
				return err
			}
			if err := r.values(c, uint64(rows)); err != nil {
				return err
			}
		}
		if err := onColumn(name, c, r.raw[at:]); err != nil {
			return err
		}
	}
	return nil
}

// blockInfo skips the numbered fields at the start of a block, up to field number 0, which ends them.
func (r *Reader) blockInfo() error {
	for {
		field, err := r.uvarint("field of block info")
		if err != nil || field == 0 {
			return err
		}
		switch field {
		case 1:
			_, err = r.byte("overflows")
		case 2:
			_, err = r.int32("bucket")
		default:
			err = r.formatError("field of block info", fmt.Sprint(field), "0, 1 and 2")
		}
		if err != nil {
			return err
		}
	}
}

// columnHeader reads a column's name, type and, depending on the revision, the kind of its serialization.
func (r *Reader) columnHeader(revision int) (name string, c columnType, err error) {
	if name, err = r.text("name of a column", maxNameBytes); err != nil {
		return name, c, err
	}
	kind, err := r.text("type of a column", maxNameBytes)
	if err != nil {
		return name, c, err
	}
	if revision >= revSerializationKind {
		serialization, err := r.byte("serialization")
		if err != nil {
			return name, c, err
		}
		if serialization != 0 {
			return name, c, r.formatError("serialization", fmt.Sprint(serialization), "0 (default): other layouts depend on the data")
		}
	}
	if c, err = r.cachedType(kind); err != nil {
		err = r.formatError("type of a column", err.Error(), "a type that docs/design-native.md lists")
	}
	return name, c, err
}

const (
	maxCachedTypes         = 200 // a Reader that has more parsed types discards all of them
	maxCachedTypeNameBytes = 100 // types with longer names are not cached
)

// cachedType does the same as parseType and caches the result.
func (r *Reader) cachedType(name string) (columnType, error) {
	if c, ok := r.types[name]; ok {
		return c, nil
	}
	c, err := parseType(name, 0)
	if err == nil && len(name) <= maxCachedTypeNameBytes {
		if r.types == nil || len(r.types) >= maxCachedTypes {
			r.types = map[string]columnType{}
		}
		r.types[name] = c
	}
	return c, err
}

// columnPrefix reads the fields before a column's values: the dictionary version of each LowCardinality type in it.
func (r *Reader) columnPrefix(c columnType) error {
	if c.kind == lowCardinality {
		v, err := r.int64("version of a dictionary")
		if err == nil && v != 1 {
			err = r.formatError("version of a dictionary", fmt.Sprint(v), "1")
		}
		return err
	}
	for _, o := range c.elements {
		if err := r.columnPrefix(o); err != nil {
			return err
		}
	}
	return nil
}

// values reads the values of the given number of rows.
func (r *Reader) values(c columnType, rows uint64) error {
	if rows > uint64(r.maxPacket) { // each row takes at least one byte
		return r.formatError("rows", fmt.Sprint(rows), fmt.Sprintf("packets of %d bytes at most", r.maxPacket))
	}
	switch c.kind {
	case fixedWidth:
		_, err := r.take("values", rows*c.width)
		return err
	case lengthPrefixed:
		for range rows {
			n, err := r.uvarint("length of a string")
			if err != nil {
				return err
			}
			if _, err = r.take("string", n); err != nil {
				return err
			}
		}
	case nullable:
		if _, err := r.take("null map", rows); err != nil {
			return err
		}
		return r.values(c.elements[0], rows)
	case array:
		b, err := r.take("offsets", rows*8)
		if err != nil || rows == 0 {
			return err
		}
		return r.values(c.elements[0], binary.LittleEndian.Uint64(b[len(b)-8:]))
	case tuple:
		for _, o := range c.elements {
			if err := r.values(o, rows); err != nil {
				return err
			}
		}
	case lowCardinality:
		return r.lowCardinalityValues(c, rows)
	}
	return nil
}

// lowCardinalityValues reads a LowCardinality column: its flags, whose low byte is the width of the keys (as a power of 2, in
// bytes), the dictionary's size and values, then the number of keys and the keys.
func (r *Reader) lowCardinalityValues(c columnType, rows uint64) error {
	if rows == 0 {
		return nil
	}
	flags, err := r.int64("flags of a dictionary")
	if err != nil {
		return err
	}
	if w := flags & 0xff; w > 3 {
		return r.formatError("width of keys", fmt.Sprint(w), "0 to 3")
	}
	n, err := r.int64("size of a dictionary")
	if err != nil {
		return err
	}
	if err := r.values(c.elements[0], uint64(n)); err != nil {
		return err
	}
	keys, err := r.int64("count of keys")
	if err != nil {
		return err
	}
	if uint64(keys) != rows {
		return r.formatError("count of keys", fmt.Sprint(keys), fmt.Sprintf("%d, the number of rows", rows))
	}
	_, err = r.take("keys", rows<<(flags&0xff))
	return err
}
