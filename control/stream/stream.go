// Package stream is the client of a control service: xDS v3 on one ADS stream, state of the world or delta. It decodes
// what is received and sends the replies that the caller decides on; it validates nothing.
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

// Options are the settings of a stream.
type Options struct {
	Address  string // host:port of the control service
	Cluster  string // resource name of the node list
	Node     string // this dispatcher's name
	Names    nodelist.Names
	Settings bool // the settings are streamed too, not the node list alone
	Delta    bool // the incremental variant of xDS
	Dial     []grpc.DialOption
	// MinBackoff and MaxBackoff bound the backoff before a new stream: it is drawn between nothing and a limit that doubles from
	// MinBackoff to MaxBackoff (full jitter), so that many dispatchers do not reconnect together. Zero values mean 200 ms and 30 s.
	MinBackoff, MaxBackoff time.Duration
	Random                 func() float64 // in [0, 1); nil: math/rand's
}

// Handler receives the events of a stream. Both methods are called from one goroutine at a time and may block briefly.
type Handler interface {
	// Offered receives one resource.
	Offered(control.Offered)
	// Lost receives the error that ended a stream; ErrRenewed if Renew did.
	Lost(error)
}

// Reply is an acknowledgement of a response, or a rejection.
type Reply struct {
	Kind           control.Kind
	Version, Nonce string
	Reasons        []string // of a rejection; nil: acknowledged
}

// Stream is a client of one service.
type Stream struct {
	options Options
	handler Handler
	replies chan Reply
	retry   chan struct{} // holds one token when a backoff is to be cut short
	renew   chan struct{} // holds one token when the present stream is to be ended
}

// ErrRenewed is the error of a stream that was ended by Renew: the service is reachable.
var ErrRenewed = errors.New("the stream is made anew")

// New returns a stream; Run opens it.
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

// Reply sends a reply on the present stream. It does not block: a reply after the stream's end is dropped, and so is one
// that finds maxQueuedReplies others queued, which does not happen on a stream that works.
func (s *Stream) Reply(r Reply) {
	select {
	case s.replies <- r:
	default:
	}
}

// Again cuts a backoff short; it does not block.
func (s *Stream) Again() { signal(s.retry) }

// Renew ends the present stream and opens another one at once, on which the service sends all resources again; it does
// not block.
func (s *Stream) Renew() { signal(s.renew) }

// signal leaves a token in a channel that holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run keeps a stream open until ctx ends. The error is that of unusable options.
func (s *Stream) Run(ctx context.Context) error {
	conn, err := s.dial()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // nothing is pending on it
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

// backOff waits a random time up to limit.
func (s *Stream) backOff(ctx context.Context, limit time.Duration) {
	t := time.NewTimer(time.Duration(s.options.Random() * float64(limit)))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.retry:
	case <-t.C:
	}
}

// runOnce opens one stream and serves it until it ends; responded tells whether a resource was received on it.
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

// dropReplies drops the replies to an earlier stream.
func (s *Stream) dropReplies() {
	for {
		select {
		case <-s.replies:
		default:
			return
		}
	}
}

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

// receive hands the resources received to the handler until the stream ends; it sets responded at the first one.
func (s *Stream) receive(ads adsStream, responded *bool) error {
	for {
		r, err := ads.recv()
		if err != nil {
			return err
		}
		k, ok := kindOf(r.typeURL)
		if !ok { // no subscription: there is nothing to reply
			continue
		}
		*responded = true
		ev := control.Offered{Kind: k, Version: r.version, Nonce: r.nonce}
		s.decode(k, r.resources, &ev)
		s.handler.Offered(ev)
	}
}

// kinds are the kinds that are subscribed to.
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
