package server_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"

	"embershunt/control"
	"embershunt/control/configv1"
	"embershunt/control/stream"
	"embershunt/simulated"
)

// scriptedControl is a control service that a test plays response by response.
type scriptedControl struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	t        testing.TB
	address  string
	requests chan *discoveryv3.DiscoveryRequest
	send     chan *discoveryv3.DiscoveryResponse
	serial   int
}

func newScriptedControl(t testing.TB) *scriptedControl {
	h := &scriptedControl{t: t, requests: make(chan *discoveryv3.DiscoveryRequest, 100), send: make(chan *discoveryv3.DiscoveryResponse)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(s, h)
	h.address = l.Addr().String()
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() { s.Stop(); _ = awaitEnd(done) })
	return h
}

// StreamAggregatedResources implements the service.
func (h *scriptedControl) StreamAggregatedResources(s discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	go func() {
		for {
			r, err := s.Recv()
			if err != nil {
				return
			}
			h.requests <- r
		}
	}()
	for {
		select {
		case <-s.Context().Done():
			return status.Error(codes.Unavailable, "ended")
		case r := <-h.send:
			if err := s.Send(r); err != nil {
				return err
			}
		}
	}
}

// awaitRequests waits until the node list and all settings were asked for.
func (h *scriptedControl) awaitRequests() {
	h.t.Helper()
	for range 6 {
		if r := h.nextRequest(); r.GetResponseNonce() != "" {
			h.t.Fatalf("a reply to %s before a response", r.GetResponseNonce())
		}
	}
}

func (h *scriptedControl) nextRequest() *discoveryv3.DiscoveryRequest {
	h.t.Helper()
	select {
	case r := <-h.requests:
		return r
	case <-time.After(5 * time.Second):
		h.t.Fatal("no request in 5 s")
		return nil
	}
}

// offer sends a response with a fresh nonce.
func (h *scriptedControl) offer(url, version string, resources ...*anypb.Any) (nonce string) {
	h.serial++
	nonce = fmt.Sprintf("n%d", h.serial)
	h.repeat(url, version, nonce, resources...)
	return nonce
}

func (h *scriptedControl) repeat(url, version, nonce string, resources ...*anypb.Any) {
	h.send <- &discoveryv3.DiscoveryResponse{VersionInfo: version, Nonce: nonce, TypeUrl: url, Resources: resources}
}

// offerAll offers a whole set.
func (h *scriptedControl) offerAll(resources []*anypb.Any) {
	for _, a := range resources {
		h.offer(a.GetTypeUrl(), "v", a)
	}
}

// awaitReplies waits for so many replies that all take, or all refuse for the reason.
func (h *scriptedControl) awaitReplies(n int, reason string) {
	h.t.Helper()
	for range n {
		r := h.nextRequest()
		if got := r.GetErrorDetail().GetMessage(); r.GetResponseNonce() == "" || (reason == "") != (got == "") || !strings.Contains(got, reason) {
			h.t.Fatalf("reply to %q of %s: %q, want %q", r.GetResponseNonce(), r.GetTypeUrl(), got, reason)
		}
	}
}

// checkNoReply checks that no reply is on its way: the next one is to a response that is sent now.
func (h *scriptedControl) checkNoReply(nodes *anypb.Any) {
	h.t.Helper()
	nonce := h.offer(stream.TypeURL(control.Nodes), "quiet", nodes)
	if r := h.nextRequest(); r.GetResponseNonce() != nonce {
		h.t.Fatalf("a reply to %q, want none before that to %q", r.GetResponseNonce(), nonce)
	}
}

