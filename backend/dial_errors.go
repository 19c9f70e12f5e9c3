package backend

import (
	"errors"
	"syscall"
)

// errLocalDial means that a connection failed because of this machine. Nothing was sent, and the error says nothing about the node.
var errLocalDial = errors.New("this machine could not open a connection")

// localDialErrors are the errors of socket(2) and connect(2) whose cause is this machine: it lacks descriptors, memory, ports, a
// route or a permission.
var localDialErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.EAGAIN, syscall.ENETUNREACH, syscall.EPERM, syscall.EACCES}

// isLocalDialError reports whether the error of a dial has its cause on this machine.
func isLocalDialError(err error) bool {
	for _, local := range localDialErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}
