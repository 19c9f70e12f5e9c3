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

// validator checks decoded values. A check that fails adds a Violation with the path of the value.
type validator struct{ *decoder }

// indexOf returns the index of a name in the allowed names, -1 if it is not allowed.
func (v validator) indexOf(path, name string, allowed []string) int {
	i := slices.Index(allowed, name)
	if i < 0 {
		v.addViolation(path, quoted(name), strings.Join(allowed, ", "))
	}
	return i
}

// unique checks that the names of a list are distinct and not empty.
func (v validator) unique(path string, names []string) {
	seen := map[string]bool{}
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		if name == "" {
			v.addViolation(at, "an empty name", "a non-empty name")
		} else if seen[name] {
			v.addViolation(at, "duplicate "+quoted(name), "each name once")
		}
		seen[name] = true
	}
}

// inRange checks that a number is between two bounds, both included. NaN is outside of every range.
func (v validator) inRange(path string, value, lowest, highest float64) {
	if value >= lowest && value <= highest {
		return
	}
	v.addViolation(path, fmt.Sprint(value), fmt.Sprintf("%v to %v", lowest, highest))
}

// count is inRange for integers.
func (v validator) count(path string, value, lowest, highest int) {
	v.inRange(path, float64(value), float64(lowest), float64(highest))
}

// duration checks that a duration is between two bounds, both included.
func (v validator) duration(path string, value Duration, shortest, longest time.Duration) {
	if value.D() < shortest || value.D() > longest {
		v.addViolation(path, value.D().String(), fmt.Sprintf("%v to %v", shortest, longest))
	}
}

// address checks that a value has the form host:port.
func (v validator) address(path, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		v.addViolation(path, quoted(value), "host:port")
	}
}

// optionalAddress checks that a value has the form host:port or is empty.
func (v validator) optionalAddress(path, value string) {
	if value != "" {
		v.address(path, value)
	}
}

// pattern compiles a regular expression. It returns nil if the value is empty or does not compile.
func (v validator) pattern(path, value string) *regexp.Regexp {
	if value == "" {
		return nil
	}
	expression, err := regexp.Compile(value)
	if err != nil {
		v.addViolation(path, err.Error(), "a regular expression (RE2)")
	}
	return expression
}

// hexKey decodes a key; ok is false if the text is not hexadecimal or the key has the wrong length.
func hexKey(text string) (key []byte, ok bool) {
	key, err := hex.DecodeString(text)
	return key, err == nil && len(key) == keyBytes
}

// keyBytes is the length of sealing keys and of operators' public keys, in bytes.
const keyBytes = 32

// quoted returns a string as a violation shows it: quoted and cut after 60 characters, or "nothing" if it is empty.
func quoted(s string) string {
	if s == "" {
		return "nothing"
	}
	return fmt.Sprintf("%.60q", s)
}
