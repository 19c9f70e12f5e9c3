// Package config is the dispatcher's configuration: one file, JSON with comments. It is validated as a whole; every
// mistake is told at once, with its place, what was found and what is allowed.
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

// Violation is one thing wrong with a file.
type Violation struct {
	Line, Column int // from 1; 0 where the whole file is meant
	Field        string
	Found        string
	Allowed      string
}

func (m Violation) String() string {
	where := ""
	if m.Line > 0 {
		where = fmt.Sprintf("%d:%d: ", m.Line, m.Column)
	}
	if m.Field != "" {
		where += m.Field + ": "
	}
	if m.Found != "" {
		where += "found " + m.Found + ", "
	}
	return where + "allowed: " + m.Allowed
}

// Violations is the error of a file with at least one.
type Violations struct {
	File string
	All  []Violation
}

func (m *Violations) Error() string {
	lines := make([]string, len(m.All))
	for i, one := range m.All {
		lines[i] = m.File + ":" + one.String()
	}
	return strings.Join(lines, "\n")
}

// maxViolations bounds the list: a file that is no configuration at all would fill pages.
const maxViolations = 100

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

// violation notes a mistake at a path; the nearest place known above it is told.
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

var durationType = reflect.TypeFor[Duration]()

// Duration is a span of time, written as a string such as "250ms".
type Duration time.Duration

// D is the span as the standard library has it.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText writes it as it is read.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Decode reads JSON with comments into v, which points to a struct whose fields have json tags. Unknown fields are
// mistakes; check, if given, may add more by path. The error is *Mistakes.
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
	if len(text) > 16<<20 {
		return d, &Violations{file, []Violation{{Found: fmt.Sprintf("%d bytes", len(text)), Allowed: "16 MiB at most"}}}
	}
	if depth(text) > 64 {
		return d, &Violations{file, []Violation{{Found: "brackets nested deeper than 64", Allowed: "64 levels at most"}}}
	}
	tree, err := hujson.Parse(text)
	if err != nil {
		m := Violation{Found: err.Error(), Allowed: "JSON with comments and trailing commas"}
		var line, column int
		if i := strings.Index(err.Error(), "line "); i >= 0 {
			if n, _ := fmt.Sscanf(err.Error()[i:], "line %d, column %d", &line, &column); n == 2 {
				m.Line, m.Column = line, column
				if _, after, ok := strings.Cut(err.Error()[i:], ": "); ok {
					m.Found = after
				}
			}
		}
		return d, &Violations{file, []Violation{m}}
	}
	d.value("", tree, reflect.ValueOf(v).Elem())
	return d, nil
}

// depth is the deepest nesting of brackets outside of strings, roughly: the parser recurses on it.
func depth(text []byte) int {
	now, most, quoted := 0, 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			now++
			most = max(most, now)
		case c == '}' || c == ']':
			now--
		}
	}
	return most
}

func shown(v hujson.Value) string {
	v.Standardize()
	s := strings.Join(strings.Fields(string(v.Pack())), " ")
	if len(s) > 40 {
		s = s[:40] + "..."
	}
	return s
}

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
		array, ok := v.Value.(*hujson.Array)
		if !ok {
			d.violation(path, shown(v), "a list")
			return
		}
		into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
		for i, e := range array.Elements {
			d.value(fmt.Sprintf("%s[%d]", path, i), e, into.Index(i))
		}
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

// UnmarshalText reads it as it is written in a file, for command lines.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	*d = Duration(span)
	return err
}
