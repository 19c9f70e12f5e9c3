package server_test

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"embershunt/nodelist"
	"embershunt/simulated"
)

// usualMemoryMB is the memory of a dispatcher whose test is not about memory.
const usualMemoryMB = 64

// newPlatformRig starts a dispatcher with usualMemoryMB; see newPlatformRigWithMemory.
func newPlatformRig(t *testing.T, nodes ...nodelist.Node) *platformRig {
	t.Helper()
	return newPlatformRigWithMemory(t, usualMemoryMB, nodes...)
}

// Guards against statements whose memory depends on the number of clients: what they take together follows the limit of the process. With 2 MB
// four clients have room for a long statement each, a fifth is rejected, and a usual statement is served beside them.
func TestStatementMemoryFollowsTheLimit(t *testing.T) {
	const memoryMB, fitting = 2, 4
	reached := make(chan string, fitting)
	node, err := simulated.NewPlatformNode("", func(c net.Conn, cmd simulated.PlatformCommand) {
		switch {
		case cmd.Verb != "GET":
		case len(cmd.Text) > 60000: // keeps its query
			reached <- cmd.ID
		default:
			_, _ = fmt.Fprint(c, simulated.PlatformAnswer(cmd.ID, "data", "total=1", "s-1\ta\tb\n"))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	p := newPlatformRigWithMemory(t, memoryMB, nodelist.Node{ID: "s-1", PlatformAddress: node.Address(), Weight: 1})
	statement := "SELECT '" + strings.Repeat("x", 60000) + "'"
	for range fitting {
		sendLookup(t, p, statement)
		select {
		case <-reached:
		case <-time.After(10 * time.Second):
			t.Fatal("a long statement did not reach the node")
		}
	}
	if got, err := sendLookup(t, p, statement).readUntilReady(); err != nil || got != "53000" {
		t.Errorf("a long statement without room got %s, %v", got, err)
	}
	if len(reached) > 0 {
		t.Error("a long statement without room reached the node")
	}
	if got, err := sendLookup(t, p, "SELECT 1").readUntilReady(); err != nil || !strings.Contains(got, "s-1;") {
		t.Errorf("a usual statement got %s, %v", got, err)
	}
}

// sendLookup sends a query on a connection of its own, with twice the time of its class.
func sendLookup(t *testing.T, p *platformRig, text string) *pgClient {
	t.Helper()
	c, err := p.connect()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	lastTrace.Lock()
	lastTrace.n++
	trace := lastTrace.n
	lastTrace.Unlock()
	body := fmt.Sprintf("/* route=lookup,trace=%016x,patience=5000 */ %s\x00", trace, text)
	message := append([]byte{'Q'}, binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))...)
	if _, err := c.Write(append(message, body...)); err != nil {
		t.Fatal(err)
	}
	return c
}
