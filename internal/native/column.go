package native

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// column is how a column's bytes are laid out: enough to find its end, not to read it.
type column struct {
	name  string // of the type
	kind  layout
	width uint64 // of fixed ones
	of    []column
}

type layout int

const (
	fixed layout = iota
	text
	nullable
	array // offsets, then the values of all rows
	tuple
	lowCardinality
)

// widths are the types of a fixed width, in bytes a row.
var widths = map[string]uint64{"Int8": 1, "UInt8": 1, "Bool": 1, "Int16": 2, "UInt16": 2, "BFloat16": 2, "Int32": 4,
	"UInt32": 4, "Float32": 4, "Int64": 8, "UInt64": 8, "Float64": 8, "Int128": 16, "UInt128": 16, "Int256": 32,
	"UInt256": 32, "Date": 2, "Date32": 4, "DateTime": 4, "DateTime64": 8, "UUID": 16, "IPv4": 4, "IPv6": 16, "Enum8": 1,
	"Enum16": 2, "Decimal32": 4, "Decimal64": 8, "Decimal128": 16, "Decimal256": 32, "Nothing": 1, "Time": 4, "Time64": 8,
	"IntervalNanosecond": 8, "IntervalMicrosecond": 8, "IntervalMillisecond": 8, "IntervalSecond": 8, "IntervalMinute": 8,
	"IntervalHour": 8, "IntervalDay": 8, "IntervalWeek": 8, "IntervalMonth": 8, "IntervalQuarter": 8, "IntervalYear": 8}

// parseType reads a type's name. Types whose layout cannot be told from their name are an error.
func parseType(name string, depth int) (column, error) {
	name = strings.TrimSpace(name)
	c, err := layoutOf(name, depth)
	if c.name == "" {
		c.name = name
	}
	return c, err
}

func layoutOf(name string, depth int) (column, error) {
	if depth > typeDepth {
		return column{}, fmt.Errorf("types nested deeper than %d", typeDepth)
	}
	base, args, err := splitType(name)
	if err != nil {
		return column{}, err
	}
	if w, ok := widths[base]; ok {
		return column{kind: fixed, width: w}, nil
	}
	inner := func(i int) (column, error) {
		if i >= len(args) {
			return column{}, fmt.Errorf("type %.60q: argument %d is missing", name, i+1)
		}
		return parseType(args[i], depth+1)
	}
	wrap := func(kind layout, i int) (column, error) {
		c, err := inner(i)
		return column{kind: kind, of: []column{c}}, err
	}
	switch base {
	case "String":
		return column{kind: text}, nil
	case "FixedString":
		if len(args) == 1 {
			if n, err := strconv.ParseUint(args[0], 10, 24); err == nil && n > 0 {
				return column{kind: fixed, width: n}, nil
			}
		}
	case "Decimal":
		if len(args) > 0 {
			if p, err := strconv.Atoi(args[0]); err == nil {
				for _, w := range []struct {
					digits int
					width  uint64
				}{{9, 4}, {18, 8}, {38, 16}, {76, 32}} {
					if p > 0 && p <= w.digits {
						return column{kind: fixed, width: w.width}, nil
					}
				}
			}
		}
	case "Nullable":
		return wrap(nullable, 0)
	case "Array":
		return wrap(array, 0)
	case "LowCardinality":
		c, err := inner(0)
		if err == nil && c.kind == nullable { // the dictionary holds plain values, nothing among them
			c = c.of[0]
		}
		return column{kind: lowCardinality, of: []column{c}}, err
	case "SimpleAggregateFunction":
		return inner(1)
	case "Map":
		k, err := inner(0)
		if err != nil {
			return column{}, err
		}
		v, err := inner(1)
		return column{kind: array, of: []column{{kind: tuple, of: []column{k, v}}}}, err
	case "Tuple", "Nested":
		t := column{kind: tuple}
		for _, a := range args {
			c, err := parseType(withoutName(a), depth+1)
			if err != nil {
				return column{}, err
			}
			t.of = append(t.of, c)
		}
		if len(t.of) == 0 {
			break
		}
		if base == "Nested" {
			return column{kind: array, of: []column{t}}, nil
		}
		return t, nil
	case "Point":
		return parseType("Tuple(Float64, Float64)", depth+1)
	case "Ring", "LineString":
		return parseType("Array(Point)", depth+1)
	case "Polygon", "MultiLineString":
		return parseType("Array(Ring)", depth+1)
	case "MultiPolygon":
		return parseType("Array(Polygon)", depth+1)
	}
	return column{}, fmt.Errorf("type %.60q is not known, so the end of its column cannot be found", name)
}

