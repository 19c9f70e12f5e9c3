package flightsql

import (
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/blake3"
	"golang.org/x/crypto/bcrypt"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protowire"

	"embershunt/internal/flightwire"
	"embershunt/internal/seal"
)

// AnyUser takes every name and password.
type AnyUser struct{}

// Check implements Authenticator.
func (AnyUser) Check(string, string) bool { return true }

// Users checks passwords against bcrypt hashes. bcrypt is slow on purpose and some drivers send the password with
// every call, so what was right is remembered under a key of the process.
type Users struct {
	hashes map[string]string
	key    [32]byte

	mu    sync.Mutex
	right map[string][32]byte // user to keyed hash of the password that was right
}

// NewUsers returns a check of names against bcrypt hashes.
func NewUsers(hashes map[string]string) *Users {
	u := &Users{hashes: hashes, right: map[string][32]byte{}}
	copy(u.key[:], newSerial()+newSerial()+newSerial()+newSerial())
	return u
}

// Check implements Authenticator.
func (u *Users) Check(user, password string) bool {
	hash, ok := u.hashes[user]
	if !ok {
		return false
	}
	h, err := blake3.NewKeyed(u.key[:])
	if err != nil {
		return false
	}
	h.Write([]byte(password))
	var sum [32]byte
	h.Sum(sum[:0])
	u.mu.Lock()
	known, ok := u.right[user]
	u.mu.Unlock()
	if ok && subtle.ConstantTimeCompare(known[:], sum[:]) == 1 {
		return true
	}
	if bcrypt.CompareHashAndPassword([]byte(hash), []byte(password)) != nil {
		return false
	}
	u.mu.Lock()
	u.right[user] = sum
	u.mu.Unlock()
	return true
}

var errWho = status.Error(codes.Unauthenticated, "authorization: wanted is Bearer with a token of Handshake, or Basic")

// caller tells who makes a call.
func (f *Front) caller(stream grpc.ServerStream) (*caller, error) {
	c := &caller{ctx: stream.Context(), stream: stream}
	c.headers, _ = metadata.FromIncomingContext(c.ctx)
	scheme, rest, _ := strings.Cut(c.header("authorization"), " ")
	switch strings.ToLower(scheme) {
	case "bearer":
		token, err := base64.RawURLEncoding.DecodeString(rest)
		if err != nil {
			return nil, errWho
		}
		user, err := f.opt.Seal.Open(seal.Bearer, time.Now(), token)
		if err != nil {
			return nil, status.Errorf(codes.Unauthenticated, "%v", err)
		}
		c.user = string(user)
	case "basic":
		user, err := f.basic(rest)
		if err != nil {
			return nil, err
		}
		c.user = user
	case "":
		if _, any := f.opt.Auth.(AnyUser); !any {
			return nil, errWho
		}
	default:
		return nil, errWho
	}
	return c, nil
}

// basic checks the credentials of RFC 7617.
func (f *Front) basic(text string) (string, error) {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil { // some clients leave the padding out
		if b, err = base64.RawStdEncoding.DecodeString(text); err != nil {
			return "", errWho
		}
	}
	user, password, ok := strings.Cut(string(b), ":")
	if !ok {
		return "", errWho
	}
	return user, f.check(user, password)
}

func (f *Front) check(user, password string) error {
	if !f.opt.Auth.Check(user, password) {
		return status.Error(codes.Unauthenticated, "name or password is wrong")
	}
	return nil
}

// handshake turns a name and password into a bearer token: from the authorization header (the token comes back in the
// same header, of headers and trailers), or from a BasicAuth message as payload, as older clients do
// (it comes back as the payload).
func (f *Front) handshake(stream grpc.ServerStream) error {
	headers, _ := metadata.FromIncomingContext(stream.Context())
	user, err, byHeader := "", error(nil), false
	if v := headers.Get("authorization"); len(v) > 0 && strings.HasPrefix(strings.ToLower(v[0]), "basic ") {
		byHeader = true
		user, err = f.basic(v[0][len("basic "):])
	} else {
		user, err = f.basicPayload(stream)
	}
	if err != nil {
		return err
	}
	token := base64.RawURLEncoding.EncodeToString(f.opt.Seal.Seal(seal.Bearer, time.Now().Add(f.desk.Tables().BearerLife),
		[]byte(user)))
	md := metadata.Pairs("authorization", "Bearer "+token)
	if err := stream.SetHeader(md); err != nil {
		return err
	}
	if byHeader { // such clients read the trailers after one message, which is safe only if there is none
		stream.SetTrailer(md)
		return nil
	}
	return stream.SendMsg(flightwire.NewFrame(flightwire.AppendBytes(nil, 2, token)))
}

func (f *Front) basicPayload(stream grpc.ServerStream) (string, error) {
	request, err := receive(stream)
	if errors.Is(err, io.EOF) {
		return "", errWho
	}
	if err != nil {
		return "", err
	}
	payload, err := flightwire.Field(request, 2)
	if err != nil {
		return "", malformed(err)
	}
	fields, _, err := flightwire.Fields(payload)
	if err != nil {
		return "", malformed(err)
	}
	var user, password string
	for _, f := range fields { // BasicAuth: username 2, password 3
		switch f.Number {
		case 2:
			user = string(f.Value)
		case 3:
			password = string(f.Value)
		}
	}
	return user, f.check(user, password)
}

