package simulated

import (
	"bufio"
	"context"
	"errors"
	"net"
	"regexp"
	"strconv"
	"strings"

	"github.com/ClickHouse/ch-go/compress"
	"github.com/ClickHouse/ch-go/proto"
	"google.golang.org/grpc/metadata"

	"embershunt/classify"
	"embershunt/internal/native"
)

// serveNative accepts connections of the ClickHouse native protocol until the listener is closed. ch-go encodes the blocks, so that the
// dispatcher's parser is tested against an independent implementation.
func (n *Node) serveNative(ctx context.Context, p *process) {
	for {
		conn, err := p.nativeListener.Accept()
		if err != nil {
			return
		}
		p.run(func() {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // the process ends
			defer stop()
			defer func() { _ = conn.Close() }() // everything to send was flushed
			n.change(func() { n.nativeConns++ })
			defer n.change(func() { n.nativeConns-- })
			s := &nativeServer{node: n, process: p, conn: conn, w: bufio.NewWriterSize(conn, 64<<10)}
			s.serve(ctx)
			n.change(func() { n.temporaryTables -= len(s.tables) })
		})
	}
}

// nativeServer serves one connection of the native protocol.
type nativeServer struct {
	node        *Node
	process     *process
	conn        net.Conn
	w           *bufio.Writer
	revision    int              // of the protocol, as negotiated
	compression *compress.Writer // of the current query; nil: blocks are not compressed
	tables      map[string]bool  // temporary tables, which are dropped with the connection
}

// write buffers bytes until the next flush.
func (s *nativeServer) write(b []byte) {
	_, _ = s.w.Write(b) // the writer keeps its first error until Flush
}

// flush sends the buffered bytes, and returns false if the connection has failed.
func (s *nativeServer) flush() bool { return s.w.Flush() == nil }

// serve performs the handshake and answers queries until the connection must be closed.
func (s *nativeServer) serve(ctx context.Context) {
	r := native.NewReader(s.conn, 64<<20)
	hello, err := r.ReadHello()
	if err != nil {
		return
	}
	newest := s.node.Revision
	if newest == 0 {
		newest = native.NewestRevision
	}
	s.revision = min(hello.Revision, newest)
	s.write(native.ServerInfo{Name: "standin", Major: 1, Revision: newest, Timezone: "UTC", DisplayName: s.node.Name}.Encode())
	if !s.flush() || r.ReadAddendum(s.revision) != nil {
		return
	}
	packets := make(chan clientPacket)
	done := make(chan struct{})
	defer close(done)
	s.process.run(func() { s.readPackets(r, packets, done) })
	for p := range packets {
		switch p.code {
		case native.ClientPing:
			s.write([]byte{native.ServerPong})
		case native.ClientQuery:
			if !s.query(ctx, packets, p.query) {
				return
			}
		}
		if !s.flush() {
			return
		}
	}
}

// clientPacket is a packet from the client. query is set for the code ClientQuery, block for ClientData.
type clientPacket struct {
	code  uint64
	query native.Query
	block native.Block
}

// readPackets sends the client's packets to the channel until reading fails or done is closed, and closes the channel.
func (s *nativeServer) readPackets(r *native.Reader, packets chan<- clientPacket, done <-chan struct{}) {
	defer close(packets)
	for {
		code, err := r.ReadClientPacketCode()
		if err != nil {
			return
		}
		p := clientPacket{code: code}
		switch code {
		case native.ClientQuery:
			if p.query, err = s.readQuery(r); err != nil {
				return
			}
		case native.ClientData:
			if _, p.block, err = r.ReadClientData(s.revision); err != nil {
				return
			}
		}
		select {
		case packets <- p:
		case <-done:
			return
		}
	}
}

// externalTablePrefix begins the names of settings that readQuery adds for external tables.
const externalTablePrefix = "standin_table_"

var errNoTableData = errors.New("expected a Data packet after the Query packet")

// readQuery reads a query and its external tables. It adds a setting with the number of rows for each external table.
func (s *nativeServer) readQuery(r *native.Reader) (native.Query, error) {
	q, err := r.ReadQuery(s.revision)
	if err != nil {
		return q, err
	}
	r.Compressed = q.Compression
	for {
		code, err := r.ReadClientPacketCode()
		if err != nil {
			return q, err
		}
		if code != native.ClientData {
			return q, errNoTableData
		}
		table, block, err := r.ReadClientData(s.revision)
		if err != nil || block.IsEnd() {
			return q, err
		}
		q.Settings = append(q.Settings, native.Setting{Name: externalTablePrefix + table, Value: strconv.Itoa(block.Rows)})
	}
}

