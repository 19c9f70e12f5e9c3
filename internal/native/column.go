package native

import (
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
var widths = map[string]uint64{
	"Int8": 1, "Int16": 2, "Int32": 4, "Int64": 8, "Int128": 16, "Int256": 32,
	"UInt8": 1, "UInt16": 2, "UInt32": 4, "UInt64": 8, "UInt128": 16, "UInt256": 32,
	"Bool": 1, "BFloat16": 2, "Float32": 4, "Float64": 8,
	"Decimal32": 4, "Decimal64": 8, "Decimal128": 16, "Decimal256": 32,
	"Date": 2, "Date32": 4, "DateTime": 4, "DateTime64": 8, "Time": 4, "Time64": 8,
	"UUID": 16, "IPv4": 4, "IPv6": 16, "Enum8": 1, "Enum16": 2, "Nothing": 1,
	"IntervalNanosecond": 8, "IntervalMicrosecond": 8, "IntervalMillisecond": 8, "IntervalSecond": 8,
	"IntervalMinute": 8, "IntervalHour": 8, "IntervalDay": 8, "IntervalWeek": 8, "IntervalMonth": 8,
	"IntervalQuarter": 8, "IntervalYear": 8,
}

// parseType reads a type's name. Types whose layout cannot be told from their name are an error.
func parseType(name string, depth int) (column, error) {
	name = strings.TrimSpace(name)
	c, err := layoutOf(name, depth)
	if c.name == "" {
		c.name = name
	}
	return c, err
}

// aliases are types that stand for another one.
var aliases = map[string]string{
	"Point":           "Tuple(Float64, Float64)",
	"Ring":            "Array(Point)",
	"LineString":      "Array(Point)",
	"Polygon":         "Array(Ring)",
	"MultiLineString": "Array(Ring)",
	"MultiPolygon":    "Array(Polygon)",
}

func layoutOf(name string, depth int) (column, error) {
	if depth > maxTypeDepth {
		return column{}, fmt.Errorf("types nested deeper than %d", maxTypeDepth)
	}
	base, args, err := splitType(name)
	if err != nil {
		return column{}, err
	}
	if width, ok := widths[base]; ok {
		return column{kind: fixed, width: width}, nil
	}
	if alias, ok := aliases[base]; ok {
		return parseType(alias, depth+1)
	}
	t := typeName{name: name, base: base, args: args, depth: depth}
	switch base {
	case "String":
		return column{kind: text}, nil
	case "FixedString":
		return t.fixedString()
	case "Decimal":
		return t.decimal()
	case "Nullable":
		return t.wrap(nullable)
	case "Array":
		return t.wrap(array)
	case "LowCardinality":
		return t.dictionary()
	case "SimpleAggregateFunction":
		return t.argument(1)
	case "Map":
		return t.mapping()
	case "Tuple", "Nested":
		return t.tuple()
	}
	return column{}, t.unknown()
}

// typeName is a type's name, taken apart.
type typeName struct {
	name, base string
	args       []string
	depth      int // at which it is nested
}

func (t *typeName) unknown() error {
	return fmt.Errorf("type %.60q is not known, so the end of its column cannot be found", t.name)
}

// argument is the layout of the type's i-th argument.
func (t *typeName) argument(i int) (column, error) {
	if i >= len(t.args) {
		return column{}, fmt.Errorf("type %.60q: argument %d is missing", t.name, i+1)
	}
	return parseType(t.args[i], t.depth+1)
}

// wrap is a layout around that of the first argument.
func (t *typeName) wrap(kind layout) (column, error) {
	c, err := t.argument(0)
	return column{kind: kind, of: []column{c}}, err
}

func (t *typeName) fixedString() (column, error) {
	if len(t.args) == 1 {
		if n, err := strconv.ParseUint(t.args[0], 10, 24); err == nil && n > 0 {
			return column{kind: fixed, width: n}, nil
		}
	}
	return column{}, t.unknown()
}

// decimalWidths are the bytes that decimals of up to so many digits take.
var decimalWidths = []struct {
	digits int
	width  uint64
}{{9, 4}, {18, 8}, {38, 16}, {76, 32}}

func (t *typeName) decimal() (column, error) {
	if len(t.args) == 0 {
		return column{}, t.unknown()
	}
	precision, err := strconv.Atoi(t.args[0])
	if err != nil || precision <= 0 {
		return column{}, t.unknown()
	}
	for _, d := range decimalWidths {
		if precision <= d.digits {
			return column{kind: fixed, width: d.width}, nil
		}
	}
	return column{}, t.unknown()
}

func (t *typeName) dictionary() (column, error) {
	c, err := t.argument(0)
	if err == nil && c.kind == nullable { // the dictionary holds plain values, NULL among them
		c = c.of[0]
	}
	return column{kind: lowCardinality, of: []column{c}}, err
}

func (t *typeName) mapping() (column, error) {
	key, err := t.argument(0)
	if err != nil {
		return column{}, err
	}
	value, err := t.argument(1)
	return column{kind: array, of: []column{{kind: tuple, of: []column{key, value}}}}, err
}

// tuple is the layout of Tuple and of Nested, which is an array of tuples.
func (t *typeName) tuple() (column, error) {
	out := column{kind: tuple}
	for _, arg := range t.args {
		c, err := parseType(withoutName(arg), t.depth+1)
		if err != nil {
			return column{}, err
		}
		out.of = append(out.of, c)
	}
	if len(out.of) == 0 {
		return column{}, t.unknown()
	}
	if t.base == "Nested" {
		return column{kind: array, of: []column{out}}, nil
	}
	return out, nil
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
