package simulated

import (
	"bufio"
	"context"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/ClickHouse/ch-go/compress"
	"github.com/ClickHouse/ch-go/proto"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"embershunt/classify"
	"embershunt/internal/native"
)

// serveNative answers the ClickHouse native protocol on the node's second address. Blocks are encoded by ch-go, which is
// not ours, so that what the dispatcher finds in them is tested against another hand.
func (n *Node) serveNative(ctx context.Context, v *life) {
	for {
		conn, err := v.native.Accept()
		if err != nil {
			return
		}
		v.done.Add(1)
		go func() {
			defer v.done.Done()
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			defer stop()
			defer conn.Close()
			n.mark(func() { n.conns++ })
			defer n.mark(func() { n.conns-- })
			s := &nativeServer{node: n, life: v, conn: conn, w: bufio.NewWriterSize(conn, 64<<10)}
			s.serve(ctx)
			n.mark(func() { n.temporary -= len(s.tables) })
		}()
	}
}

type nativeServer struct {
	node     *Node
	life     *life
	conn     net.Conn
	w        *bufio.Writer
	revision int
	packing  *compress.Writer // nil: blocks are not compressed
	tables   map[string]bool  // temporary ones: they live and die with the connection
}

func (s *nativeServer) serve(ctx context.Context) {
	r := native.NewReader(s.conn, 64<<20)
	h, err := r.ReadHello()
	if err != nil {
		return
	}
	newest := s.node.Revision
	if newest == 0 {
		newest = native.NewestRevision
	}
	s.revision = min(h.Revision, newest)
	s.w.Write(native.Server{Name: "standin", Major: 1, Revision: newest, Timezone: "UTC", DisplayName: s.node.Name}.Encode())
	if s.w.Flush() != nil || r.ReadAddendum(s.revision) != nil {
		return
	}
	packets := make(chan clientPacket)
	done := make(chan struct{})
	defer close(done)
	go s.read(r, packets, done)
	for p := range packets {
		switch p.code {
		case native.ClientPing:
			s.w.Write([]byte{native.ServerPong})
		case native.ClientQuery:
			if !s.query(ctx, packets, p.query) {
				return
			}
		}
		if s.w.Flush() != nil {
			return
		}
	}
}

type clientPacket struct {
	code  uint64
	query native.Query
	block native.Block
}

