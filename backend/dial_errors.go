package backend

import (
	"errors"
	"syscall"
)

// errLocalDial tells that this machine could not open a connection. Nothing was sent, and nothing is known of the node.
var errLocalDial = errors.New("this machine could not open a connection")

// localDialErrors are the errors of socket(2) and connect(2) that say something of this machine alone: descriptors, memory, ports, routes.
var localDialErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.EAGAIN, syscall.ENETUNREACH, syscall.EPERM, syscall.EACCES}

// isLocalDialError tells whether an error of a dial is one of this machine.
func isLocalDialError(err error) bool {
	for _, local := range localDialErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}
