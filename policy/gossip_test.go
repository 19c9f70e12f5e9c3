package policy

import "testing"

// A peer's gossiped attempts count in the load of an endpoint, and no longer once the peer stops gossiping.
func TestPeerAttemptsCountAndExpire(t *testing.T) {
	s := testSettings()
	s.CanGossip = true
	a, b := newHarness(t, s, 1), newHarness(t, s, 1)
	a.g.settings.PeerIndex, b.g.settings.PeerIndex = 0, 1
	for range 40 {
		a.step(a.request(1))
	}
	messages := actionsOf[SendGossip](a.runUntil(a.now + sec))
	if len(messages) == 0 || len(messages[0].Data) > 256 {
		t.Fatalf("want messages of at most 256 bytes, got %v", messages)
	}
	b.now = a.now
	b.step(GossipReceived{From: 0, Data: messages[len(messages)-1].Data})
	want := a.g.endpoints.list[0].threads // one query may have been sent since the message
	if threads, _ := b.g.peerLoad(b.g.endpoints.list[0]); threads < want-4 || threads > want || threads == 0 {
		t.Fatalf("the endpoint has %v threads by gossip, the peer has %v there", threads, want)
	}
	b.runUntil(b.now + 5*sec)
	if threads, _ := b.g.peerLoad(b.g.endpoints.list[0]); threads != 0 {
		t.Fatal("the attempts of a peer that stopped gossiping still count")
	}
}

func FuzzHandleGossip(f *testing.F) {
	f.Add([]byte{}, 1)
	f.Add(encodeGossip([]float64{1}, []gossipRow{{wireID: 1, utilization: 2.5, inFlight: 254, memory: 2, inflation: 3, threads: 60, lockedGroup: 255}}), 1)
	f.Fuzz(func(t *testing.T, data []byte, from int) {
		s := testSettings()
		s.CanGossip, s.Peers = true, 5
		b := newHarness(t, s, 3)
		b.step(GossipReceived{From: from, Data: data}, b.request(0))
		b.runUntil(b.now + sec/5)
	})
}
