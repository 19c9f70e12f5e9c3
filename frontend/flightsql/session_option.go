package flightsql

import (
	"errors"
	"maps"
	"slices"
	"strconv"

	"google.golang.org/protobuf/encoding/protowire"

	"embershunt/internal/flightwire"
)

// encodeOptions returns the payload of the session cookie: the user, then names and values in turn, sorted by name.
func encodeOptions(user string, options map[string]string) []byte {
	payload := flightwire.AppendBytes(nil, 1, user)
	if user == "" { // AppendBytes leaves out empty fields, but decodeOptions takes the first field as the user
		payload = protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), "")
	}
	for _, name := range slices.Sorted(maps.Keys(options)) {
		payload = flightwire.AppendBytes(flightwire.AppendBytes(payload, 2, name), 3, options[name])
	}
	return payload
}

// decodeOptions reads a payload that encodeOptions made for the same user; any other payload counts as no options.
func decodeOptions(payload []byte, user string) map[string]string {
	options := map[string]string{}
	fields, _, err := flightwire.Fields(payload)
	if err != nil || len(fields) == 0 || string(fields[0].Value) != user {
		return options
	}
	for i := 1; i+1 < len(fields); i += 2 {
		options[string(fields[i].Value)] = string(fields[i+1].Value)
	}
	return options
}

var errInvalidOption = errors.New("session option with an invalid value")

// parseOption reads one entry of SetSessionOptionsRequest and returns its name, and its SessionOptionValue as text. An empty value
// means that the option is to be removed. The error is errInvalidOption.
func parseOption(entry []byte) (name, value string, err error) {
	fields, _, err := flightwire.Fields(entry)
	if err != nil {
		return "", "", errInvalidOption
	}
	var encoded []byte
	for _, field := range fields {
		switch field.Number {
		case 1:
			name = string(field.Value)
		case 2:
			encoded = field.Value
		}
	}
	number, wireType, n := protowire.ConsumeTag(encoded)
	if n < 0 || name == "" {
		return name, "", nil
	}
	value, ok := parseOptionValue(number, wireType, encoded[n:])
	if !ok {
		return name, "", errInvalidOption
	}
	return name, value, nil
}

// parseOptionValue reads the value that follows the tag of a SessionOptionValue: a string, boolean or 64-bit integer. ok is false for
// the other types, which are not supported, and for a malformed value.
func parseOptionValue(number protowire.Number, wireType protowire.Type, encoded []byte) (value string, ok bool) {
	switch {
	case number == 1 && wireType == protowire.BytesType:
		v, n := protowire.ConsumeString(encoded)
		return v, n >= 0
	case number == 2 && wireType == protowire.VarintType:
		v, n := protowire.ConsumeVarint(encoded)
		return strconv.FormatBool(v != 0), n > 0
	case number == 3 && wireType == protowire.Fixed64Type:
		v, n := protowire.ConsumeFixed64(encoded)
		return strconv.FormatInt(int64(v), 10), n > 0
	}
	return "", false
}

// appendOptionError appends an entry of SetSessionOptionsResult.errors.
func appendOptionError(result []byte, name string, code uint64) []byte {
	entry := flightwire.AppendBytes(nil, 1, name)
	entry = flightwire.AppendBytes(entry, 2, flightwire.AppendVarint(nil, 1, code))
	return flightwire.AppendBytes(result, 1, entry)
}
