package native

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/go-faster/city"
)

// Hello is a client's first packet.
type Hello struct {
	Name           string
	Major, Minor   int
	Revision       int
	Database, User string
	Password       string
}

// ReadHello reads it. What is not a native client, such as one that speaks HTTP, is told from its first byte.
func (r *Reader) ReadHello() (h Hello, err error) {
	r.begin("Hello")
	code, err := r.uvarint("packet")
	if err != nil {
		return h, err
	}
	if code != ClientHello {
		found := fmt.Sprint(code)
		if code >= 'A' && code <= 'Z' {
			found = fmt.Sprintf("the letter %q, as HTTP begins", rune(code))
		}
		return h, r.wrong("packet", found, "0 (Hello): this port speaks the native protocol")
	}
	if h.Name, err = r.text("client name", nameMost); err != nil {
		return h, err
	}
	for _, p := range []*int{&h.Major, &h.Minor, &h.Revision} {
		if *p, err = r.count("version", 1<<31); err != nil {
			return h, err
		}
	}
	for _, p := range []*string{&h.Database, &h.User, &h.Password} {
		if *p, err = r.text("database, user or password", nameMost); err != nil {
			return h, err
		}
	}
	if h.Revision < Oldest {
		return h, r.wrong("revision", fmt.Sprint(h.Revision), fmt.Sprintf("%d and above", Oldest))
	}
	return h, nil
}

// Encode is the packet as bytes.
func (h Hello) Encode() []byte {
	b := PutText(PutUvarint(nil, ClientHello), h.Name)
	for _, v := range []int{h.Major, h.Minor, h.Revision} {
		b = PutUvarint(b, uint64(v))
	}
	return PutText(PutText(PutText(b, h.Database), h.User), h.Password)
}

// ReadAddendum reads what a client sends behind the server's Hello.
func (r *Reader) ReadAddendum(revision int) error {
	if revision < revAddendum {
		return nil
	}
	r.begin("addendum")
	_, err := r.text("quota key", nameMost)
	return err
}

// Server is a server's Hello.
type Server struct {
	Name         string
	Major, Minor int
	Revision     int
	Timezone     string
	DisplayName  string
	Patch        int
}

// Encode is the packet as bytes, for a client of a revision.
func (s Server) Encode() []byte {
	b := PutText(PutUvarint(nil, ServerHello), s.Name)
	for _, v := range []int{s.Major, s.Minor, s.Revision} {
		b = PutUvarint(b, uint64(v))
	}
	return PutUvarint(PutText(PutText(b, s.Timezone), s.DisplayName), uint64(s.Patch))
}

// ReadServerHello reads a server's answer to Hello: its Hello, or an Exception as error.
func (r *Reader) ReadServerHello() (s Server, err error) {
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
		return s, r.wrong("packet", fmt.Sprint(code), "0 (Hello) or 2 (Exception)")
	}
	if s.Name, err = r.text("name", nameMost); err != nil {
		return s, err
	}
	for _, p := range []*int{&s.Major, &s.Minor, &s.Revision} {
		if *p, err = r.count("version", 1<<31); err != nil {
			return s, err
		}
	}
	if s.Timezone, err = r.text("time zone", nameMost); err != nil {
		return s, err
	}
	if s.DisplayName, err = r.text("display name", nameMost); err != nil {
		return s, err
	}
	s.Patch, err = r.count("patch", 1<<31)
	return s, err
}

// Setting is one setting or parameter of a query.
type Setting struct {
	Name  string
	Flags uint64
	Value string
}

// Query is a client's query.
type Query struct {
	ID          string
	Info        []byte // client info, as it came
	Settings    []Setting
	Secret      string
	Stage       uint64
	Compression bool
	Text        string
	Parameters  []Setting
}

// ReadQuery reads the packet behind its code.
func (r *Reader) ReadQuery(revision int) (q Query, err error) {
	if q.ID, err = r.text("query id", nameMost); err != nil {
		return q, err
	}
	at := len(r.raw)
	if err = r.clientInfo(revision); err != nil {
		return q, err
	}
	q.Info = append([]byte(nil), r.raw[at:]...)
	if q.Settings, err = r.settings("settings"); err != nil {
		return q, err
	}
	if revision >= revInterserver {
		if q.Secret, err = r.text("interserver secret", nameMost); err != nil {
			return q, err
		}
		if q.Secret != "" {
			return q, r.wrong("interserver secret", "one", "none: this is no cluster")
		}
	}
	if q.Stage, err = r.uvarint("stage"); err != nil {
		return q, err
	}
	if q.Stage != 2 {
		return q, r.wrong("stage", fmt.Sprint(q.Stage), "2 (complete)")
	}
	c, err := r.uvarint("compression")
	if err != nil {
		return q, err
	}
	q.Compression = c == 1
	if c > 1 {
		return q, r.wrong("compression", fmt.Sprint(c), "0 and 1")
	}
	if q.Text, err = r.text("statement", textMost); err != nil {
		return q, err
	}
	if revision >= revParameters {
		q.Parameters, err = r.settings("parameters")
	}
	return q, err
}

