//go:build !unix

package backend

import "net"

// reusable returns false on systems without MSG_PEEK, where each connection therefore serves one query only.
func reusable(net.Conn) bool { return false }
