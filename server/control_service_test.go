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

// scriptedControl is a control service whose responses a test sends one by one.
type scriptedControl struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	t        testing.TB
	address  string
	requests chan *discoveryv3.DiscoveryRequest
	send     chan *discoveryv3.DiscoveryResponse
	nonces   int // number of nonces used
}

// newScriptedControl starts a service on loopback; it is stopped when the test ends.
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

// StreamAggregatedResources implements the discovery service: it passes requests to h.requests and responses from h.send.
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

// awaitRequests receives the first requests of a stream: one for the node list and one for each of the five resources of the settings.
func (h *scriptedControl) awaitRequests() {
	h.t.Helper()
	for range 6 {
		if r := h.nextRequest(); r.GetResponseNonce() != "" {
			h.t.Fatalf("reply to nonce %q, want a first request", r.GetResponseNonce())
		}
	}
}

// nextRequest receives the next request, which may be a reply. It fails the test after 5 s.
func (h *scriptedControl) nextRequest() *discoveryv3.DiscoveryRequest {
	h.t.Helper()
	select {
	case r := <-h.requests:
		return r
	case <-time.After(5 * time.Second):
		h.t.Fatal("no request from the dispatcher within 5 s")
		return nil
	}
}

// offer sends a response with a new nonce, which it returns.
func (h *scriptedControl) offer(url, version string, resources ...*anypb.Any) (nonce string) {
	h.nonces++
	nonce = fmt.Sprintf("n%d", h.nonces)
	h.offerWithNonce(url, version, nonce, resources...)
	return nonce
}

// offerWithNonce sends a response with a nonce of the caller, which may have been used before.
func (h *scriptedControl) offerWithNonce(url, version, nonce string, resources ...*anypb.Any) {
	h.send <- &discoveryv3.DiscoveryResponse{VersionInfo: version, Nonce: nonce, TypeUrl: url, Resources: resources}
}

// offerAll sends a response for each resource of a set.
func (h *scriptedControl) offerAll(resources []*anypb.Any) {
	for _, a := range resources {
		h.offer(a.GetTypeUrl(), "v", a)
	}
}

// awaitReplies receives n replies and checks that each is an ACK, or with a reason that each is a NACK whose message contains it.
func (h *scriptedControl) awaitReplies(n int, reason string) {
	h.t.Helper()
	for range n {
		r := h.nextRequest()
		if got := r.GetErrorDetail().GetMessage(); r.GetResponseNonce() == "" || (reason == "") != (got == "") ||
			!strings.Contains(got, reason) {
			h.t.Fatalf("reply to nonce %q of %s: rejected with %q, want %q", r.GetResponseNonce(), r.GetTypeUrl(), got, reason)
		}
	}
}

// checkNoReply checks that no reply to earlier responses is pending: the next reply is to a node list that is sent now.
func (h *scriptedControl) checkNoReply(nodes *anypb.Any) {
	h.t.Helper()
	nonce := h.offer(stream.TypeURL(control.Nodes), "quiet", nodes)
	if r := h.nextRequest(); r.GetResponseNonce() != nonce {
		h.t.Fatalf("reply to nonce %q, want none before the reply to %q", r.GetResponseNonce(), nonce)
	}
}

