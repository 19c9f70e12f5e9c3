package flightsql

import (
	"encoding/base64"
	"errors"
	"io"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"embershunt/internal/flightwire"
	"embershunt/internal/seal"
)

// authorization is the name of the header, and of the trailer of Handshake, that holds credentials or a token.
const authorization = "authorization"

var errUnauthenticated = status.Error(codes.Unauthenticated, "authorization header: expected Bearer with a token from Handshake, or Basic")

// caller is the authenticated client of a call, with the call's stream, headers and session options.
type caller struct {
	stream  grpc.ServerStream
	user    string
	headers metadata.MD
	options map[string]string // session options; nil until loaded
}

// header returns the first value of a call header; "" if it is absent.
func (c *caller) header(name string) string {
	if v := c.headers.Get(name); len(v) > 0 {
		return v[0]
	}
	return ""
}

// authenticate checks the bearer token or the credentials of a call and returns its caller. A call without either is accepted only
// with AnyUser.
func (f *Frontend) authenticate(stream grpc.ServerStream) (*caller, error) {
	c := &caller{stream: stream}
	c.headers, _ = metadata.FromIncomingContext(stream.Context()) // nil where there are none
	scheme, credentials, _ := strings.Cut(c.header(authorization), " ")
	switch strings.ToLower(scheme) {
	case "bearer":
		token, err := base64.RawURLEncoding.DecodeString(credentials)
		if err != nil {
			return nil, errUnauthenticated
		}
		user, err := f.options.Seal.Open(seal.Bearer, time.Now(), token)
		if err != nil {
			return nil, status.Errorf(codes.Unauthenticated, "%v", err)
		}
		c.user = string(user)
	case "basic":
		user, err := f.checkBasic(credentials)
		if err != nil {
			return nil, err
		}
		c.user = user
	case "":
		if _, anonymous := f.options.Auth.(AnyUser); !anonymous {
			return nil, errUnauthenticated
		}
	default:
		return nil, errUnauthenticated
	}
	return c, nil
}

// checkBasic checks Basic credentials (RFC 7617) and returns the user.
func (f *Frontend) checkBasic(credentials string) (string, error) {
	b, err := base64.StdEncoding.DecodeString(credentials)
	if err != nil { // some clients omit the padding
		if b, err = base64.RawStdEncoding.DecodeString(credentials); err != nil {
			return "", errUnauthenticated
		}
	}
	user, password, ok := strings.Cut(string(b), ":")
	if !ok {
		return "", errUnauthenticated
	}
	return user, f.checkPassword(user, password)
}

func (f *Frontend) checkPassword(user, password string) error {
	if !f.options.Auth.Check(user, password) {
		return status.Error(codes.Unauthenticated, "user name or password is wrong")
	}
	return nil
}

// handshake checks a name and password and returns a bearer token. Clients send the credentials in the authorization header, and
// get the token in the authorization header and trailer. Older clients send a BasicAuth message as payload, and get the token in
// the authorization header and as payload.
func (f *Frontend) handshake(stream grpc.ServerStream) error {
	headers, _ := metadata.FromIncomingContext(stream.Context()) // nil where there are none
	values := headers.Get(authorization)
	byHeader := len(values) > 0 && strings.HasPrefix(strings.ToLower(values[0]), "basic ")
	var user string
	var err error
	if byHeader {
		user, err = f.checkBasic(values[0][len("basic "):])
	} else {
		user, err = f.receiveBasicAuth(stream)
	}
	if err != nil {
		return err
	}
	token := base64.RawURLEncoding.EncodeToString(f.options.Seal.Seal(seal.Bearer, time.Now().Add(f.intake.Settings().BearerTTL),
		[]byte(user)))
	md := metadata.Pairs(authorization, "Bearer "+token)
	if err := stream.SetHeader(md); err != nil {
		return err
	}
	if byHeader { // these clients receive once and then read the trailer, which has arrived by then only if there is no message
		stream.SetTrailer(md)
		return nil
	}
	return send(stream, flightwire.AppendBytes(nil, 2, token))
}

// receiveBasicAuth receives a HandshakeRequest with a BasicAuth message as payload, checks its credentials and returns the user.
func (f *Frontend) receiveBasicAuth(stream grpc.ServerStream) (string, error) {
	request, err := receive(stream)
	if errors.Is(err, io.EOF) {
		return "", errUnauthenticated
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
	for _, field := range fields { // BasicAuth: username 2, password 3
		switch field.Number {
		case 2:
			user = string(field.Value)
		case 3:
			password = string(field.Value)
		}
	}
	return user, f.checkPassword(user, password)
}
