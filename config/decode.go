// Package config reads the dispatcher's configuration: one file of JSON with comments. The file is validated as a whole, and
// all violations are reported together, each with its position, the value found and the values allowed.
package config

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// maxViolations limits the list of violations: a file that is not a configuration at all would fill pages.
const maxViolations = 100

// Limits of a file. The nesting is limited because the parser recurses on it.
const (
	maxFileBytes    = 16 << 20
	maxNestingDepth = 64
)

// decoder decodes a syntax tree into a struct and records the offset of each field, for the positions of violations.
type decoder struct {
	text       []byte
	offsets    map[string]int // byte offset by path
	violations []Violation
}

// position returns the line and column of a byte offset; both start at 1, and columns count bytes.
func (d *decoder) position(offset int) (line, column int) {
	offset = min(max(offset, 0), len(d.text))
	before := string(d.text[:offset])
	return strings.Count(before, "\n") + 1, offset - strings.LastIndexByte(before, '\n')
}

// addViolation adds a Violation at a path. Its position is that of the path, or else of the closest known parent.
func (d *decoder) addViolation(path, found, allowed string) {
	if len(d.violations) >= maxViolations ||
		slices.ContainsFunc(d.violations, func(v Violation) bool { return v.Field == path && path != "" }) {
		return // one violation per field: others mostly follow from it
	}
	offset, ok := d.offsets[path]
	for parent := path; !ok && parent != ""; offset, ok = d.offsets[parent] {
		if i := strings.LastIndexAny(parent, ".["); i >= 0 {
			parent = parent[:i]
		} else {
			parent = ""
		}
	}
	v := Violation{Field: path, Found: found, Allowed: allowed}
	v.Line, v.Column = d.position(offset)
	d.violations = append(d.violations, v)
}

// Decode reads JSON with comments into v, which points to a struct whose fields have json tags. Unknown fields are
// violations. If check is not nil, it is called after decoding and can add violations by path. The error is *Violations.
func Decode(file string, text []byte, v any, check func(addViolation func(path, found, allowed string))) error {
	d, err := parse(file, text, v)
	if err != nil {
		return err
	}
	if check != nil {
		check(d.addViolation)
	}
	if len(d.violations) > 0 {
		return &Violations{file, d.violations}
	}
	return nil
}

// parse decodes text into v, which points to a struct. Violations of single fields are left in the decoder; the error is
// *Violations, for text that cannot be parsed at all.
func parse(file string, text []byte, v any) (*decoder, error) {
	d := &decoder{text: text, offsets: map[string]int{}}
	if len(text) > maxFileBytes {
		return d, &Violations{file, []Violation{{Found: fmt.Sprintf("%d bytes", len(text)), Allowed: "at most 16 MiB"}}}
	}
	if nestingDepth(text) > maxNestingDepth {
		return d, &Violations{file, []Violation{{Found: "brackets nested deeper than 64", Allowed: "64 levels at most"}}}
	}
	tree, err := hujson.Parse(text)
	if err != nil {
		return d, &Violations{file, []Violation{syntaxViolation(err)}}
	}
	d.decodeValue("", tree, reflect.ValueOf(v).Elem())
	return d, nil
}

// syntaxViolation converts an error of the parser. It moves the position out of the message, if there is one.
func syntaxViolation(err error) Violation {
	v := Violation{Found: err.Error(), Allowed: "JSON with comments and trailing commas"}
	i := strings.Index(err.Error(), "line ")
	if i < 0 {
		return v
	}
	var line, column int
	if n, _ := fmt.Sscanf(err.Error()[i:], "line %d, column %d", &line, &column); n < 2 {
		return v
	}
	v.Line, v.Column = line, column
	if _, after, ok := strings.Cut(err.Error()[i:], ": "); ok {
		v.Found = after
	}
	return v
}

// nestingDepth returns the deepest nesting of brackets outside of strings. It is an estimate, since it does not recognize
// comments.
func nestingDepth(text []byte) int {
	depth, deepest, inString := 0, 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
			deepest = max(deepest, depth)
		case c == '}' || c == ']':
			depth--
		}
	}
	return deepest
}