// A control service on its bad days, over real sockets, response by response.
func TestServicesOnBadDays(t *testing.T) {
	url := stream.TypeURL(control.Nodes)
	type place struct {
		*testing.T
		*scriptedControl
		r     *rig
		relay *simulated.Relay
		nodes func(draining string) *anypb.Any // the list, with one node draining
	}
	cases := []struct {
		name string
		play func(p place)
	}{
		{"a nonce is repeated", func(p place) {
			whole := settings(p.T, 1, nil)
			p.offerAll(whole)
			p.awaitReplies(5, "")
			p.repeat(whole[0].GetTypeUrl(), "v", "n2", whole[0])
			p.awaitReplies(1, "") // taken as what it is: in force
			p.repeat(url, "v", "n1", p.nodes(""))
			p.awaitReplies(1, "")
		}},
		{"a type that nobody asked for", func(p place) {
			p.offer("type.googleapis.com/envoy.config.cluster.v3.Cluster", "1", &anypb.Any{TypeUrl: "x", Value: []byte{1}})
			p.checkNoReply(p.nodes(""))
		}},
		{"a resource is missing", func(p place) {
			p.offer(stream.TypeURL(control.Limits), "1")
			p.awaitReplies(1, "0 resources")
			p.offer(url, "2")
			p.awaitReplies(1, `cluster "nodes" is not in the response`)
		}},
		{"a good and a bad resource in one response", func(p place) {
			p.offer(url, "2", p.nodes("node-0"), &anypb.Any{TypeUrl: url, Value: []byte{0xff}})
			p.awaitReplies(1, "resource 1")
			good := settings(p.T, 1, nil)
			p.offer(good[0].GetTypeUrl(), "2", good[0], good[1])
			p.awaitReplies(1, "2 resources")
		}},
		{"a resource of another type than the response", func(p place) {
			p.offer(url, "2", settings(p.T, 1, nil)[0])
			p.awaitReplies(1, "resource 0")
		}},
		{"a wrong number", func(p place) {
			p.offerAll(settings(p.T, 5, nil))
			p.awaitReplies(5, "")
			p.offerAll(settings(p.T, 4, nil))
			p.awaitReplies(5, "older than 5")
			p.offer(stream.TypeURL(control.Tenants), "v", settings(p.T, 0, nil)[1])
			p.awaitReplies(1, "set is 0")
		}},
		{"two services disagree on a set", func(p place) {
			p.offerAll(settings(p.T, 1, nil))
			p.awaitReplies(5, "")
			other := newScriptedControl(p.T)
			p.relay.Redirect(other.address)
			other.awaitRequests()
			other.offerAll(settings(p.T, 1, func(s *control.Set) { s.Limits.Attempts = 3 }))
			other.awaitReplies(2, "") // the same in both
			other.awaitReplies(1, "two services disagree")
			other.awaitReplies(2, "")
		}},
		{"two services disagree on a node", func(p place) {
			p.offer(url, "2", p.nodes("node-0"))
			p.awaitReplies(1, "")
			other := newScriptedControl(p.T)
			p.relay.Redirect(other.address)
			other.awaitRequests()
			other.offer(url, "9", p.nodes(""))
			other.awaitReplies(1, "relisted")
			other.offer(url, "10", p.nodes("node-1"))
			other.awaitReplies(1, "relisted") // and its word on a drain is believed all the same
		}},
		{"a drain races with an older list", func(p place) {
			p.offer(url, "2", p.nodes("node-0"))
			p.offer(url, "1", p.nodes(""))
			p.awaitReplies(1, "")
			p.awaitReplies(1, "relisted")
			before := len(p.r.nodes[0].Attempts())
			for range 20 {
				if _, err := p.r.query(p.Context(), "SELECT 1 /* rows=1 */"); err != nil {
					p.Fatal(err)
				}
			}
			if n := len(p.r.nodes[0].Attempts()) - before; n > 0 {
				p.Errorf("the node that drains was sent %d", n)
			}
		}},
		{"let go by an operator", func(p place) {
			p.offerAll(settings(p.T, 1, nil))
			p.awaitReplies(5, "")
			p.r.operate("/config/pin?on=true")
			p.offerAll(settings(p.T, 2, nil))
			p.awaitReplies(5, "pinned")
			p.r.operate("/config/pin?on=false")
			p.awaitRequests() // on a new stream, at once, so that set 2 is offered again
			p.offerAll(settings(p.T, 2, nil))
			p.awaitReplies(5, "")
		}},
		{"lost in the middle of a response", func(p place) {
			spent := p.relay.CutAfter(40 << 10)
			set := settings(p.T, 1, func(s *control.Set) { manyRules(s, 200) })
			for _, a := range set[:4] {
				p.offer(a.GetTypeUrl(), "v", a)
			}
			<-spent
			if s, _ := p.r.d.ControlStatus(); s.Number != 0 {
				p.Errorf("set %d is in force", s.Number)
			}
			p.awaitRequests()
			p.offerAll(set)
			p.awaitReplies(5, "")
		}},
		{"a response that trickles in", func(p place) {
			spent := p.relay.HoldAfter(40 << 10)
			set := settings(p.T, 1, func(s *control.Set) { manyRules(s, 200) })
			sent := make(chan struct{})
			go func() { p.offerAll(set); close(sent) }()
			<-spent
			for range 5 {
				if _, err := p.r.query(p.Context(), "SELECT 1 /* rows=1 */"); err != nil {
					p.Error(err)
				}
			}
			if s, _ := p.r.d.ControlStatus(); s.Number != 0 {
				p.Errorf("set %d is in force before it is there", s.Number)
			}
			p.relay.Release()
			<-sent
			p.awaitReplies(5, "")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newScriptedControl(t)
			relay, err := simulated.NewRelay(h.address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(relay.Close)
			r := newRigWith(t, 3, func(string) string { return "{}" }, fmt.Sprintf(`, "control": {"address": %q, "cluster": "nodes",
				"reconnect_most": "20ms"}`, relay.Address()))
			nodes := func(draining string) *anypb.Any {
				rows := listed(r)
				for i := range rows {
					rows[i].Draining = rows[i].Name == draining
				}
				a, err := anypb.New(simulated.Assignment("nodes", rows))
				if err != nil {
					t.Fatal(err)
				}
				return a
			}
			h.awaitRequests()
			h.offer(url, "1", nodes(""))
			h.awaitReplies(1, "")
			c.play(place{t, h, r, relay, nodes})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			if _, err := r.query(ctx, "SELECT 1 /* rows=1 */"); err != nil {
				t.Error("after it: ", err)
			}
		})
	}
}

// operate does as an operator asks.
func (r *rig) operate(path string) {
	r.t.Helper()
	w := httptest.NewRecorder()
	r.d.AdminHandler().ServeHTTP(w, httptest.NewRequest("POST", path, nil))
	if w.Code != 200 {
		r.t.Fatal(path, ": ", w.Body)
	}
}

// manyRules makes a set's rules large.
func manyRules(s *control.Set, rules int) {
	for i := range rules {
		s.Classification.Rules = append(s.Classification.Rules, &configv1.Rule{Name: fmt.Sprintf("rule-%d", i), Class: "lookup",
			Statement: "^SELECT " + strings.Repeat("x", 400) + fmt.Sprint(i)})
	}
}
