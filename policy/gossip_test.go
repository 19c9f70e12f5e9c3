package policy

import "testing"

// Gateways that talk share an engine's room; words that stop are forgotten.
func TestPeersShareRoomAndAreForgotten(t *testing.T) {
	s := testSettings()
	s.CanGossip = true
	a, b := newBench(t, s, 1), newBench(t, s, 1)
	a.g.settings.PeerIndex, b.g.settings.PeerIndex = 0, 1
	for range 40 {
		a.step(a.request(1))
	}
	told := only[SendGossip](a.until(a.now + sec))
	if len(told) == 0 || len(told[0].Data) > 256 {
		t.Fatalf("messages %v", told)
	}
	b.now = a.now
	b.step(GossipReceived{From: 0, Data: told[len(told)-1].Data})
	there := a.g.endpoints.list[0].threads // one query may have gone out since the message
	if threads, _ := b.g.peerLoad(b.g.endpoints.list[0]); threads < there-4 || threads > there || threads == 0 {
		t.Fatalf("heard of %v threads, there are %v", threads, there)
	}
	b.until(b.now + 5*sec)
	if threads, _ := b.g.peerLoad(b.g.endpoints.list[0]); threads != 0 {
		t.Fatal("a silent peer still counts")
	}
}

func FuzzHeard(f *testing.F) {
	f.Add([]byte{}, 1)
	f.Add(encodeGossip([]float64{1}, []gossipRow{{wireID: 1, utilization: 2.5, inFlight: 254, memory: 2, inflation: 3, threads: 60, lockedGroup: 255}}), 1)
	f.Fuzz(func(t *testing.T, data []byte, from int) {
		s := testSettings()
		s.CanGossip, s.Peers = true, 5
		b := newBench(t, s, 3)
		b.step(GossipReceived{From: from, Data: data}, b.request(0))
		b.until(b.now + sec/5)
	})
}
