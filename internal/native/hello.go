package native

import "fmt"

// Hello is the first packet of a client.
type Hello struct {
	Name           string
	Major, Minor   int
	Revision       int
	Database, User string
	Password       string
}

// ReadHello reads a client's Hello. The error for a client of HTTP, recognized by its first byte, says that it speaks HTTP.
func (r *Reader) ReadHello() (h Hello, err error) {
	r.begin("Hello")
	code, err := r.uvarint("packet")
	if err != nil {
		return h, err
	}
	if code != ClientHello {
		found := fmt.Sprint(code)
		if code >= 'A' && code <= 'Z' {
			found = fmt.Sprintf("the letter %q, as at the start of an HTTP request", rune(code))
		}
		return h, r.formatError("packet", found, "0 (Hello): this port speaks the native protocol")
	}
	if h.Name, err = r.text("client name", maxNameBytes); err != nil {
		return h, err
	}
	for _, p := range []*int{&h.Major, &h.Minor, &h.Revision} {
		if *p, err = r.count("version", 1<<31); err != nil {
			return h, err
		}
	}
	for _, p := range []*string{&h.Database, &h.User, &h.Password} {
		if *p, err = r.text("database, user or password", maxNameBytes); err != nil {
			return h, err
		}
	}
	if h.Revision < OldestRevision {
		return h, r.formatError("revision", fmt.Sprint(h.Revision), fmt.Sprintf("%d and above", OldestRevision))
	}
	return h, nil
}

// Encode returns the packet's bytes.
func (h Hello) Encode() []byte {
	b := AppendString(AppendUvarint(nil, ClientHello), h.Name)
	for _, v := range []int{h.Major, h.Minor, h.Revision} {
		b = AppendUvarint(b, uint64(v))
	}
	return AppendString(AppendString(AppendString(b, h.Database), h.User), h.Password)
}

// ReadAddendum reads the quota key that a client sends after the server's Hello. Revisions before AddendumFrom have none.
func (r *Reader) ReadAddendum(revision int) error {
	if revision < revAddendum {
		return nil
	}
	r.begin("addendum")
	_, err := r.text("quota key", maxNameBytes)
	return err
}

// ServerInfo is the Hello of a server.
type ServerInfo struct {
	Name         string
	Major, Minor int
	Revision     int
	Timezone     string
	DisplayName  string
	Patch        int
}

// Encode returns the packet's bytes, which have the same fields at all supported revisions.
func (s ServerInfo) Encode() []byte {
	b := AppendString(AppendUvarint(nil, ServerHello), s.Name)
	for _, v := range []int{s.Major, s.Minor, s.Revision} {
		b = AppendUvarint(b, uint64(v))
	}
	return AppendUvarint(AppendString(AppendString(b, s.Timezone), s.DisplayName), uint64(s.Patch))
}

// ReadServerHello reads a server's response to a Hello. If that is an Exception, it is returned as *Exception.
func (r *Reader) ReadServerHello() (s ServerInfo, err error) {
	r.begin("server's Hello")
	code, err := r.uvarint("packet")
	if err != nil {
		return s, err
	}
	if code == ServerException {
		e, err := r.exception()
		if err != nil {
			return s, err
		}
		return s, e
	}
	if code != ServerHello {
		return s, r.formatError("packet", fmt.Sprint(code), "0 (Hello) or 2 (Exception)")
	}
	if s.Name, err = r.text("name", maxNameBytes); err != nil {
		return s, err
	}
	for _, p := range []*int{&s.Major, &s.Minor, &s.Revision} {
		if *p, err = r.count("version", 1<<31); err != nil {
			return s, err
		}
	}
	if s.Timezone, err = r.text("time zone", maxNameBytes); err != nil {
		return s, err
	}
	if s.DisplayName, err = r.text("display name", maxNameBytes); err != nil {
		return s, err
	}
	s.Patch, err = r.count("patch", 1<<31)
	return s, err
}
