package native

import (
	"bytes"
	"encoding/binary"
	"strings"
)

// Values holds the values of a block as readable text.
type Values struct {
	Names   []string   // of the columns
	Columns [][]string // by column, then by row
}

// Rows returns the number of rows.
func (v *Values) Rows() int {
	if len(v.Columns) == 0 {
		return 0
	}
	return len(v.Columns[0])
}

// ReadValues decodes an uncompressed block.
func ReadValues(block []byte, revision int) (*Values, error) {
	r := NewReader(bytes.NewReader(block), len(block)+1)
	r.packet = "Data"
	v, rows := &Values{}, 0
	err := r.walkBlock(revision, func(n int) { rows = n }, func(name string, c columnType, raw []byte) error {
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

// decoder decodes the values of a column. walkBlock has read the bytes before, so there are enough of them.
type decoder struct{ raw []byte }

func (d *decoder) take(n int) []byte {
	b := d.raw[:n]
	d.raw = d.raw[n:]
	return b
}

func (d *decoder) prefix(c columnType) {
	if c.kind == lowCardinality {
		d.take(8)
		return
	}
	for _, o := range c.elements {
		d.prefix(o)
	}
}

// values returns the values of a column as text.
func (d *decoder) values(c columnType, rows int) []string {
	switch c.kind {
	case fixedWidth:
		return d.scalars(c, rows)
	case lengthPrefixed:
		return d.texts(rows)
	case nullable:
		return d.nullables(c, rows)
	case array:
		return d.arrays(c, rows)
	case tuple:
		return d.tuples(c, rows)
	case lowCardinality:
		return d.lowCardinality(c, rows)
	}
	return make([]string, rows)
}

func (d *decoder) scalars(c columnType, rows int) []string {
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

func (d *decoder) nullables(c columnType, rows int) []string {
	nullMap := d.take(rows)
	out := d.values(c.elements[0], rows)
	for i := range out {
		if nullMap[i] != 0 {
			out[i] = "NULL"
		}
	}
	return out
}

func (d *decoder) arrays(c columnType, rows int) []string {
	out := make([]string, rows)
	ends := d.take(8 * rows)
	if rows == 0 {
		return out
	}
	values := d.values(c.elements[0], int(binary.LittleEndian.Uint64(ends[len(ends)-8:])))
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

func (d *decoder) tuples(c columnType, rows int) []string {
	var elements [][]string
	for _, o := range c.elements {
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

// lowCardinality decodes a LowCardinality column; Reader.lowCardinalityValues describes its layout.
func (d *decoder) lowCardinality(c columnType, rows int) []string {
	out := make([]string, rows)
	if rows == 0 {
		return out
	}
	width := 1 << (binary.LittleEndian.Uint64(d.take(8)) & 0xff)
	values := d.values(c.elements[0], int(binary.LittleEndian.Uint64(d.take(8))))
	d.take(8) // number of keys, which is the number of rows
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
