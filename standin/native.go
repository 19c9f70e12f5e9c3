package standin

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"

	"github.com/ClickHouse/ch-go/proto"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

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
			(&nativeServer{node: n, life: v, conn: conn, w: bufio.NewWriterSize(conn, 64<<10)}).serve(ctx)
		}()
	}
}

type nativeServer struct {
	node     *Node
	life     *life
	conn     net.Conn
	w        *bufio.Writer
	revision int
}

func (s *nativeServer) serve(ctx context.Context) {
	r := native.NewReader(s.conn, 64<<20)
	h, err := r.ReadHello()
	if err != nil {
		return
	}
	s.revision = min(h.Revision, native.Newest)
	s.w.Write(native.Server{Name: "standin", Major: 1, Revision: native.Newest, Timezone: "UTC", DisplayName: s.node.Name}.Encode())
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
		if code == native.ClientQuery {
			if p.query, err = r.ReadQuery(s.revision); err != nil {
				return
			}
			for b := (native.Block{Rows: 1}); !b.End(); {
				if code, err = r.ReadClient(); err != nil || code != native.ClientData {
					return
				}
				if b, err = r.ReadClientData(s.revision); err != nil {
					return
				}
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
	answered := make(chan bool, 1)
	go func() { answered <- s.answer(ctx, q) }()
	select {
	case ok := <-answered:
		return ok
	case <-packets: // a cancel, or the client's end
		cancel()
		<-answered
		return false
	}
}

func (s *nativeServer) answer(ctx context.Context, q native.Query) bool {
	id, number := q.ID, "0"
	if i := strings.LastIndexByte(id, '-'); i > 0 {
		id, number = id[:i], id[i+1:]
	}
	md := metadata.MD{"embershunt-query": {id}, "embershunt-attempt": {number}}
	for _, set := range q.Settings {
		switch set.Name {
		case "priority":
			if p, err := strconv.Atoi(set.Value); err == nil {
				md.Set("embershunt-priority", strconv.Itoa(4-p))
			}
		case "max_memory_usage":
			if b, err := strconv.ParseFloat(set.Value, 64); err == nil {
				md.Set("embershunt-memory-mb", strconv.FormatFloat(b/1e6, 'f', 0, 64))
			}
		}
	}
	ctx = metadata.NewIncomingContext(ctx, md)
	h := parseHints(q.Text)
	seen := s.node.note(ctx, q.Text, isUpdate(q.Text))
	if err := s.node.work(ctx, s.life, seen, h); err != nil {
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
	s.w.Write(native.PutUvarint([]byte{native.ServerProgress}, uint64(h.rows)))
	s.w.Write([]byte{0, 0, 0, 0})
	if s.revision >= native.Newest {
		s.w.Write([]byte{0})
	}
	if isUpdate(q.Text) {
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
	var b proto.Buffer
	b.PutUVarInt(native.ServerData)
	b.PutString("")
	err := (proto.Block{Rows: n, Columns: len(input), Info: proto.BlockInfo{BucketNum: -1}}).EncodeBlock(&b, s.revision, input)
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	_, err = s.w.Write(b.Buf)
	return err
}