// read hands the client's packets over until one cannot be read.
func (s *nativeServer) read(r *native.Reader, packets chan<- clientPacket, done <-chan struct{}) {
	defer close(packets)
	for {
		code, err := r.ReadClient()
		if err != nil {
			return
		}
		p := clientPacket{code: code}
		switch code {
		case native.ClientQuery:
			if p.query, err = r.ReadQuery(s.revision); err != nil {
				return
			}
			r.Compressed = p.query.Compression
			for b := (native.Block{Rows: 1}); !b.End(); {
				if code, err = r.ReadClient(); err != nil || code != native.ClientData {
					return
				}
				table := ""
				if table, b, err = r.ReadClientData(s.revision); err != nil {
					return
				}
				if !b.End() {
					p.query.Settings = append(p.query.Settings, native.Setting{Name: "standin_table_" + table, Value: strconv.Itoa(b.Rows)})
				}
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

// query runs a statement; false where the connection must be closed.
func (s *nativeServer) query(ctx context.Context, packets <-chan clientPacket, q native.Query) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.packing = nil
	if q.Compression {
		method := compress.LZ4
		switch setting(q, "network_compression_method") {
		case "ZSTD":
			method = compress.ZSTD
		case "NONE":
			method = compress.None
		}
		s.packing = compress.NewWriter(0, method)
	}
	ctx, seen := s.begin(ctx, q)
	rows := 0
	if classify.InsertsClientData(q.Text) {
		if s.node.faults().Hang {
			for range packets { // it neither answers nor leaves
			}
			return false
		}
		if s.block(proto.Input{{Name: "id", Data: new(proto.ColUInt64)}, {Name: "name", Data: new(proto.ColStr)}}, 0) != nil || s.w.Flush() != nil {
			return false
		}
		for more := true; more; {
			p, ok := <-packets
			if !ok || p.code != native.ClientData {
				return false
			}
			rows += p.block.Rows
			more = !p.block.End()
		}
	}
	answered := make(chan bool, 1)
	go func() { answered <- s.answer(ctx, q, seen, rows) }()
	select {
	case ok := <-answered:
		return ok
	case <-packets: // a cancel, or the client's end
		cancel()
		<-answered
		return false
	}
}

func setting(q native.Query, name string) string {
	for _, s := range q.Settings {
		if s.Name == name {
			return s.Value
		}
	}
	return ""
}

// begin books an attempt by its query id and settings.
func (s *nativeServer) begin(ctx context.Context, q native.Query) (context.Context, *Seen) {
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
	seen := s.node.note(ctx, q.Text, isUpdate(q.Text))
	s.node.mark(func() {
		seen.Token = setting(q, "insert_deduplication_token")
		for _, set := range q.Settings {
			if name, ok := strings.CutPrefix(set.Name, "standin_table_"); ok {
				seen.Tables = append(seen.Tables, name+":"+set.Value)
			}
		}
	})
	return ctx, seen
}

// temporary are the tables that a statement may name only where they were made.
var temporary = regexp.MustCompile(`\btmp_[a-z0-9_]+`)

// keep makes and drops temporary tables.
func (s *nativeServer) keep(text string) {
	name := temporary.FindString(text)
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
	s.node.mark(func() { s.node.temporary += len(s.tables) - before })
}

// progress writes how many of the rows are read.
func (s *nativeServer) progress(rows, total int) {
	s.w.Write(native.PutUvarint([]byte{native.ServerProgress}, uint64(rows)))
	s.w.Write(native.PutUvarint([]byte{0}, uint64(total)))
	s.w.Write([]byte{0, 0})
	if s.revision >= native.NewestRevision {
		s.w.Write([]byte{0})
	}
}

// profile writes what the query cost.
func (s *nativeServer) profile(h hints) {
	var host proto.ColStr
	var at proto.ColDateTime
	var thread proto.ColUInt64
	var kind proto.ColEnum8
	var name proto.ColStr
	var value proto.ColInt64
	for event, v := range map[string]int64{"OSCPUVirtualTimeMicroseconds": h.work.Microseconds(), "MemoryTrackerPeakUsage": int64(h.memory * 1e6)} {
		host.Append(s.node.Name)
		at.Append(time.Now())
		thread.Append(0)
		if kind = append(kind, 1); event == "MemoryTrackerPeakUsage" {
			kind[len(kind)-1] = 2
		}
		name.Append(event)
		value.Append(v)
	}
	input := proto.Input{{Name: "host_name", Data: &host}, {Name: "current_time", Data: &at}, {Name: "thread_id", Data: &thread},
		{Name: "type", Data: proto.Alias(&kind, "Enum8('increment' = 1, 'gauge' = 2)")}, {Name: "name", Data: &name}, {Name: "value", Data: &value}}
	var b proto.Buffer
	b.PutUVarInt(native.ServerProfileEvents)
	b.PutString("")
	if (proto.Block{Rows: 2, Columns: len(input), Info: proto.BlockInfo{BucketNum: -1}}).EncodeBlock(&b, s.revision, input) == nil {
		s.w.Write(b.Buf)
	}
}

func (s *nativeServer) answer(ctx context.Context, q native.Query, seen *Seen, brought int) bool {
	h := parseHints(q.Text)
	if name := temporary.FindString(q.Text); name != "" && !s.tables[name] && !strings.Contains(q.Text, "CREATE TEMPORARY") {
		s.node.mark(func() { s.node.tally.Misplaced = append(s.node.tally.Misplaced, q.Text) })
		s.w.Write((&native.Exception{Code: 60, Name: "DB::Exception", Message: "DB::Exception: Table " + name + " does not exist"}).Encode())
		return true
	}
	const scanned = 1000
	told := 0
	if err := s.node.work(ctx, s.life, seen, h, func(share float64) {
		if read := int(share * scanned); read > told {
			total := 0
			if told == 0 {
				total = scanned
			}
			s.progress(read-told, total)
			s.w.Flush()
			told = read
		}
	}); err != nil {
		if ctx.Err() != nil {
			return false
		}
		e := &native.Exception{Code: 1001, Name: "DB::Exception", Message: "DB::Exception: " + err.Error()}
		switch status.Code(err) {
		case codes.InvalidArgument:
			e.Code = 62
		case codes.ResourceExhausted:
			e.Code = 202
		}
		s.w.Write(e.Encode())
		return true
	}
	s.keep(q.Text)
	s.progress(scanned-told, 0)
	s.profile(h)
	if isUpdate(q.Text) {
		s.node.mark(func() { seen.Rows = brought })
		s.w.Write([]byte{native.ServerEndOfStream})
		return true
	}
	if s.rows(0, 0, h) != nil {
		return false
	}
	for sent := 0; sent < h.rows; {
		f := s.node.faults()
		rows := min(1024, h.rows-sent)
		if h.bytes > 0 {
			rows = max(1, min(rows, (256<<10)/h.bytes))
		}
		if stop := f.StallRow + f.CutRow; stop > sent {
			rows = min(rows, stop-sent)
		}
		if f.StallRow > 0 && sent >= f.StallRow {
			s.w.Flush()
			<-ctx.Done()
			return false
		}
		if f.CutRow > 0 && sent >= f.CutRow { // in the middle of a block
			s.w.Write([]byte{native.ServerData, 0, 1})
			s.w.Flush()
			return false
		}
		if f.Broken && sent > 0 { // an error behind rows
			s.w.Write((&native.Exception{Code: 241, Name: "DB::Exception", Message: "DB::Exception: memory limit"}).Encode())
			return true
		}
		if err := s.rows(sent, rows, h); err != nil || ctx.Err() != nil {
			return false
		}
		sent += rows
		s.node.mark(func() { seen.Rows = sent })
	}
	s.w.Write([]byte{native.ServerEndOfStream})
	return true
}

// rows writes a Data packet of so many rows.
func (s *nativeServer) rows(from, n int, h hints) error {
	names := new(proto.ColStr)
	var numbers proto.ColInt64
	payload := new(proto.ColStr)
	for i := range n {
		names.Append(s.node.Name)
		numbers.Append(int64(from + i))
		payload.AppendBytes(make([]byte, h.bytes))
	}
	input := proto.Input{{Name: "node", Data: names}, {Name: "row", Data: numbers}}
	if h.bytes > 0 {
		input = append(input, proto.InputColumn{Name: "payload", Data: payload})
	}
	return s.block(input, n)
}

// block writes a Data packet, compressed where the client asked for that.
func (s *nativeServer) block(input proto.Input, rows int) error {
	var b proto.Buffer
	if err := (proto.Block{Rows: rows, Columns: len(input), Info: proto.BlockInfo{BucketNum: -1}}).EncodeBlock(&b, s.revision, input); err != nil {
		return err
	}
	s.w.Write([]byte{native.ServerData, 0})
	content := b.Buf
	if s.packing != nil {
		if err := s.packing.Compress(content); err != nil {
			return err
		}
		content = s.packing.Data
	}
	_, err := s.w.Write(content)
	return err
}