func (r *Reader) settings(what string) (out []Setting, err error) {
	for {
		var s Setting
		if s.Name, err = r.text(what, nameMost); err != nil || s.Name == "" {
			return out, err
		}
		if s.Flags, err = r.uvarint(what); err != nil {
			return out, err
		}
		if s.Value, err = r.text(what, textMost); err != nil {
			return out, err
		}
		if out = append(out, s); len(out) > 10000 {
			return out, r.wrong(what, "more than 10000", "10000 at most")
		}
	}
}

// clientInfo passes over the client info.
func (r *Reader) clientInfo(revision int) error {
	kind, err := r.byte("kind of query")
	if err != nil || kind == 0 {
		return err
	}
	texts := func(n int) (err error) {
		for i := 0; i < n && err == nil; i++ {
			_, err = r.text("client info", nameMost)
		}
		return err
	}
	numbers := func(n int) (err error) {
		for i := 0; i < n && err == nil; i++ {
			_, err = r.uvarint("client info")
		}
		return err
	}
	if err := texts(3); err != nil { // initial user, query id, address
		return err
	}
	if revision >= revStartTime {
		if _, err := r.int64("start time"); err != nil {
			return err
		}
	}
	face, err := r.byte("interface")
	if err != nil {
		return err
	}
	if face != 1 {
		return r.wrong("interface", fmt.Sprint(face), "1 (TCP)")
	}
	if err := texts(3); err != nil { // OS user, host, client name
		return err
	}
	if err := numbers(3); err != nil { // version
		return err
	}
	if err := texts(1); err != nil { // quota key
		return err
	}
	if revision >= revDepth {
		if err := numbers(1); err != nil {
			return err
		}
	}
	if err := numbers(1); err != nil { // patch
		return err
	}
	if revision >= revTelemetry {
		has, err := r.byte("telemetry")
		if err != nil {
			return err
		}
		if has == 1 {
			if _, err := r.take("trace id and span id", 24); err != nil {
				return err
			}
			if err := texts(1); err != nil {
				return err
			}
			if _, err := r.byte("trace flags"); err != nil {
				return err
			}
		}
	}
	if revision >= revReplicas {
		return numbers(3)
	}
	return nil
}

// Encode is the packet as bytes. Info must be of the same revision.
func (q Query) Encode(revision int) []byte {
	b := PutText(PutUvarint(nil, ClientQuery), q.ID)
	b = append(b, q.Info...)
	put := func(list []Setting) {
		for _, s := range list {
			b = PutText(PutUvarint(PutText(b, s.Name), s.Flags), s.Value)
		}
		b = PutText(b, "")
	}
	put(q.Settings)
	if revision >= revInterserver {
		b = PutText(b, q.Secret)
	}
	b = PutUvarint(b, q.Stage)
	compression := uint64(0)
	if q.Compression {
		compression = 1
	}
	b = PutText(PutUvarint(b, compression), q.Text)
	if revision >= revParameters {
		put(q.Parameters)
	}
	return b
}

// EndOfData is the client's empty block, uncompressed.
func EndOfData() []byte {
	b := PutText(PutUvarint(nil, ClientData), "")
	return append(b, emptyBlock...)
}

// EndOfDataPacked is EndOfData in a frame without compression, as it goes where blocks are compressed.
func EndOfDataPacked() []byte {
	frame := append(make([]byte, frameChecksum), methodNone)
	frame = binary.LittleEndian.AppendUint32(frame, frameHead+uint32(len(emptyBlock)))
	frame = binary.LittleEndian.AppendUint32(frame, uint32(len(emptyBlock)))
	frame = append(frame, emptyBlock...)
	sum := city.CH128(frame[frameChecksum:])
	binary.LittleEndian.PutUint64(frame, sum.Low)
	binary.LittleEndian.PutUint64(frame[8:], sum.High)
	return append(PutText(PutUvarint(nil, ClientData), ""), frame...)
}

// emptyBlock has the usual block info (no overflow, bucket -1), no columns, no rows.
var emptyBlock = []byte{1, 0, 2, 0xff, 0xff, 0xff, 0xff, 0, 0, 0}

