package config

import (
	"reflect"
	"time"
)

var durationType = reflect.TypeFor[Duration]()

// Duration is a time.Duration that is written as a string such as "250ms".
type Duration time.Duration

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText returns the form that UnmarshalText and the decoder accept.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the form used in files. Command line parsers call it; files are read by the decoder.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}
