package server

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"embershunt/config"
)

// listeners are what a dispatcher listens on; nil: it does not.
type listeners struct {
	flight  net.Listener // never nil
	metrics net.Listener
	native  net.Listener
	admin   net.Listener // a Unix socket
}

// listen opens the listeners of a configuration, all or none.
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

// close closes those that are open.
func (l *listeners) close() {
	for _, one := range []net.Listener{l.flight, l.metrics, l.native, l.admin} {
		if one != nil {
			_ = one.Close() // nothing was served on it
		}
	}
}

// listenOptional listens on a TCP address; nil where there is none.
func listenOptional(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	return net.Listen("tcp", address)
}

// listenAdmin listens on a Unix socket, in place of one that a killed dispatcher left behind; nil where there is no path.
func listenAdmin(path string) (net.Listener, error) {
	if path == "" {
		return nil, nil
	}
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		_ = c.Close() // it was opened to see whether anybody listens
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
