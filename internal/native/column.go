package native

import (
	"fmt"
	"strconv"
	"strings"
)

// columnType describes the layout of a column's bytes, as far as it is needed to find the end of the column.
type columnType struct {
	name     string // of the type, as the server sent it
	kind     layout
	width    uint64       // bytes of a value; for fixedWidth only
	elements []columnType // the types that the type is made of
}

// layout is the way in which the values of a column are encoded.
type layout int

const (
	fixedWidth     layout = iota
	lengthPrefixed        // each value after its length
	nullable              // a byte for each row that marks NULL, then the values
	array                 // offsets, then the values of all rows
	tuple                 // the columns of the elements, one after the other
	lowCardinality        // a dictionary, then a key for each row
)

// fixedWidths holds the bytes of a value, for types whose name without arguments tells the width.
var fixedWidths = map[string]uint64{
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

// parseType parses the name of a type that is nested at the given depth. It returns an error for a type whose layout cannot be
// derived from its name.
func parseType(name string, depth int) (columnType, error) {
	name = strings.TrimSpace(name)
	c, err := parseTypeName(name, depth)
	if c.name == "" {
		c.name = name
	}
	return c, err
}

// typeAliases maps the geometric types to the types that they are aliases of.
var typeAliases = map[string]string{
	"Point":           "Tuple(Float64, Float64)",
	"Ring":            "Array(Point)",
	"LineString":      "Array(Point)",
	"Polygon":         "Array(Ring)",
	"MultiLineString": "Array(Ring)",
	"MultiPolygon":    "Array(Polygon)",
}

func parseTypeName(name string, depth int) (columnType, error) {
	if depth > maxTypeDepth {
		return columnType{}, fmt.Errorf("types nested deeper than %d", maxTypeDepth)
	}
	base, args, err := splitType(name)
	if err != nil {
		return columnType{}, err
	}
	if width, ok := fixedWidths[base]; ok {
		return columnType{kind: fixedWidth, width: width}, nil
	}
	if alias, ok := typeAliases[base]; ok {
		return parseType(alias, depth+1)
	}
	t := typeName{name: name, base: base, args: args, depth: depth}
	switch base {
	case "String":
		return columnType{kind: lengthPrefixed}, nil
	case "FixedString":
		return t.fixedString()
	case "Decimal":
		return t.decimal()
	case "Nullable":
		return t.wrap(nullable)
	case "Array":
		return t.wrap(array)
	case "LowCardinality":
		return t.lowCardinality()
	case "SimpleAggregateFunction":
		return t.argument(1)
	case "Map":
		return t.mapType()
	case "Tuple", "Nested":
		return t.tuple()
	}
	return columnType{}, t.unknownTypeError()
}

// typeName is a type's name, split into its base and arguments.
type typeName struct {
	name, base string
	args       []string
	depth      int // of nesting; 0 at the top
}

func (t *typeName) unknownTypeError() error {
	return fmt.Errorf("type %.60q is not known, so the end of its column cannot be found", t.name)
}

// argument parses the i-th argument, counted from 0, as a type.
func (t *typeName) argument(i int) (columnType, error) {
	if i >= len(t.args) {
		return columnType{}, fmt.Errorf("type %.60q: argument %d is missing", t.name, i+1)
	}
	return parseType(t.args[i], t.depth+1)
}

// wrap returns a type of the given layout whose element is the first argument.
func (t *typeName) wrap(kind layout) (columnType, error) {
	c, err := t.argument(0)
	return columnType{kind: kind, elements: []columnType{c}}, err
}

func (t *typeName) fixedString() (columnType, error) {
	if len(t.args) == 1 {
		if n, err := strconv.ParseUint(t.args[0], 10, 24); err == nil && n > 0 {
			return columnType{kind: fixedWidth, width: n}, nil
		}
	}
	return columnType{}, t.unknownTypeError()
}

// decimalWidths holds the width in bytes of decimals of up to the given number of digits.
var decimalWidths = []struct {
	digits int
	width  uint64
}{{9, 4}, {18, 8}, {38, 16}, {76, 32}}

func (t *typeName) decimal() (columnType, error) {
	if len(t.args) == 0 {
		return columnType{}, t.unknownTypeError()
	}
	precision, err := strconv.Atoi(t.args[0])
	if err != nil || precision <= 0 {
		return columnType{}, t.unknownTypeError()
	}
	for _, d := range decimalWidths {
		if precision <= d.digits {
			return columnType{kind: fixedWidth, width: d.width}, nil
		}
	}
	return columnType{}, t.unknownTypeError()
}

func (t *typeName) lowCardinality() (columnType, error) {
	c, err := t.argument(0)
	if err == nil && c.kind == nullable { // the dictionary holds plain values, of which the first stands for NULL
		c = c.elements[0]
	}
	return columnType{kind: lowCardinality, elements: []columnType{c}}, err
}

func (t *typeName) mapType() (columnType, error) {
	key, err := t.argument(0)
	if err != nil {
		return columnType{}, err
	}
	value, err := t.argument(1)
	return columnType{kind: array, elements: []columnType{{kind: tuple, elements: []columnType{key, value}}}}, err
}

// tuple parses Tuple and Nested, which is an array of tuples.
func (t *typeName) tuple() (columnType, error) {
	out := columnType{kind: tuple}
	for _, arg := range t.args {
		c, err := parseType(withoutName(arg), t.depth+1)
		if err != nil {
			return columnType{}, err
		}
		out.elements = append(out.elements, c)
	}
	if len(out.elements) == 0 {
		return columnType{}, t.unknownTypeError()
	}
	if t.base == "Nested" {
		return columnType{kind: array, elements: []columnType{out}}, nil
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
		return "", nil, fmt.Errorf("type %.60q: no closing parenthesis", name)
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
					return "", nil, fmt.Errorf("type %.60q: text after its closing parenthesis", name)
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
		return "", nil, fmt.Errorf("type %.60q: unclosed parenthesis or quote", name)
	}
	return name[:open], args, nil
}

// withoutName removes the name from an element of a tuple: "a UInt8" becomes "UInt8".
func withoutName(arg string) string {
	space := strings.IndexByte(arg, ' ')
	if paren := strings.IndexByte(arg, '('); space < 0 || paren >= 0 && paren < space {
		return arg
	}
	return arg[space+1:]
}
