package backend

import (
	"context"
	"errors"
	"io"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"

	"embershunt/internal/flightwire"
)

// callStats holds what the gRPC transport reports of an attempt's calls. It tells an attempt that may have run from one that was
// never sent.
type callStats struct {
	headerSent      atomic.Bool // request headers were passed to the transport, in any call of the attempt
	trailerReceived atomic.Bool // the node ended the latest call itself, with trailers
}

// callStatsKey is the context key of a *callStats.
type callStatsKey struct{}

// callStatsHandler updates the callStats in each call's context.
type callStatsHandler struct{}

var _ stats.Handler = callStatsHandler{}

// TagRPC implements stats.Handler.
func (callStatsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (callStatsHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, ok := ctx.Value(callStatsKey{}).(*callStats)
	if !ok {
		return
	}
	switch s.(type) {
	case *stats.OutHeader:
		c.headerSent.Store(true)
		c.trailerReceived.Store(false)
	case *stats.InTrailer:
		c.trailerReceived.Store(true)
	}
}

// TagConn implements stats.Handler.
func (callStatsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (callStatsHandler) HandleConn(context.Context, stats.ConnStats) {}

// unary makes a unary call and returns its answer.
func (t *flightAttempt) unary(ctx context.Context, method string, request []byte) ([]byte, error) {
	var answer flightwire.Frame
	var trailer metadata.MD
	err := t.conn.Invoke(ctx, method, flightwire.NewFrame(request), &answer, grpc.Trailer(&trailer))
	t.recordTrailer(trailer)
	if err != nil {
		return nil, err
	}
	defer answer.Free()
	return append([]byte(nil), answer.Bytes()...), nil
}

// recordTrailer records what a call's trailers report: the node's load, and that nothing ran.
func (t *flightAttempt) recordTrailer(trailer metadata.MD) {
	if l := flightLoad(trailer); l != nil {
		t.load = l
	}
	if v := trailer.Get(flightwire.TrailerRan); len(v) == 1 && v[0] == "no" {
		t.notRun = true
	}
}

var bidirectional = &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}

// stream opens a streaming call, sends its requests and closes the sending side.
func (t *flightAttempt) stream(ctx context.Context, method string, requests ...[]byte) (grpc.ClientStream, error) {
	s, err := t.conn.NewStream(ctx, bidirectional, method)
	if err != nil {
		return nil, err
	}
	for _, r := range requests {
		if err := s.SendMsg(flightwire.NewFrame(r)); err != nil {
			return nil, t.streamError(s, err)
		}
	}
	if err := s.CloseSend(); err != nil {
		return nil, t.streamError(s, err)
	}
	return s, nil
}

// streamError returns the error of a stream on which a send failed. After a send that failed with io.EOF the next receive has the
// status.
func (t *flightAttempt) streamError(s grpc.ClientStream, err error) error {
	if errors.Is(err, io.EOF) {
		var f flightwire.Frame
		if err = s.RecvMsg(&f); err == nil {
			f.Free()
			err = io.ErrUnexpectedEOF
		}
	}
	t.recordTrailer(s.Trailer())
	return err
}

// receiveFrame receives one frame and checks that its envelope can be parsed.
func (t *flightAttempt) receiveFrame(s grpc.ClientStream, f *flightwire.Frame) error {
	err := s.RecvMsg(f)
	if err != nil {
		t.recordTrailer(s.Trailer())
		return err
	}
	_, err = f.Envelope()
	return err
}

// receiveOne returns the first message of a stream, which it reads to its end. It returns errNoSchema if the stream ended without a
// message.
func (t *flightAttempt) receiveOne(s grpc.ClientStream) ([]byte, error) {
	var answer []byte
	for i := 0; ; i++ {
		var f flightwire.Frame
		err := s.RecvMsg(&f)
		if err != nil {
			t.recordTrailer(s.Trailer())
			if !errors.Is(err, io.EOF) {
				return nil, err
			}
			if i == 0 {
				return nil, errNoSchema
			}
			return answer, nil
		}
		if i == 0 {
			answer = append([]byte(nil), f.Bytes()...)
		}
		f.Free()
	}
}

// forwardFrames forwards an answer to the client. The first frame, which has only the schema, is held back until the second frame or
// the end of the stream arrives: as long as the client has received nothing, another attempt may still answer the query.
func (t *flightAttempt) forwardFrames(ctx context.Context, s grpc.ClientStream) error {
	var first, next flightwire.Frame
	defer first.Free()
	defer func() { next.Free() }()
	if err := t.receiveFrame(s, &first); err != nil {
		if errors.Is(err, io.EOF) {
			err = errNoSchema
		}
		return err
	}
	err := t.receiveFrame(s, &next)
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if err := t.awaitForward(ctx); err != nil {
		return err
	}
	if sinkErr := t.call.Sink.Frame(&first); sinkErr != nil {
		return sinkErr
	}
	for err == nil {
		if sinkErr := t.call.Sink.Frame(&next); sinkErr != nil {
			return sinkErr
		}
		next.Free()
		err = t.receiveFrame(s, &next)
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// callDiscardingAnswer makes a call and ignores its answer and errors. It is for calls whose loss does no harm: the node takes them as
// advice, or what they release expires by itself.
func callDiscardingAnswer(ctx context.Context, conn *grpc.ClientConn, method string, request []byte) {
	s, err := conn.NewStream(ctx, bidirectional, method)
	if err != nil || s.SendMsg(flightwire.NewFrame(request)) != nil || s.CloseSend() != nil {
		return
	}
	for {
		var f flightwire.Frame
		if s.RecvMsg(&f) != nil {
			return
		}
		f.Free()
	}
}
