package native

import (
	"encoding/binary"
	"fmt"
)

// Block is what a block tells at its head.
type Block struct{ Columns, Rows int }

// End tells that it is the empty block which ends data.
func (b Block) End() bool { return b.Columns == 0 && b.Rows == 0 }

// block reads a block: info, columns, rows, then each column.
func (r *Reader) block(revision int) (b Block, err error) {
	err = r.walk(revision, func(rows int) { b.Rows = rows }, func(string, column, []byte) error {
		b.Columns++
		return nil
	})
	return b, err
}

// walk reads a block and shows its rows, then each column with its values' bytes, which are valid until the next read.
func (r *Reader) walk(revision int, head func(rows int), show func(name string, c column, values []byte) error) error {
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
	head(rows)
	for range n {
		name, c, err := r.columnHead(revision)
		if err != nil {
			return err
		}
		at := len(r.raw)
		if rows > 0 {
			if err := r.prefix(c); err != nil {
				return err
			}
			if err := r.values(c, uint64(rows)); err != nil {
				return err
			}
		}
		if err := show(name, c, r.raw[at:]); err != nil {
			return err
		}
	}
	return nil
}

// blockInfo passes over the numbered fields before a block; 0 ends them.
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

// columnHead reads a column's name and type.
func (r *Reader) columnHead(revision int) (name string, c column, err error) {
	if name, err = r.text("name of a column", maxNameBytes); err != nil {
		return name, c, err
	}
	kind, err := r.text("type of a column", maxNameBytes)
	if err != nil {
		return name, c, err
	}
	if revision >= revSerialKind {
		special, err := r.byte("serialization")
		if err != nil {
			return name, c, err
		}
		if special != 0 {
			return name, c, r.formatError("serialization", fmt.Sprint(special), "0: others change with the data")
		}
	}
	if c, err = r.layout(kind); err != nil {
		err = r.formatError("type of a column", err.Error(), "a type of docs/design-native.md")
	}
	return name, c, err
}

// maxCachedTypes bounds the types remembered.
const maxCachedTypes = 200

// layout is parseType, remembered.
func (r *Reader) layout(name string) (column, error) {
	if c, ok := r.types[name]; ok {
		return c, nil
	}
	c, err := parseType(name, 0)
	if err == nil && len(name) <= 100 {
		if r.types == nil || len(r.types) >= maxCachedTypes {
			r.types = map[string]column{}
		}
		r.types[name] = c
	}
	return c, err
}

// prefix reads what stands before a column's values.
func (r *Reader) prefix(c column) error {
	if c.kind == lowCardinality {
		v, err := r.int64("version of a dictionary")
		if err == nil && v != 1 {
			err = r.formatError("version of a dictionary", fmt.Sprint(v), "1")
		}
		return err
	}
	for _, o := range c.of {
		if err := r.prefix(o); err != nil {
			return err
		}
	}
	return nil
}

// values reads the values of so many rows.
func (r *Reader) values(c column, rows uint64) error {
	if rows > uint64(r.maxPacket) { // each takes a byte or more
		return r.formatError("rows", fmt.Sprint(rows), fmt.Sprintf("packets of %d bytes at most", r.maxPacket))
	}
	switch c.kind {
	case fixed:
		_, err := r.take("values", rows*c.width)
		return err
	case text:
		for range rows {
			n, err := r.uvarint("length of a text")
			if err != nil {
				return err
			}
			if _, err = r.take("text", n); err != nil {
				return err
			}
		}
	case nullable:
		if _, err := r.take("marks of nothing", rows); err != nil {
			return err
		}
		return r.values(c.of[0], rows)
	case array:
		b, err := r.take("offsets", rows*8)
		if err != nil || rows == 0 {
			return err
		}
		return r.values(c.of[0], binary.LittleEndian.Uint64(b[len(b)-8:]))
	case tuple:
		for _, o := range c.of {
			if err := r.values(o, rows); err != nil {
				return err
			}
		}
	case lowCardinality:
		return r.dictionary(c, rows)
	}
	return nil
}

// dictionary reads a LowCardinality column: the width of its keys, its values, its keys.
func (r *Reader) dictionary(c column, rows uint64) error {
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
	if err := r.values(c.of[0], uint64(n)); err != nil {
		return err
	}
	keys, err := r.int64("count of keys")
	if err != nil {
		return err
	}
	if uint64(keys) != rows {
		return r.formatError("count of keys", fmt.Sprint(keys), fmt.Sprintf("%d, as the block has rows", rows))
	}
	_, err = r.take("keys", rows<<(flags&0xff))
	return err
}
