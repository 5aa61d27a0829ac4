package cwroute

import "time"

// Endpoint is the registration entry of one endpoint.
type Endpoint struct {
	// ID identifies the endpoint; it may stay the same after a restart.
	ID string
	// StartedAtMillis is when this incarnation of the endpoint started, in Unix
	// milliseconds.
	StartedAtMillis int64
	// Service is the name of its service, and Address its host and port.
	Service, Address string
	// Domain is its failure domain.
	Domain string
	// Version is that of its software. What endpoints of different versions write does not
	// fit together. Versions have no order.
	Version string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// IsDraining is set once the endpoint takes no new requests.
	IsDraining bool
	// ColdRemaining is how much longer the endpoint stays cold, as of the writing of the
	// entry.
	ColdRemaining time.Duration
}

// Evacuation is the order to send no new requests to the endpoints of a failure domain.
type Evacuation struct {
	// Domain is the failure domain.
	Domain string
}
