package backend

import (
	"errors"
	"syscall"
)

// errLocal tells that this machine could not open a connection. Nothing was sent, and nothing is known of the node.
var errLocal = errors.New("this machine could not open a connection")

// localErrors are the errors of socket(2) and connect(2) that say something of this machine alone: descriptors, memory, ports, routes.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.EAGAIN, syscall.ENETUNREACH, syscall.EPERM, syscall.EACCES}

// isLocal tells whether an error of a dial is one of this machine.
func isLocal(err error) bool {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}
