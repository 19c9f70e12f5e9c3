package server

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"embershunt/config"
)

// listeners are the open listeners of a dispatcher; nil for an interface that is not served.
type listeners struct {
	flight  net.Listener // never nil
	metrics net.Listener
	native  net.Listener
	admin   net.Listener // a Unix socket
}

// listen opens the listeners of a configuration. After an error none is open.
func listen(addresses config.Listen) (l listeners, err error) {
	defer func() {
		if err != nil {
			l.close()
			l = listeners{}
		}
	}()
	if l.flight, err = net.Listen("tcp", addresses.FlightSQL); err != nil {
		return l, err
	}
	if l.metrics, err = listenOptional(addresses.Metrics); err != nil {
		return l, err
	}
	if l.native, err = listenOptional(addresses.Native); err != nil {
		return l, err
	}
	l.admin, err = listenAdmin(addresses.Admin)
	return l, err
}

// close closes the open listeners.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.flight, l.metrics, l.native, l.admin} {
		if listener != nil {
			_ = listener.Close() // nothing was served on it
		}
	}
}

// listenOptional listens on a TCP address. It returns nil where the address is empty.
func listenOptional(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	return net.Listen("tcp", address)
}

// listenAdmin listens on a Unix socket and replaces a socket file that a killed dispatcher left behind. It returns nil where the path
// is empty.
func listenAdmin(path string) (net.Listener, error) {
	if path == "" {
		return nil, nil
	}
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		_ = c.Close() // opened only to find out whether a process listens
		return nil, fmt.Errorf("admin socket %s: another dispatcher serves it", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	return l, os.Chmod(path, 0o600)
}