// Faults of a control service and of the connection to it, over real sockets: repeated, malformed and contradictory responses, outdated
// lists, lost and slow streams. Each is answered as specified, and queries are served after it.
func TestControlServiceFaults(t *testing.T) {
	url := stream.TypeURL(control.Nodes)
	type env struct {
		*testing.T
		*scriptedControl
		r     *rig
		relay *simulated.Relay                 // between the dispatcher and the service
		nodes func(draining string) *anypb.Any // list of all nodes, where the named one drains; "": none does
	}
	cases := []struct {
		name string
		run  func(e env)
	}{
		{"a nonce is repeated", func(e env) {
			whole := settingsResources(e.T, 1, nil)
			e.offerAll(whole)
			e.awaitReplies(5, "")
			e.offerWithNonce(whole[0].GetTypeUrl(), "v", "n2", whole[0])
			e.awaitReplies(1, "") // acknowledged: it repeats the set in force
			e.offerWithNonce(url, "v", "n1", e.nodes(""))
			e.awaitReplies(1, "")
		}},
		{"a resource type that was not requested", func(e env) {
			e.offer("type.googleapis.com/envoy.config.cluster.v3.Cluster", "1", &anypb.Any{TypeUrl: "x", Value: []byte{1}})
			e.checkNoReply(e.nodes(""))
		}},
		{"a resource is missing", func(e env) {
			e.offer(stream.TypeURL(control.Limits), "1")
			e.awaitReplies(1, "0 resources")
			e.offer(url, "2")
			e.awaitReplies(1, `cluster "nodes" is not in the response`)
		}},
		{"a valid and a malformed resource in one response", func(e env) {
			e.offer(url, "2", e.nodes("node-0"), &anypb.Any{TypeUrl: url, Value: []byte{0xff}})
			e.awaitReplies(1, "resource 1")
			good := settingsResources(e.T, 1, nil)
			e.offer(good[0].GetTypeUrl(), "2", good[0], good[1])
			e.awaitReplies(1, "2 resources")
		}},
		{"a resource of another type than the response", func(e env) {
			e.offer(url, "2", settingsResources(e.T, 1, nil)[0])
			e.awaitReplies(1, "resource 0")
		}},
		{"a set number that is older or zero", func(e env) {
			e.offerAll(settingsResources(e.T, 5, nil))
			e.awaitReplies(5, "")
			e.offerAll(settingsResources(e.T, 4, nil))
			e.awaitReplies(5, "older than 5")
			e.offer(stream.TypeURL(control.Tenants), "v", settingsResources(e.T, 0, nil)[1])
			e.awaitReplies(1, "set is 0")
		}},
		{"two services disagree on a set", func(e env) {
			e.offerAll(settingsResources(e.T, 1, nil))
			e.awaitReplies(5, "")
			other := newScriptedControl(e.T)
			e.relay.Redirect(other.address)
			other.awaitRequests()
			other.offerAll(settingsResources(e.T, 1, func(s *control.Set) { s.Limits.Attempts = 3 }))
			other.awaitReplies(2, "") // these two resources are the same in both sets
			other.awaitReplies(1, "two services disagree")
			other.awaitReplies(2, "")
		}},
		{"two services disagree on a node", func(e env) {
			e.offer(url, "2", e.nodes("node-0"))
			e.awaitReplies(1, "")
			other := newScriptedControl(e.T)
			e.relay.Redirect(other.address)
			other.awaitRequests()
			other.offer(url, "9", e.nodes(""))
			other.awaitReplies(1, "relisted")
			other.offer(url, "10", e.nodes("node-1"))
			other.awaitReplies(1, "relisted") // the drain of node-1 is accepted nevertheless
		}},
		{"an older list follows a drain", func(e env) {
			e.offer(url, "2", e.nodes("node-0"))
			e.offer(url, "1", e.nodes(""))
			e.awaitReplies(1, "")
			e.awaitReplies(1, "relisted")
			before := len(e.r.nodes[0].Attempts())
			for range 20 {
				if _, err := e.r.query(e.Context(), "SELECT 1 /* rows=1 */"); err != nil {
					e.Fatal(err)
				}
			}
			if n := len(e.r.nodes[0].Attempts()) - before; n > 0 {
				e.Errorf("the draining node received %d attempts, want none", n)
			}
		}},
		{"unpinned by an operator", func(e env) {
			e.offerAll(settingsResources(e.T, 1, nil))
			e.awaitReplies(5, "")
			e.r.postAdmin("/config/pin?on=true")
			e.offerAll(settingsResources(e.T, 2, nil))
			e.awaitReplies(5, "pinned")
			e.r.postAdmin("/config/pin?on=false")
			e.awaitRequests() // a new stream is opened at once, so that the service sends set 2 again
			e.offerAll(settingsResources(e.T, 2, nil))
			e.awaitReplies(5, "")
		}},
		{"the connection breaks in the middle of a response", func(e env) {
			limitReached := e.relay.CutAfter(40 << 10)
			set := settingsResources(e.T, 1, func(s *control.Set) { addLargeRules(s, 200) })
			for _, a := range set[:4] { // the fourth, with the rules, is larger than 40 KiB
				e.offer(a.GetTypeUrl(), "v", a)
			}
			<-limitReached
			if s, _ := e.r.d.ControlStatus(); s.Number != 0 {
				e.Errorf("set %d is in force after a part of set 1, want none", s.Number)
			}
			e.awaitRequests()
			e.offerAll(set)
			e.awaitReplies(5, "")
		}},
		{"a response stalls in the middle", func(e env) {
			limitReached := e.relay.HoldAfter(40 << 10)
			set := settingsResources(e.T, 1, func(s *control.Set) { addLargeRules(s, 200) })
			sent := make(chan struct{})
			go func() { e.offerAll(set); close(sent) }()
			<-limitReached
			for range 5 {
				if _, err := e.r.query(e.Context(), "SELECT 1 /* rows=1 */"); err != nil {
					e.Error(err)
				}
			}
			if s, _ := e.r.d.ControlStatus(); s.Number != 0 {
				e.Errorf("set %d is in force before all of set 1 was received, want none", s.Number)
			}
			e.relay.Release()
			<-sent
			e.awaitReplies(5, "")
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
				rows := listedNodes(r)
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
			c.run(env{t, h, r, relay, nodes})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			if _, err := r.query(ctx, "SELECT 1 /* rows=1 */"); err != nil {
				t.Error("query after the fault: ", err)
			}
		})
	}
}

// postAdmin sends a POST request of an operator to the admin interface and checks that it succeeds.
func (r *rig) postAdmin(path string) {
	r.t.Helper()
	w := httptest.NewRecorder()
	r.d.AdminHandler().ServeHTTP(w, httptest.NewRequest("POST", path, nil))
	if w.Code != 200 {
		r.t.Fatal("POST ", path, ": ", w.Body)
	}
}

// addLargeRules appends rules of more than 400 bytes each to a set.
func addLargeRules(s *control.Set, rules int) {
	for i := range rules {
		s.Classification.Rules = append(s.Classification.Rules, &configv1.Rule{Name: fmt.Sprintf("rule-%d", i), Class: "lookup",
			Statement: "^SELECT " + strings.Repeat("x", 400) + fmt.Sprint(i)})
	}
}
