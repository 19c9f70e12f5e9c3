package backend

import "embershunt/frontend"

// Fleet must implement the interface through which the frontends release a session's state. The check is in a test because this package
// must not import the frontends.
var _ frontend.Releaser = (*Fleet)(nil)
