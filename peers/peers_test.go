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

type receiver chan policy.Event

func (r receiver) Notify(ev policy.Event) { r <- ev }

// Messages arrive unchanged, and their sender is identified by its address. Messages from unknown addresses, to an invalid
// dispatcher number, and messages that are too long are dropped.
func TestMessages(t *testing.T) {
	var addresses []string
	for range 2 {
		l, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, l.LocalAddr().String())
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var all []*peers.Peers
	var receivers []receiver
	done := make(chan error, 2)
	for i, a := range addresses {
		p, err := peers.Listen(a, addresses, i)
		if err != nil {
			t.Fatal(err)
		}
		r := make(receiver, 10)
		all, receivers = append(all, p), append(receivers, r)
		go func() { done <- p.Run(ctx, r) }()
	}
	unknownSender, err := net.Dial("udp4", addresses[1])
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := unknownSender.Close(); err != nil {
			t.Error(err)
		}
	}()
	if _, err := unknownSender.Write([]byte("from an unknown address")); err != nil {
		t.Fatal(err)
	}
	all[0].Send(1, []byte(strings.Repeat("x", 257)))
	all[0].Send(0, []byte("to this dispatcher itself"))
	all[0].Send(2, []byte("to an unknown number"))
	all[0].Send(1, []byte{0, 255, 10})
	select {
	case ev := <-receivers[1]:
		if g, ok := ev.(policy.GossipReceived); !ok || g.From != 0 || string(g.Data) != "\x00\xff\n" {
			t.Errorf("received %+v", ev)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no message received within 5 s")
	}
	if sent, _, dropped := all[0].Counts(); sent != 1 || dropped != 3 {
		t.Errorf("%d sent, %d dropped", sent, dropped)
	}
	if _, n, dropped := all[1].Counts(); n != 1 || dropped != 1 {
		t.Errorf("%d received, %d dropped", n, dropped)
	}
	cancel()
	for range all {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// Listen reports an address that cannot be parsed.
func TestListenErrors(t *testing.T) {
	for _, c := range [][2]string{{"nowhere", "127.0.0.1:1"}, {"127.0.0.1:0", "nowhere"}} {
		if _, err := peers.Listen(c[0], []string{c[1]}, 0); err == nil {
			t.Errorf("Listen accepts the address %q with the peer %q", c[0], c[1])
		}
	}
}