// splitType splits "Map(String, Array(UInt8))" into its base and arguments.
func splitType(name string) (base string, args []string, err error) {
	open := strings.IndexByte(name, '(')
	if open < 0 {
		return name, nil, nil
	}
	if !strings.HasSuffix(name, ")") {
		return "", nil, fmt.Errorf("type %.60q: no closing bracket", name)
	}
	depth, quoted, from := 0, false, open+1
	for i := open; i < len(name); i++ {
		switch c := name[i]; {
		case quoted && c == '\\':
			i++
		case c == '\'':
			quoted = !quoted
		case quoted:
		case c == '(':
			depth++
		case c == ')':
			if depth--; depth == 0 {
				if i != len(name)-1 {
					return "", nil, fmt.Errorf("type %.60q: text behind its closing bracket", name)
				}
				if i > from {
					args = append(args, strings.TrimSpace(name[from:i]))
				}
			}
		case c == ',' && depth == 1:
			args = append(args, strings.TrimSpace(name[from:i]))
			from = i + 1
		}
	}
	if depth != 0 || quoted {
		return "", nil, fmt.Errorf("type %.60q: brackets or quotes that do not end", name)
	}
	return name[:open], args, nil
}

// withoutName takes the name off a tuple's element, "a UInt8".
func withoutName(arg string) string {
	space := strings.IndexByte(arg, ' ')
	if bracket := strings.IndexByte(arg, '('); space < 0 || bracket >= 0 && bracket < space {
		return arg
	}
	return arg[space+1:]
}

// prefix reads what stands before a column's values.
func (r *Reader) prefix(c column) error {
	if c.kind == lowCardinality {
		v, err := r.int64("version of a dictionary")
		if err == nil && v != 1 {
			err = r.wrong("version of a dictionary", fmt.Sprint(v), "1")
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
	if rows > uint64(r.most) { // each takes a byte or more
		return r.wrong("rows", fmt.Sprint(rows), fmt.Sprintf("packets of %d bytes at most", r.most))
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
		return r.wrong("width of keys", fmt.Sprint(w), "0 to 3")
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
		return r.wrong("count of keys", fmt.Sprint(keys), fmt.Sprintf("%d, as the block has rows", rows))
	}
	_, err = r.take("keys", rows<<(flags&0xff))
	return err
}

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

// typesMost bounds the types remembered.
const typesMost = 200

// layout is parseType, remembered.
func (r *Reader) layout(name string) (column, error) {
	if c, ok := r.types[name]; ok {
		return c, nil
	}
	c, err := parseType(name, 0)
	if err == nil && len(name) <= 100 {
		if r.types == nil || len(r.types) >= typesMost {
			r.types = map[string]column{}
		}
		r.types[name] = c
	}
	return c, err
}

// walk reads a block and shows its rows, then each column with its values' bytes, which are valid until the next read.
func (r *Reader) walk(revision int, head func(rows int), show func(name string, c column, values []byte) error) error {
	for {
		field, err := r.uvarint("field of block info")
		if err != nil {
			return err
		}
		if field == 0 {
			break
		}
		switch field {
		case 1:
			_, err = r.byte("overflows")
		case 2:
			_, err = r.int32("bucket")
		default:
			err = r.wrong("field of block info", fmt.Sprint(field), "0, 1 and 2")
		}
		if err != nil {
			return err
		}
	}
	n, err := r.count("columns", columns)
	if err != nil {
		return err
	}
	rows, err := r.count("rows", uint64(r.most))
	if err != nil {
		return err
	}
	head(rows)
	for range n {
		name, err := r.text("name of a column", nameMost)
		if err != nil {
			return err
		}
		kind, err := r.text("type of a column", nameMost)
		if err != nil {
			return err
		}
		if revision >= revSerialKind {
			special, err := r.byte("serialization")
			if err != nil {
				return err
			}
			if special != 0 {
				return r.wrong("serialization", fmt.Sprint(special), "0: others change with the data")
			}
		}
		c, err := r.layout(kind)
		if err != nil {
			return r.wrong("type of a column", err.Error(), "a type of docs/design-native.md")
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
