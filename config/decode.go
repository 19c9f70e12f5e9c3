// Package config reads the dispatcher's configuration: one file, JSON with comments. It is validated as a whole; every
// violation is reported at once, with its place, what was found and what is allowed.
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

// maxViolations bounds the list: a file that is no configuration at all would fill pages.
const maxViolations = 100

// Bounds of a file; the parser recurses on its depth.
const (
	maxBytes = 16 << 20
	maxDepth = 64
)

// decoder reads a syntax tree into a struct and remembers where each field stood.
type decoder struct {
	text       []byte
	places     map[string]int // byte offset by path
	violations []Violation
}

// place turns an offset into line and column, in bytes, from 1.
func (d *decoder) place(offset int) (line, column int) {
	offset = min(max(offset, 0), len(d.text))
	before := string(d.text[:offset])
	return strings.Count(before, "\n") + 1, offset - strings.LastIndexByte(before, '\n')
}

// violation adds a Violation at a path, with the nearest place known at or above it.
func (d *decoder) violation(path, found, allowed string) {
	if len(d.violations) >= maxViolations || slices.ContainsFunc(d.violations, func(m Violation) bool { return m.Field == path && path != "" }) {
		return // one mistake a field: others mostly follow from it
	}
	at, ok := d.places[path]
	for up := path; !ok && up != ""; at, ok = d.places[up] {
		if i := strings.LastIndexAny(up, ".["); i >= 0 {
			up = up[:i]
		} else {
			up = ""
		}
	}
	m := Violation{Field: path, Found: found, Allowed: allowed}
	m.Line, m.Column = d.place(at)
	d.violations = append(d.violations, m)
}

// Decode reads JSON with comments into v, which points to a struct whose fields have json tags. Unknown fields are
// mistakes; check, if given, may add more by path. The error is *Violations.
func Decode(file string, text []byte, v any, check func(wrong func(path, found, allowed string))) error {
	d, err := parse(file, text, v)
	if err != nil {
		return err
	}
	if check != nil {
		check(d.violation)
	}
	if len(d.violations) > 0 {
		return &Violations{file, d.violations}
	}
	return nil
}

// parse reads text into v, which points to a struct.
func parse(file string, text []byte, v any) (*decoder, error) {
	d := &decoder{text: text, places: map[string]int{}}
	if len(text) > maxBytes {
		return d, &Violations{file, []Violation{{Found: fmt.Sprintf("%d bytes", len(text)), Allowed: "16 MiB at most"}}}
	}
	if depth(text) > maxDepth {
		return d, &Violations{file, []Violation{{Found: "brackets nested deeper than 64", Allowed: "64 levels at most"}}}
	}
	tree, err := hujson.Parse(text)
	if err != nil {
		return d, &Violations{file, []Violation{syntaxViolation(err)}}
	}
	d.value("", tree, reflect.ValueOf(v).Elem())
	return d, nil
}

// syntaxViolation takes the place out of the parser's message, where it has one.
func syntaxViolation(err error) Violation {
	m := Violation{Found: err.Error(), Allowed: "JSON with comments and trailing commas"}
	i := strings.Index(err.Error(), "line ")
	if i < 0 {
		return m
	}
	var line, column int
	if n, _ := fmt.Sscanf(err.Error()[i:], "line %d, column %d", &line, &column); n < 2 {
		return m
	}
	m.Line, m.Column = line, column
	if _, after, ok := strings.Cut(err.Error()[i:], ": "); ok {
		m.Found = after
	}
	return m
}

// depth is the deepest nesting of brackets outside of strings, roughly: the parser recurses on it.
func depth(text []byte) int {
	now, deepest, inString := 0, 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			now++
			deepest = max(deepest, now)
		case c == '}' || c == ']':
			now--
		}
	}
	return deepest
}

// shown is a value as a violation quotes it, cut where it is long.
func shown(v hujson.Value) string {
	v.Standardize()
	s := strings.Join(strings.Fields(string(v.Pack())), " ")
	if len(s) > 40 {
		s = s[:40] + "..."
	}
	return s
}

// value reads one value into the field that it stands for.
func (d *decoder) value(path string, v hujson.Value, into reflect.Value) {
	d.places[path] = v.StartOffset
	if lit, ok := v.Value.(hujson.Literal); ok && string(lit) == "null" && into.Kind() != reflect.Struct {
		return // as if it were absent, so that what configcheck prints can be read again
	}
	if into.Type() == durationType {
		d.duration(path, v, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.object(path, v, into)
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.value(path, v, into.Elem())
	case reflect.Slice:
		d.list(path, v, into)
	default:
		d.scalar(path, v, into)
	}
}

func (d *decoder) list(path string, v hujson.Value, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.violation(path, shown(v), "a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i, e := range array.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), e, into.Index(i))
	}
}

// scalar reads a text, a truth value or a number.
func (d *decoder) scalar(path string, v hujson.Value, into reflect.Value) {
	switch into.Kind() {
	case reflect.String:
		s, ok := literal[string](v)
		if !ok {
			d.violation(path, shown(v), "a text in quotes")
			return
		}
		into.SetString(s)
	case reflect.Bool:
		b, ok := literal[bool](v)
		if !ok {
			d.violation(path, shown(v), "true or false")
			return
		}
		into.SetBool(b)
	case reflect.Int:
		f, ok := literal[float64](v)
		if !ok || f != math.Trunc(f) || math.Abs(f) > 1<<53 {
			d.violation(path, shown(v), "a whole number")
			return
		}
		into.SetInt(int64(f))
	case reflect.Float64:
		f, ok := literal[float64](v)
		if !ok {
			d.violation(path, shown(v), "a number")
			return
		}
		into.SetFloat(f)
	default:
		panic("config: a field of type " + into.Type().String())
	}
}

// literal reads a literal as T; ok is false for null and for what is no T.
func literal[T any](v hujson.Value) (out T, ok bool) {
	lit, is := v.Value.(hujson.Literal)
	if !is || string(lit) == "null" {
		return out, false
	}
	return out, json.Unmarshal(lit, &out) == nil
}

func (d *decoder) duration(path string, v hujson.Value, into reflect.Value) {
	s, ok := literal[string](v)
	if ok {
		if span, err := time.ParseDuration(s); err == nil {
			into.SetInt(int64(span))
			return
		}
	}
	d.violation(path, shown(v), `a span of time in quotes, such as "250ms", "5s" or "10m"`)
}

func (d *decoder) object(path string, v hujson.Value, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.violation(path, shown(v), "an object in braces")
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
			d.places[at] = m.Name.StartOffset
			d.violation(at, "the field "+strconv.Quote(name), "one of "+strings.Join(names, ", "))
		case seen[name]:
			d.places[at] = m.Name.StartOffset
			d.violation(at, "the field a second time", "each field once")
		default:
			d.value(at, m.Value, into.Field(i))
		}
		seen[name] = true
	}
}
