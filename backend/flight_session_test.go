package backend

import "embershunt/frontend"

// The frontends find a session's state released through this interface; this package must not import them outside of tests.
var _ frontend.Releaser = (*Fleet)(nil)