// excerpt returns the text of a value for a violation, on one line and cut after 40 bytes.
func excerpt(v hujson.Value) string {
	v.Standardize()
	s := strings.Join(strings.Fields(string(v.Pack())), " ")
	if len(s) > 40 {
		s = s[:40] + "..."
	}
	return s
}

// decodeValue decodes one value into a field.
func (d *decoder) decodeValue(path string, v hujson.Value, into reflect.Value) {
	d.offsets[path] = v.StartOffset
	if lit, ok := v.Value.(hujson.Literal); ok && string(lit) == "null" && into.Kind() != reflect.Struct {
		return // like an absent field, so that the output of configcheck is valid input
	}
	if into.Type() == durationType {
		d.decodeDuration(path, v, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.decodeObject(path, v, into)
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.decodeValue(path, v, into.Elem())
	case reflect.Slice:
		d.decodeArray(path, v, into)
	default:
		d.decodeScalar(path, v, into)
	}
}

// decodeArray decodes an array into a slice.
func (d *decoder) decodeArray(path string, v hujson.Value, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addViolation(path, excerpt(v), "an array")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i, e := range array.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), e, into.Index(i))
	}
}

// decodeScalar decodes a string, a boolean or a number.
func (d *decoder) decodeScalar(path string, v hujson.Value, into reflect.Value) {
	switch into.Kind() {
	case reflect.String:
		s, ok := literal[string](v)
		if !ok {
			d.addViolation(path, excerpt(v), "a string")
			return
		}
		into.SetString(s)
	case reflect.Bool:
		b, ok := literal[bool](v)
		if !ok {
			d.addViolation(path, excerpt(v), "true or false")
			return
		}
		into.SetBool(b)
	case reflect.Int:
		f, ok := literal[float64](v)
		if !ok || f != math.Trunc(f) || math.Abs(f) > 1<<53 {
			d.addViolation(path, excerpt(v), "an integer")
			return
		}
		into.SetInt(int64(f))
	case reflect.Float64:
		f, ok := literal[float64](v)
		if !ok {
			d.addViolation(path, excerpt(v), "a number")
			return
		}
		into.SetFloat(f)
	default:
		panic("config: field of unsupported type " + into.Type().String())
	}
}

// literal decodes a literal as T; ok is false for null and for a value of another type.
func literal[T any](v hujson.Value) (out T, ok bool) {
	lit, isLiteral := v.Value.(hujson.Literal)
	if !isLiteral || string(lit) == "null" {
		return out, false
	}
	return out, json.Unmarshal(lit, &out) == nil
}

// decodeDuration decodes a string such as "250ms" into a Duration.
func (d *decoder) decodeDuration(path string, v hujson.Value, into reflect.Value) {
	s, ok := literal[string](v)
	if ok {
		if duration, err := time.ParseDuration(s); err == nil {
			into.SetInt(int64(duration))
			return
		}
	}
	d.addViolation(path, excerpt(v), `a duration in quotes, such as "250ms", "5s" or "10m"`)
}

// decodeObject decodes an object into a struct. Unknown and duplicate fields are violations.
func (d *decoder) decodeObject(path string, v hujson.Value, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addViolation(path, excerpt(v), "an object")
		return
	}
	fields, names := map[string]int{}, []string{}
	for i := range into.NumField() {
		name, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
			names = append(names, name)
		}
	}
	slices.Sort(names)
	seen := map[string]bool{}
	for _, m := range object.Members {
		name, _ := literal[string](m.Name)
		at := name
		if path != "" {
			at = path + "." + name
		}
		i, known := fields[name]
		switch {
		case !known:
			d.offsets[at] = m.Name.StartOffset
			d.addViolation(at, "the field "+strconv.Quote(name), "one of "+strings.Join(names, ", "))
		case seen[name]:
			d.offsets[at] = m.Name.StartOffset
			d.addViolation(at, "a duplicate field", "each field once")
		default:
			d.decodeValue(at, m.Value, into.Field(i))
		}
		seen[name] = true
	}
}
