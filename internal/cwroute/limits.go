package cwroute

import "time"

// Limits bound the requests of callers. HeaderBytes is decoded but not used. The time limits
// extend those of the servers and do not shorten them.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes; 0 means the default of the gateway.
	HeaderBytes, BodyBytes int
	// HeaderTimeout is the maximum time to send the header, and IdleTimeout the maximum
	// time before the first request on a connection and between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}
