// Package stream is the client of a control service. It speaks xDS v3 on one ADS stream, in the state-of-the-world or the
// delta variant. It decodes the responses and sends the replies that the caller decides on; it does not validate settings.
package stream

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"embershunt/control"
	"embershunt/nodelist"
)

const (
	defaultMinBackoff = 200 * time.Millisecond
	defaultMaxBackoff = 30 * time.Second
	maxResponseBytes  = 64 << 20
	maxQueuedReplies  = 1000
)

// Options configures a Stream.
type Options struct {
	Address  string // host:port of the control service
	Cluster  string // resource name of the node list
	Node     string // this dispatcher's name
	Names    nodelist.Names
	Settings bool              // whether the settings are streamed besides the node list
	Delta    bool              // whether to use the incremental variant of xDS
	Dial     []grpc.DialOption // additional ones; none: an unencrypted connection
	// MinBackoff and MaxBackoff bound the backoff before a new stream. The backoff is drawn between 0 and a limit that doubles
	// from MinBackoff to MaxBackoff (full jitter), so that many dispatchers do not reconnect at the same time. Zero values mean
	// 200 ms and 30 s.
	MinBackoff, MaxBackoff time.Duration
	Random                 func() float64 // in [0, 1); nil: math/rand's
}

// Handler receives the events of a stream. Its methods are called from one goroutine at a time and may block briefly.
type Handler interface {
	// Offered receives one decoded response.
	Offered(control.Offered)
	// Lost receives the error that ended a stream; ErrRenewed if Renew ended it.
	Lost(error)
}

// Reply is an acknowledgement or a rejection of a response.
type Reply struct {
	Kind           control.Kind
	Version, Nonce string
	Reasons        []string // of a rejection; nil: acknowledged
}

// Stream is a client of one control service. It keeps one ADS stream open, and opens another when that ends.
type Stream struct {
	options Options
	handler Handler
	replies chan Reply
	retry   chan struct{} // holds a token if the backoff is to end now
	renew   chan struct{} // holds a token if the current stream is to end
}

// ErrRenewed is the error of a stream that Renew ended. It does not mean that the service is unreachable.
var ErrRenewed = errors.New("stream ended by Renew")

// New returns a Stream that does nothing until Run is called.
func New(o Options, h Handler) *Stream {
	if o.MinBackoff == 0 {
		o.MinBackoff = defaultMinBackoff
	}
	if o.MaxBackoff == 0 {
		o.MaxBackoff = defaultMaxBackoff
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return &Stream{options: o, handler: h, replies: make(chan Reply, maxQueuedReplies), retry: make(chan struct{}, 1),
		renew: make(chan struct{}, 1)}
}

// Reply queues a reply to be sent on the current stream. It does not block: a reply is dropped if the stream has ended, or if
// maxQueuedReplies others are queued, which does not happen on a working stream.
func (s *Stream) Reply(r Reply) {
	select {
	case s.replies <- r:
	default:
	}
}

// RetryNow ends a backoff at once, or the next one if there is none now. It does not block.
func (s *Stream) RetryNow() { signal(s.retry) }

// Renew ends the current stream and opens another one at once, on which the service sends all resources again. It does not
// block.
func (s *Stream) Renew() { signal(s.renew) }

// signal puts a token into a channel with room for one, unless the channel holds one already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run keeps a stream open until ctx ends. It returns an error only if the options are unusable.
func (s *Stream) Run(ctx context.Context) error {
	conn, err := s.dial()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // no call is pending on the connection
	limit := s.options.MinBackoff
	for ctx.Err() == nil {
		responded, err := s.runOnce(ctx, conn)
		if ctx.Err() != nil {
			return nil
		}
		s.handler.Lost(err)
		if errors.Is(err, ErrRenewed) {
			continue
		}
		if responded {
			limit = s.options.MinBackoff
		}
		s.backOff(ctx, limit)
		limit = min(2*limit, s.options.MaxBackoff)
		conn.ResetConnectBackoff()
	}
	return nil
}

func (s *Stream) dial() (*grpc.ClientConn, error) {
	options := append([]grpc.DialOption{grpc.WithNoProxy(), grpc.WithIdleTimeout(0),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes))}, s.options.Dial...)
	if len(s.options.Dial) == 0 {
		options = append(options, grpc.WithTransportCredentials(insecure.NewCredentials()))
	}
	return grpc.NewClient("passthrough:///"+s.options.Address, options...)
}

// backOff waits a random time up to limit, or until RetryNow or the end of ctx.
func (s *Stream) backOff(ctx context.Context, limit time.Duration) {
	t := time.NewTimer(time.Duration(s.options.Random() * float64(limit)))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.retry:
	case <-t.C:
	}
}

// runOnce opens one stream and serves it until it ends. responded reports whether a response to a subscription was
// received on it, which resets the backoff.
func (s *Stream) runOnce(ctx context.Context, conn *grpc.ClientConn) (responded bool, err error) {
	s.dropReplies()
	group, ctx := errgroup.WithContext(ctx)
	ads, err := s.open(ctx, conn)
	if err != nil {
		return false, err
	}
	for _, k := range s.kinds() {
		if err := ads.subscribe(k, s.resourceName(k)); err != nil {
			return false, err
		}
	}
	group.Go(func() error { return s.sendReplies(ctx, ads) })
	group.Go(func() error { return s.receive(ads, &responded) })
	err = group.Wait()
	return responded, err
}

// dropReplies drops the queued replies, which belong to an earlier stream.
func (s *Stream) dropReplies() {
	for {
		select {
		case <-s.replies:
		default:
			return
		}
	}
}

// sendReplies sends the queued replies until ctx ends, Renew is called or sending fails.
func (s *Stream) sendReplies(ctx context.Context, ads adsStream) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.renew:
			return ErrRenewed
		case r := <-s.replies:
			if err := ads.reply(r.Kind, s.resourceName(r.Kind), r); err != nil {
				return err
			}
		}
	}
}

// receive passes the responses to the handler until the stream ends, and sets *responded at the first one.
func (s *Stream) receive(ads adsStream, responded *bool) error {
	for {
		r, err := ads.recv()
		if err != nil {
			return err
		}
		k, ok := kindOfTypeURL(r.typeURL)
		if !ok { // a type without a subscription needs no reply
			continue
		}
		*responded = true
		ev := control.Offered{Kind: k, Version: r.version, Nonce: r.nonce}
		s.decode(k, r.resources, &ev)
		s.handler.Offered(ev)
	}
}

// kinds returns the kinds to subscribe to.
func (s *Stream) kinds() []control.Kind {
	if !s.options.Settings {
		return []control.Kind{control.Nodes}
	}
	return []control.Kind{control.Classes, control.Tenants, control.Limits, control.Classification, control.Fronts,
		control.Nodes}
}

func (s *Stream) resourceName(k control.Kind) string {
	if k == control.Nodes {
		return s.options.Cluster
	}
	return SettingsName
}