// query runs a statement and answers it. It returns false if the connection must be closed.
func (s *nativeServer) query(ctx context.Context, packets <-chan clientPacket, q native.Query) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.compression = compressionOf(q)
	ctx, attempt := s.recordAttempt(ctx, q)
	rows := 0
	if classify.InsertsClientData(q.Text) {
		var ok bool
		if rows, ok = s.receiveInsert(packets); !ok {
			return false
		}
	}
	answered := make(chan bool, 1)
	go func() { answered <- s.answer(ctx, q, attempt, rows) }()
	select {
	case ok := <-answered:
		return ok
	case <-packets: // the client cancelled or disconnected
		cancel()
		<-answered
		return false
	}
}

// compressionOf returns a writer for the compression that a query asks for; nil: none.
func compressionOf(q native.Query) *compress.Writer {
	if !q.Compression {
		return nil
	}
	method := compress.LZ4
	switch setting(q, "network_compression_method") {
	case "ZSTD":
		method = compress.ZSTD
	case "NONE":
		method = compress.None
	}
	return compress.NewWriter(0, method)
}

// receiveInsert sends the columns of an INSERT and counts the rows that the client sends. ok is false if the connection must be
// closed.
func (s *nativeServer) receiveInsert(packets <-chan clientPacket) (rows int, ok bool) {
	if s.node.faults().Hang {
		for range packets { // no answer until the client disconnects
		}
		return 0, false
	}
	if s.writeBlock(proto.Input{{Name: "id", Data: new(proto.ColUInt64)}, {Name: "name", Data: new(proto.ColStr)}}, 0) != nil || !s.flush() {
		return 0, false
	}
	for {
		p, ok := <-packets
		if !ok || p.code != native.ClientData {
			return 0, false
		}
		rows += p.block.Rows
		if p.block.IsEnd() {
			return rows, true
		}
	}
}

// setting returns the value of a query's setting; "" if it is not set.
func setting(q native.Query, name string) string {
	for _, s := range q.Settings {
		if s.Name == name {
			return s.Value
		}
	}
	return ""
}

// recordAttempt records an attempt with its query ID and settings. The returned context has the query ID, attempt number, priority and
// memory grant as call headers, as with Flight SQL.
func (s *nativeServer) recordAttempt(ctx context.Context, q native.Query) (context.Context, *AttemptRecord) {
	id, number := q.ID, "0"
	if i := strings.LastIndexByte(id, '-'); i > 0 {
		id, number = id[:i], id[i+1:]
	}
	md := metadata.MD{"embershunt-query": {id}, "embershunt-attempt": {number}}
	if p, err := strconv.Atoi(setting(q, "priority")); err == nil {
		md.Set("embershunt-priority", strconv.Itoa(4-p))
	}
	if b, err := strconv.ParseFloat(setting(q, "max_memory_usage"), 64); err == nil {
		md.Set("embershunt-memory-mb", strconv.FormatFloat(b/1e6, 'f', 0, 64))
	}
	ctx = metadata.NewIncomingContext(ctx, md)
	attempt := s.node.recordAttempt(ctx, q.Text, isUpdate(q.Text))
	s.node.change(func() {
		attempt.Token = setting(q, "insert_deduplication_token")
		for _, set := range q.Settings {
			if name, ok := strings.CutPrefix(set.Name, externalTablePrefix); ok {
				attempt.Tables = append(attempt.Tables, name+":"+set.Value)
			}
		}
	})
	return ctx, attempt
}

// temporaryTable matches the name of a temporary table, which only the connection that created the table knows.
var temporaryTable = regexp.MustCompile(`\btmp_[a-z0-9_]+`)

// trackTables records the temporary tables that a statement creates or drops.
func (s *nativeServer) trackTables(text string) {
	name := temporaryTable.FindString(text)
	before := len(s.tables)
	switch {
	case name == "":
		return
	case strings.HasPrefix(text, "CREATE TEMPORARY"):
		if s.tables == nil {
			s.tables = map[string]bool{}
		}
		s.tables[name] = true
	case strings.HasPrefix(text, "DROP"):
		delete(s.tables, name)
	}
	s.node.change(func() { s.node.temporaryTables += len(s.tables) - before })
}