// Exception is a server's error, with the ones it holds.
type Exception struct {
	Code           int32
	Name           string
	Message, Stack string
	Nested         *Exception
}

func (e *Exception) Error() string { return fmt.Sprintf("code %d, %s: %s", e.Code, e.Name, e.Message) }

// Encode is the packet as bytes.
func (e *Exception) Encode() []byte {
	b := PutUvarint(nil, ServerException)
	for ; e != nil; e = e.Nested {
		b = binary.LittleEndian.AppendUint32(b, uint32(e.Code))
		b = PutText(PutText(PutText(b, e.Name), e.Message), e.Stack)
		nested := byte(0)
		if e.Nested != nil {
			nested = 1
		}
		b = append(b, nested)
	}
	return b
}

// exception reads it behind its code.
func (r *Reader) exception() (*Exception, error) {
	var first, last *Exception
	for depth := 0; ; depth++ {
		if depth > 64 {
			return nil, r.wrong("nested exception", "more than 64", "64 at most")
		}
		e := &Exception{}
		var err error
		if e.Code, err = r.int32("code"); err != nil {
			return nil, err
		}
		for _, p := range []*string{&e.Name, &e.Message, &e.Stack} {
			if *p, err = r.text("exception", textMost); err != nil {
				return nil, err
			}
		}
		if first == nil {
			first = e
		} else {
			last.Nested = e
		}
		last = e
		nested, err := r.byte("nested")
		if err != nil {
			return nil, err
		}
		if nested == 0 {
			return first, nil
		}
	}
}

// Progress is how far a query is, as increments.
type Progress struct{ Rows, Bytes, Total uint64 }

// Packet is one packet of a server, found by its boundaries.
type Packet struct {
	Code      uint64
	Raw       []byte // the whole packet; valid until the next one is read
	Body      int    // where the block begins in Raw, behind code and table name
	Block     Block  // of Data, Totals and Extremes
	Progress  Progress
	Exception *Exception
}

// ReadServer reads the next packet of a server.
func (r *Reader) ReadServer(revision int) (p Packet, err error) {
	r.begin("server's packet")
	if p.Code, err = r.uvarint("packet"); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) && len(r.raw) == 0 {
			err = io.EOF
		}
		return p, err
	}
	switch p.Code {
	case ServerData, ServerTotals, ServerExtremes, ServerLog, ServerProfileEvents:
		r.packet = "Data"
		if _, err = r.text("table", nameMost); err == nil {
			p.Body = len(r.raw)
			if p.Code == ServerLog || p.Code == ServerProfileEvents {
				p.Block, err = r.block(revision)
			} else {
				p.Block, err = r.content(revision)
			}
		}
	case ServerException:
		r.packet = "Exception"
		p.Exception, err = r.exception()
	case ServerProgress:
		r.packet = "Progress"
		n := 5
		if revision >= revProgressTime {
			n++
		}
		for i := 0; i < n && err == nil; i++ {
			var v uint64
			v, err = r.uvarint("number")
			if i < 3 {
				*[]*uint64{&p.Progress.Rows, &p.Progress.Bytes, &p.Progress.Total}[i] = v
			}
		}
	case ServerPong, ServerEndOfStream:
	case ServerProfileInfo:
		r.packet = "ProfileInfo"
		for i := 0; i < 6 && err == nil; i++ {
			if i == 3 || i == 5 {
				_, err = r.byte("flag")
			} else {
				_, err = r.uvarint("number")
			}
		}
	case ServerTableColumns:
		r.packet = "TableColumns"
		for i := 0; i < 2 && err == nil; i++ {
			_, err = r.text("text", textMost)
		}
	default:
		err = r.wrong("packet", fmt.Sprint(p.Code), "a packet of docs/design-native.md")
	}
	p.Raw = r.raw
	return p, err
}

// ReadClient reads the code of a client's next packet; io.EOF where the client has gone between two.
func (r *Reader) ReadClient() (code uint64, err error) {
	r.begin("client's packet")
	code, err = r.uvarint("packet")
	if errors.Is(err, io.ErrUnexpectedEOF) && len(r.raw) == 0 {
		err = io.EOF
	}
	return code, err
}

// ReadClientData reads a client's Data packet behind its code; Raw has its bytes.
func (r *Reader) ReadClientData(revision int) (table string, b Block, err error) {
	r.packet = "client's Data"
	if table, err = r.text("table", nameMost); err != nil {
		return table, b, err
	}
	b, err = r.content(revision)
	return table, b, err
}
