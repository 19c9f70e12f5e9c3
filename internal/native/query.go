package native

import "fmt"

// Setting is a setting or a parameter of a query.
type Setting struct {
	Name  string
	Flags uint64
	Value string
}

// Query is a client's Query packet.
type Query struct {
	ID          string
	Info        []byte // client info, as the client sent it
	Settings    []Setting
	Secret      string // of servers of one cluster; ReadQuery accepts only ""
	Stage       uint64 // up to which the query is processed; ReadQuery accepts only stageComplete
	Compression bool   // of the blocks, in both directions
	Text        string // the statement
	Parameters  []Setting
}

// stageComplete is the stage of a query that is processed completely.
const stageComplete = 2

// maxSettings is the limit of a query's settings, and of its parameters.
const maxSettings = 10000

// ReadQuery reads the rest of a Query packet after its code.
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
			return q, r.formatError("interserver secret", "a secret", "none: queries from other servers of a cluster are not supported")
		}
	}
	if q.Stage, err = r.uvarint("stage"); err != nil {
		return q, err
	}
	if q.Stage != stageComplete {
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

func (r *Reader) settings(field string) (out []Setting, err error) {
	for {
		var s Setting
		if s.Name, err = r.text(field, maxNameBytes); err != nil || s.Name == "" {
			return out, err
		}
		if s.Flags, err = r.uvarint(field); err != nil {
			return out, err
		}
		if s.Value, err = r.text(field, maxTextBytes); err != nil {
			return out, err
		}
		if out = append(out, s); len(out) > maxSettings {
			return out, r.formatError(field, fmt.Sprintf("more than %d", maxSettings), fmt.Sprintf("%d at most", maxSettings))
		}
	}
}

// clientInfo skips the client info. ReadQuery keeps its bytes.
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
	if interfaceKind := info.byte("interface"); info.err == nil && interfaceKind != 1 {
		return r.formatError("interface", fmt.Sprint(interfaceKind), "1 (TCP)")
	}
	info.texts(3)   // OS user, host, client name
	info.numbers(3) // version
	info.texts(1)   // quota key
	if revision >= revDistributedDepth {
		info.numbers(1) // depth of distributed queries
	}
	info.numbers(1) // patch
	if revision >= revTelemetry && info.byte("telemetry") == 1 {
		info.bytes("trace id and span id", 24)
		info.texts(1)
		info.byte("trace flags")
	}
	if revision >= revParallelReplicas {
		info.numbers(3) // settings of parallel replicas
	}
	return info.err
}

// clientInfoReader skips fields of the client info. After the first error it reads nothing more.
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

// Encode returns the packet's bytes. Info must have the encoding of the same revision.
func (q Query) Encode(revision int) []byte {
	b := AppendString(AppendUvarint(nil, ClientQuery), q.ID)
	b = append(b, q.Info...)
	put := func(list []Setting) {
		for _, s := range list {
			b = AppendString(AppendUvarint(AppendString(b, s.Name), s.Flags), s.Value)
		}
		b = AppendString(b, "")
	}
	put(q.Settings)
	if revision >= revInterserver {
		b = AppendString(b, q.Secret)
	}
	b = AppendUvarint(b, q.Stage)
	compression := uint64(0)
	if q.Compression {
		compression = 1
	}
	b = AppendString(AppendUvarint(b, compression), q.Text)
	if revision >= revParameters {
		put(q.Parameters)
	}
	return b
}
