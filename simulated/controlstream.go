package simulated

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// stream is the state of one ADS stream of either variant.
type stream struct {
	dispatcher        string
	subscribed        map[string]bool // by type URL
	sentVersions      map[string]int  // last version sent, by type URL
	subscriptionAdded chan struct{}   // holds a token after each new subscription
}

// request is a message from a dispatcher on a stream: a subscription, a reply to a response, or both.
type request struct {
	dispatcher, typeURL          string
	version, nonce, errorMessage string
	subscribes                   bool
}

// recordRequest records a request's reply, if it has one, and adds its subscription to the stream.
func (c *Control) recordRequest(s *stream, r request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() {
		close(c.dispatcherChanged)
		c.dispatcherChanged = make(chan struct{})
	}()
	if s.dispatcher == "" {
		s.dispatcher = r.dispatcher
		c.streamStarts = append(c.streamStarts, time.Now())
	}
	if r.subscribes && !s.subscribed[r.typeURL] {
		s.subscribed[r.typeURL] = true
		select {
		case s.subscriptionAdded <- struct{}{}:
		default:
		}
	}
	if r.nonce != "" {
		c.recordReply(s.dispatcher, r)
	}
}

// recordReply records the reply to a response, calls onReply unless the response had an endpoint list, and marks a rejected endpoint
// list. The caller holds c.mu.
func (c *Control) recordReply(dispatcher string, r request) {
	if n, err := strconv.ParseUint(r.nonce, 10, 64); err == nil && c.onReply != nil && r.typeURL != edsType {
		c.onReply(dispatcher, n, r.errorMessage)
		c.push()
	}
	c.replies = append(c.replies[max(0, len(c.replies)-maxReplies):], Reply{time.Now(), dispatcher,
		r.typeURL, r.version, r.nonce, r.errorMessage})
	for i := range c.pushed {
		if p := &c.pushed[i]; r.errorMessage != "" && r.typeURL == edsType && p.Dispatcher == dispatcher && p.Nonce == r.nonce {
			p.Rejected = true
		}
	}
}

// nextResources returns the subscribed resources whose current version the stream has not sent yet, and marks them as sent. changed
// is closed when there may be more.
func (c *Control) nextResources(s *stream) (out []resource, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.dispatcher == "" { // no request yet
		return nil, c.resourcesChanged
	}
	resources := c.resourcesFor(s.dispatcher)
	for _, url := range slices.Sorted(maps.Keys(resources)) {
		r := resources[url]
		if !s.subscribed[url] || s.sentVersions[url] == r.version {
			continue
		}
		s.sentVersions[url] = r.version
		c.sentBytes += proto.Size(r.content)
		out = append(out, r)
		if value := r.content.GetValue(); url == edsType && value != nil && value[0] != 0xff { // a malformed list begins with 0xff
			c.recordPush(s.dispatcher, r.version)
		}
	}
	return out, c.resourcesChanged
}

// recordPush records that a dispatcher is sent the current endpoint list. The caller holds c.mu.
func (c *Control) recordPush(dispatcher string, version int) {
	p := Push{At: time.Now(), Dispatcher: dispatcher, Nonce: strconv.Itoa(version)}
	for _, node := range c.nodes {
		if node.Draining {
			p.Draining = append(p.Draining, node.Name)
		} else {
			p.Healthy = append(p.Healthy, node.Name)
		}
	}
	c.pushed = append(c.pushed, p)
}

// serve runs a stream until it ends. recv receives and records one request, send sends one resource.
func (c *Control) serve(ctx context.Context, recv func(*stream) error, send func(resource) error) error {
	s := &stream{subscribed: map[string]bool{}, sentVersions: map[string]int{}, subscriptionAdded: make(chan struct{}, 1)}
	recvFailed := make(chan error, 1)
	go func() { // ends with the gRPC stream
		for {
			if err := recv(s); err != nil {
				recvFailed <- err
				return
			}
		}
	}()
	for {
		resources, changed := c.nextResources(s)
		for _, r := range resources {
			if err := send(r); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-s.subscriptionAdded:
		case err := <-recvFailed:
			return err
		case <-ctx.Done():
			return errors.New("stream ended")
		}
	}
}

// StreamAggregatedResources implements the state-of-the-world variant of ADS.
func (c *Control) StreamAggregatedResources(s discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return c.serve(s.Context(), func(state *stream) error {
		r, err := s.Recv()
		if err == nil {
			c.recordRequest(state, request{dispatcher: r.GetNode().GetId(), typeURL: r.GetTypeUrl(), version: r.GetVersionInfo(),
				nonce: r.GetResponseNonce(), errorMessage: r.GetErrorDetail().GetMessage(), subscribes: true})
		}
		return err
	}, func(r resource) error {
		v := strconv.Itoa(r.version)
		return s.Send(&discoveryv3.DiscoveryResponse{VersionInfo: v, Nonce: v, TypeUrl: r.content.GetTypeUrl(),
			Resources: []*anypb.Any{r.content}})
	})
}

// DeltaAggregatedResources implements the delta (incremental) variant of ADS.
func (c *Control) DeltaAggregatedResources(s discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return c.serve(s.Context(), func(state *stream) error {
		r, err := s.Recv()
		if err == nil {
			c.recordRequest(state, request{dispatcher: r.GetNode().GetId(), typeURL: r.GetTypeUrl(), nonce: r.GetResponseNonce(),
				errorMessage: r.GetErrorDetail().GetMessage(), subscribes: len(r.GetResourceNamesSubscribe()) > 0})
		}
		return err
	}, func(r resource) error {
		v := strconv.Itoa(r.version)
		return s.Send(&discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: v, Nonce: v, TypeUrl: r.content.GetTypeUrl(),
			Resources: []*discoveryv3.Resource{{Name: r.name, Version: v, Resource: r.content}}})
	})
}
