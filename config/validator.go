package config

import (
	"encoding/hex"
	"fmt"
	"net"
	"regexp"
	"slices"
	"strings"
	"time"
)

// validator checks values that have been decoded. Each check adds a Violation under the path of the value.
type validator struct{ *decoder }

// indexOf finds a name among those allowed; -1 where it is none of them.
func (v validator) indexOf(path, name string, allowed []string) int {
	i := slices.Index(allowed, name)
	if i < 0 {
		v.violation(path, quoted(name), strings.Join(allowed, ", "))
	}
	return i
}

// unique wants each name of a list once, and none empty.
func (v validator) unique(path string, names []string) {
	seen := map[string]bool{}
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		if name == "" {
			v.violation(at, "no name", "a name that is not empty")
		} else if seen[name] {
			v.violation(at, quoted(name)+" a second time", "each name once")
		}
		seen[name] = true
	}
}

// inRange wants a number between two bounds, both allowed; NaN is out of every range.
func (v validator) inRange(path string, value, lowest, highest float64) {
	if value >= lowest && value <= highest {
		return
	}
	v.violation(path, fmt.Sprint(value), fmt.Sprintf("%v to %v", lowest, highest))
}

// count is inRange for whole numbers.
func (v validator) count(path string, value, lowest, highest int) {
	v.inRange(path, float64(value), float64(lowest), float64(highest))
}

// duration wants a duration between two bounds, both allowed.
func (v validator) duration(path string, value Duration, shortest, longest time.Duration) {
	if value.D() < shortest || value.D() > longest {
		v.violation(path, value.D().String(), fmt.Sprintf("%v to %v", shortest, longest))
	}
}

// address wants host:port.
func (v validator) address(path, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		v.violation(path, quoted(value), "host:port")
	}
}

// optionalAddress wants host:port or nothing.
func (v validator) optionalAddress(path, value string) {
	if value != "" {
		v.address(path, value)
	}
}

// pattern compiles a regular expression; nil where there is none, or none that compiles.
func (v validator) pattern(path, value string) *regexp.Regexp {
	if value == "" {
		return nil
	}
	expression, err := regexp.Compile(value)
	if err != nil {
		v.violation(path, err.Error(), "a regular expression (RE2)")
	}
	return expression
}

// hexKey decodes a key; ok is false where it has another length or is not hexadecimal.
func hexKey(text string) (key []byte, ok bool) {
	key, err := hex.DecodeString(text)
	return key, err == nil && len(key) == keyBytes
}

// keyBytes is the length of sealing keys and of operators' public keys.
const keyBytes = 32

func quoted(s string) string {
	if s == "" {
		return "nothing"
	}
	return fmt.Sprintf("%.60q", s)
}
