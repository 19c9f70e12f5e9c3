package native

import (
	"bytes"
	"encoding/binary"
	"strings"
)

// Values are the columns of a block as text, for people to read.
type Values struct {
	Names   []string
	Columns [][]string // by column
}

// Rows is the number of rows.
func (v *Values) Rows() int {
	if len(v.Columns) == 0 {
		return 0
	}
	return len(v.Columns[0])
}

// ReadValues reads a block without compression.
func ReadValues(block []byte, revision int) (*Values, error) {
	r := NewReader(bytes.NewReader(block), len(block)+1)
	r.packet = "Data"
	v, rows := &Values{}, 0
	err := r.walk(revision, func(n int) { rows = n }, func(name string, c column, raw []byte) error {
		d := decoder{raw}
		if rows > 0 {
			d.prefix(c)
		}
		cells := []string{}
		if rows > 0 {
			cells = d.values(c, rows)
		}
		v.Names, v.Columns = append(v.Names, name), append(v.Columns, cells)
		return nil
	})
	return v, err
}

// decoder reads values whose bounds the walk has checked.
type decoder struct{ raw []byte }

func (d *decoder) take(n int) []byte {
	b := d.raw[:n]
	d.raw = d.raw[n:]
	return b
}

func (d *decoder) prefix(c column) {
	if c.kind == lowCardinality {
		d.take(8)
		return
	}
	for _, o := range c.of {
		d.prefix(o)
	}
}

// values are the column's values as text.
func (d *decoder) values(c column, rows int) []string {
	switch c.kind {
	case fixed:
		return d.scalars(c, rows)
	case text:
		return d.texts(rows)
	case nullable:
		return d.nullables(c, rows)
	case array:
		return d.arrays(c, rows)
	case tuple:
		return d.tuples(c, rows)
	case lowCardinality:
		return d.dictionary(c, rows)
	}
	return make([]string, rows)
}

func (d *decoder) scalars(c column, rows int) []string {
	out := make([]string, rows)
	for i := range out {
		out[i] = scalar(c.name, d.take(int(c.width)))
	}
	return out
}

func (d *decoder) texts(rows int) []string {
	out := make([]string, rows)
	for i := range out {
		n, k := binary.Uvarint(d.raw)
		d.take(k)
		out[i] = string(d.take(int(n)))
	}
	return out
}

func (d *decoder) nullables(c column, rows int) []string {
	marks := d.take(rows)
	out := d.values(c.of[0], rows)
	for i := range out {
		if marks[i] != 0 {
			out[i] = "NULL"
		}
	}
	return out
}

func (d *decoder) arrays(c column, rows int) []string {
	out := make([]string, rows)
	ends := d.take(8 * rows)
	if rows == 0 {
		return out
	}
	values := d.values(c.of[0], int(binary.LittleEndian.Uint64(ends[len(ends)-8:])))
	from := 0
	for i := range out {
		to := int(binary.LittleEndian.Uint64(ends[8*i:]))
		if from > to || to > len(values) {
			out[i], to = "?", from
		} else {
			out[i] = "[" + strings.Join(values[from:to], ",") + "]"
		}
		from = to
	}
	return out
}

func (d *decoder) tuples(c column, rows int) []string {
	var elements [][]string
	for _, o := range c.of {
		elements = append(elements, d.values(o, rows))
	}
	out := make([]string, rows)
	for i := range out {
		row := make([]string, len(elements))
		for j := range elements {
			row[j] = elements[j][i]
		}
		out[i] = "(" + strings.Join(row, ",") + ")"
	}
	return out
}

// dictionary decodes a LowCardinality column: the width of its keys, its values, its keys.
func (d *decoder) dictionary(c column, rows int) []string {
	out := make([]string, rows)
	if rows == 0 {
		return out
	}
	width := 1 << (binary.LittleEndian.Uint64(d.take(8)) & 0xff)
	values := d.values(c.of[0], int(binary.LittleEndian.Uint64(d.take(8))))
	d.take(8) // count of keys: one a row
	isNullable := strings.HasPrefix(c.name, "LowCardinality(Nullable")
	for i := range out {
		key := make([]byte, 8)
		copy(key, d.take(width))
		k := binary.LittleEndian.Uint64(key)
		switch {
		case k >= uint64(len(values)):
		case k == 0 && isNullable:
			out[i] = "NULL"
		default:
			out[i] = values[k]
		}
	}
	return out
}
