package flightsql

import (
	"encoding/base64"
	"maps"
	"net/http"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"embershunt/internal/flightwire"
	"embershunt/internal/seal"
)

// cookieName is the session cookie of Flight SQL (FlightSql.proto, session management).
const cookieName = "arrow_flight_session_id"

// maxSessionBytes is the maximum size of a session's encoded options. Clients drop cookies of more than 4 KiB, and the cookie holds
// the options sealed and in base64.
const maxSessionBytes = 2 << 10

// Enum values of Flight.proto in answers to session actions.
const (
	optionInvalidValue = 2 // SetSessionOptionsResult.ErrorValue: INVALID_VALUE
	sessionClosed      = 1 // CloseSessionResult.Status: CLOSED
)

// loadOptions returns the options in the session cookie, and keeps them in c. A cookie that cannot be read, or that belongs to
// another user, counts as no cookie.
func (f *Frontend) loadOptions(c *caller) map[string]string {
	if c.options == nil {
		c.options = decodeOptions(f.openCookie(c), c.user)
	}
	return c.options
}

// openCookie returns the payload of the session cookie; nil if there is no cookie or it cannot be read.
func (f *Frontend) openCookie(c *caller) []byte {
	r := http.Request{Header: http.Header{"Cookie": c.headers.Get("cookie")}}
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return nil
	}
	token, err := base64.RawURLEncoding.DecodeString(cookie.Value)
	if err != nil {
		return nil
	}
	payload, err := f.options.Seal.Open(seal.Session, time.Now(), token)
	if err != nil {
		return nil
	}
	return payload
}

// option returns the value of a session option; "" if it is not set. loadOptions must have been called.
func (c *caller) option(name string) string { return c.options[name] }

// setOptions merges the options of a SetSessionOptionsRequest into the session cookie. Values are stored as text.
func (f *Frontend) setOptions(c *caller, body []byte) ([]byte, error) {
	fields, _, err := flightwire.Fields(body)
	if err != nil {
		return nil, malformed(err)
	}
	options, result := f.loadOptions(c), []byte{}
	for _, field := range fields {
		if field.Number != 1 {
			continue
		}
		name, value, err := parseOption(field.Value)
		switch {
		case err != nil:
			result = appendOptionError(result, name, optionInvalidValue)
		case value == "":
			delete(options, name)
		default:
			options[name] = value
		}
	}
	payload := encodeOptions(c.user, options)
	if len(payload) > maxSessionBytes {
		return nil, status.Errorf(codes.InvalidArgument, "session options of %d bytes, allowed are %d", len(payload),
			maxSessionBytes)
	}
	token := f.options.Seal.Seal(seal.Session, time.Now().Add(f.intake.Settings().PreparedTTL), payload)
	cookie := http.Cookie{Name: cookieName, Value: base64.RawURLEncoding.EncodeToString(token), HttpOnly: true}
	if err := c.stream.SetHeader(metadata.Pairs("set-cookie", cookie.String())); err != nil {
		return nil, err
	}
	return result, nil
}

// getOptions answers GetSessionOptions with a GetSessionOptionsResult.
func (f *Frontend) getOptions(c *caller, _ []byte) ([]byte, error) {
	options, result := f.loadOptions(c), []byte{}
	for _, name := range slices.Sorted(maps.Keys(options)) {
		entry := flightwire.AppendBytes(nil, 1, name)
		entry = flightwire.AppendBytes(entry, 2, flightwire.AppendBytes(nil, 1, options[name]))
		result = flightwire.AppendBytes(result, 1, entry)
	}
	return result, nil
}

// closeSession makes the client delete its session cookie. A copy of the cookie stays valid until it expires, since the dispatcher
// keeps no list of sessions.
func (f *Frontend) closeSession(c *caller, _ []byte) ([]byte, error) {
	cookie := http.Cookie{Name: cookieName, Value: "", MaxAge: -1}
	if err := c.stream.SetHeader(metadata.Pairs("set-cookie", cookie.String())); err != nil {
		return nil, err
	}
	return flightwire.AppendVarint(nil, 1, sessionClosed), nil
}
