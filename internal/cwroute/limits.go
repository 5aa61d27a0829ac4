package cwroute

import "time"

// Limits bound the requests of callers.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes.
	HeaderBytes, BodyBytes int
	// HeaderTimeout is the maximum time to send the header, and IdleTimeout the
	// maximum time between two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}
