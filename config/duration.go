package config

import (
	"reflect"
	"time"
)

var durationType = reflect.TypeFor[Duration]()

// Duration is a span of time, written as a string such as "250ms".
type Duration time.Duration

// D is the span as the standard library has it.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText writes it as it is read.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads it as it is written in a file, for command lines.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	*d = Duration(span)
	return err
}
