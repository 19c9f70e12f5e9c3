package native

import "fmt"

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
	if q.ID, err = r.text("query id", maxNameBytes); err != nil {
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
		if q.Secret, err = r.text("interserver secret", maxNameBytes); err != nil {
			return q, err
		}
		if q.Secret != "" {
			return q, r.formatError("interserver secret", "one", "none: this is no cluster")
		}
	}
	if q.Stage, err = r.uvarint("stage"); err != nil {
		return q, err
	}
	if q.Stage != 2 {
		return q, r.formatError("stage", fmt.Sprint(q.Stage), "2 (complete)")
	}
	c, err := r.uvarint("compression")
	if err != nil {
		return q, err
	}
	q.Compression = c == 1
	if c > 1 {
		return q, r.formatError("compression", fmt.Sprint(c), "0 and 1")
	}
	if q.Text, err = r.text("statement", maxTextBytes); err != nil {
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
		if s.Name, err = r.text(what, maxNameBytes); err != nil || s.Name == "" {
			return out, err
		}
		if s.Flags, err = r.uvarint(what); err != nil {
			return out, err
		}
		if s.Value, err = r.text(what, maxTextBytes); err != nil {
			return out, err
		}
		if out = append(out, s); len(out) > 10000 {
			return out, r.formatError(what, "more than 10000", "10000 at most")
		}
	}
}

// clientInfo passes over the client info, which is kept as bytes.
func (r *Reader) clientInfo(revision int) error {
	kind, err := r.byte("kind of query")
	if err != nil || kind == 0 {
		return err
	}
	info := clientInfoReader{reader: r}
	info.texts(3) // initial user, query id, address
	if revision >= revStartTime {
		info.bytes("start time", 8)
	}
	if face := info.byte("interface"); info.err == nil && face != 1 {
		return r.formatError("interface", fmt.Sprint(face), "1 (TCP)")
	}
	info.texts(3)   // OS user, host, client name
	info.numbers(3) // version
	info.texts(1)   // quota key
	if revision >= revDepth {
		info.numbers(1)
	}
	info.numbers(1) // patch
	if revision >= revTelemetry && info.byte("telemetry") == 1 {
		info.bytes("trace id and span id", 24)
		info.texts(1)
		info.byte("trace flags")
	}
	if revision >= revReplicas {
		info.numbers(3)
	}
	return info.err
}

// clientInfoReader passes over fields of the client info; after the first error it reads nothing more.
type clientInfoReader struct {
	reader *Reader
	err    error
}

func (c *clientInfoReader) texts(n int) {
	for i := 0; i < n && c.err == nil; i++ {
		_, c.err = c.reader.text("client info", maxNameBytes)
	}
}

func (c *clientInfoReader) numbers(n int) {
	for i := 0; i < n && c.err == nil; i++ {
		_, c.err = c.reader.uvarint("client info")
	}
}

func (c *clientInfoReader) bytes(field string, n uint64) {
	if c.err == nil {
		_, c.err = c.reader.take(field, n)
	}
}

func (c *clientInfoReader) byte(field string) (b byte) {
	if c.err == nil {
		b, c.err = c.reader.byte(field)
	}
	return b
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
