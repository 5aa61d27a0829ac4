package cwroute

import "time"

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound the sizes.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time for the header, and IdleTimeout the time
	// between two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}
