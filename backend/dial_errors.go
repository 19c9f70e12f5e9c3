package backend

import (
	"errors"
	"syscall"
)

// errLocalDial means that this machine could not open a connection. Nothing was sent, and it says nothing about the node.
var errLocalDial = errors.New("this machine could not open a connection")

// localDialErrors are the errors of socket(2) and connect(2) that are about this machine only: descriptors, memory, ports, routes.
var localDialErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.EAGAIN, syscall.ENETUNREACH, syscall.EPERM, syscall.EACCES}

// isLocalDialError reports whether a dial failed because of this machine.
func isLocalDialError(err error) bool {
	for _, local := range localDialErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}
