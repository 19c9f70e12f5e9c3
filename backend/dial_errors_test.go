package backend

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"embershunt/policy"
)

// A dial that fails because of this machine proves that nothing was sent and says nothing about the node, so the attempt ends as
// NeverSent. An error that concerns the node (refused, unreachable, timed out) ends it as ConnectionRefused.
func TestLocalConnectErrors(t *testing.T) {
	for errno, want := range map[syscall.Errno]policy.Code{syscall.EMFILE: policy.NeverSent, syscall.ENFILE: policy.NeverSent, syscall.ENOBUFS: policy.NeverSent,
		syscall.EADDRNOTAVAIL: policy.NeverSent, syscall.ENETUNREACH: policy.NeverSent, syscall.ECONNREFUSED: policy.ConnectionRefused,
		syscall.EHOSTUNREACH: policy.ConnectionRefused, syscall.ETIMEDOUT: policy.ConnectionRefused} {
		f := newPlatformFleet(t, Options{}, "127.0.0.1:1")
		f.dialPlatform = func(context.Context, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		}
		f.send("id", 0, "n0", time.Second)
		if end := f.end(); end.Code != want {
			t.Errorf("%v: code %d (%v), want %d", errno, end.Code, end.Err, want)
		}
		if n := f.PlatformConns(); n != 0 {
			t.Errorf("%v: %d connections counted, want 0", errno, n)
		}
	}
}
