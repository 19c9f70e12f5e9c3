//go:build !unix

package backend

import "net"

// reusable is false on systems without MSG_PEEK: there each connection serves one query only.
func reusable(net.Conn) bool { return false }
