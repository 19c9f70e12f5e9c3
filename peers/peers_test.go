package peers_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"embershunt/peers"
	"embershunt/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type heard chan policy.Event

func (h heard) Notify(ev policy.Event) { h <- ev }

// Messages pass as they are, a sender is known by its address, and what comes from elsewhere or is too long is dropped.
func TestMessages(t *testing.T) {
	var addresses []string
	for range 2 {
		l, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, l.LocalAddr().String())
		l.Close()
	}
	ctx, cancel := context.WithCancel(t.Context())
	var all []*peers.Peers
	var ears []heard
	done := make(chan error, 2)
	for i, a := range addresses {
		p, err := peers.Listen(a, addresses, i)
		if err != nil {
			t.Fatal(err)
		}
		h := make(heard, 10)
		all, ears = append(all, p), append(ears, h)
		go func() { done <- p.Run(ctx, h) }()
	}
	stranger, err := net.Dial("udp4", addresses[1])
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write([]byte("let me in"))
	all[0].Send(1, []byte(strings.Repeat("x", 257)))
	all[0].Send(0, []byte("to myself"))
	all[0].Send(2, []byte("to nobody"))
	all[0].Send(1, []byte{0, 255, 10})
	select {
	case ev := <-ears[1]:
		if h, ok := ev.(policy.GossipReceived); !ok || h.From != 0 || string(h.Data) != "\x00\xff\n" {
			t.Errorf("heard %+v", ev)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("nothing heard")
	}
	if sent, _, dropped := all[0].Counts(); sent != 1 || dropped != 3 {
		t.Errorf("%d sent, %d dropped", sent, dropped)
	}
	if _, n, dropped := all[1].Counts(); n != 1 || dropped != 1 {
		t.Errorf("%d heard, %d dropped", n, dropped)
	}
	cancel()
	for range all {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

func TestAddressesThatCannotBeUsed(t *testing.T) {
	for _, c := range [][2]string{{"nowhere", "127.0.0.1:1"}, {"127.0.0.1:0", "nowhere"}} {
		if _, err := peers.Listen(c[0], []string{c[1]}, 0); err == nil {
			t.Errorf("%v: listens", c)
		}
	}
}