// cookieName is the session cookie of Flight SQL (FlightSql.proto, session management).
const cookieName = "arrow_flight_session_id"

// sessionMost bounds a session's options, encoded, in bytes: cookies of more than 4 KiB are dropped by clients.
const sessionMost = 2 << 10

// read takes the options out of the session cookie; a cookie that cannot be read counts as none.
func (f *Front) read(c *caller) map[string]string {
	if c.options != nil {
		return c.options
	}
	c.options = map[string]string{}
	r := http.Request{Header: http.Header{"Cookie": c.headers.Get("cookie")}}
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return c.options
	}
	token, err := base64.RawURLEncoding.DecodeString(cookie.Value)
	if err != nil {
		return c.options
	}
	payload, err := f.opt.Seal.Open(seal.Session, time.Now(), token)
	if err != nil {
		return c.options
	}
	fields, _, err := flightwire.Fields(payload)
	if err != nil || len(fields) == 0 || string(fields[0].Value) != c.user {
		return c.options
	}
	for i := 1; i+1 < len(fields); i += 2 {
		c.options[string(fields[i].Value)] = string(fields[i+1].Value)
	}
	return c.options
}

func (c *caller) option(name string) string { return c.options[name] }

// setOptions merges options into the session (SetSessionOptionsRequest). Values are kept as text.
func (f *Front) setOptions(c *caller, body []byte) ([]byte, error) {
	fields, _, err := flightwire.Fields(body)
	if err != nil {
		return nil, malformed(err)
	}
	options, result := f.read(c), []byte{}
	fail := func(name string, code uint64) { // SetSessionOptionsResult.errors
		entry := flightwire.AppendBytes(nil, 1, name)
		entry = flightwire.AppendBytes(entry, 2, flightwire.AppendVarint(nil, 1, code))
		result = flightwire.AppendBytes(result, 1, entry)
	}
	for _, field := range fields {
		if field.Number != 1 {
			continue
		}
		name, value, state := sessionOption(field.Value)
		switch state {
		case optionBad:
			fail(name, 2) // INVALID_VALUE
		case optionEmpty:
			delete(options, name)
		default:
			options[name] = value
		}
	}
	payload := flightwire.AppendBytes(nil, 1, c.user)
	if c.user == "" { // proto3 leaves empty fields out, and the first one must be there
		payload = protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), "")
	}
	for _, name := range slices.Sorted(maps.Keys(options)) {
		payload = flightwire.AppendBytes(flightwire.AppendBytes(payload, 2, name), 3, options[name])
	}
	if len(payload) > sessionMost {
		return nil, status.Errorf(codes.InvalidArgument, "session options of %d bytes, allowed are %d", len(payload),
			sessionMost)
	}
	token := f.opt.Seal.Seal(seal.Session, time.Now().Add(f.desk.Tables().PreparedLife), payload)
	cookie := http.Cookie{Name: cookieName, Value: base64.RawURLEncoding.EncodeToString(token), HttpOnly: true}
	if err := c.stream.SetHeader(metadata.Pairs("set-cookie", cookie.String())); err != nil {
		return nil, err
	}
	return result, nil
}

type optionState int

const (
	optionText optionState = iota
	optionEmpty
	optionBad
)

// sessionOption reads one entry of SetSessionOptionsRequest: a name and a SessionOptionValue.
func sessionOption(entry []byte) (name, value string, state optionState) {
	fields, _, err := flightwire.Fields(entry)
	if err != nil {
		return "", "", optionBad
	}
	var raw []byte
	for _, f := range fields {
		switch f.Number {
		case 1:
			name = string(f.Value)
		case 2:
			raw = f.Value
		}
	}
	num, typ, n := protowire.ConsumeTag(raw)
	if n < 0 || name == "" {
		return name, "", optionEmpty
	}
	raw = raw[n:]
	switch {
	case num == 1 && typ == protowire.BytesType:
		v, n := protowire.ConsumeString(raw)
		if n < 0 {
			return name, "", optionBad
		}
		if v == "" {
			return name, "", optionEmpty
		}
		return name, v, optionText
	case num == 2 && typ == protowire.VarintType:
		if v, n := protowire.ConsumeVarint(raw); n > 0 {
			return name, map[bool]string{false: "false", true: "true"}[v != 0], optionText
		}
	case num == 3 && typ == protowire.Fixed64Type:
		if v, n := protowire.ConsumeFixed64(raw); n > 0 {
			return name, formatInt(int64(v)), optionText
		}
	}
	return name, "", optionBad
}

func (f *Front) getOptions(c *caller) ([]byte, error) {
	options, result := f.read(c), []byte{}
	for _, name := range slices.Sorted(maps.Keys(options)) {
		entry := flightwire.AppendBytes(nil, 1, name)
		entry = flightwire.AppendBytes(entry, 2, flightwire.AppendBytes(nil, 1, options[name]))
		result = flightwire.AppendBytes(result, 1, entry)
	}
	return result, nil
}

// closeSession takes the cookie back. A copy of it stays valid until it expires, since nothing is kept here.
func (f *Front) closeSession(c *caller) ([]byte, error) {
	cookie := http.Cookie{Name: cookieName, Value: "", MaxAge: -1}
	if err := c.stream.SetHeader(metadata.Pairs("set-cookie", cookie.String())); err != nil {
		return nil, err
	}
	return flightwire.AppendVarint(nil, 1, 1), nil // CLOSED
}
