package cwroute

import "time"

// Endpoint is one endpoint as it registered itself.
type Endpoint struct {
	// ID identifies one endpoint; a restart may keep it.
	ID string
	// StartedAtMillis is when this life of the endpoint began, in Unix milliseconds.
	StartedAtMillis int64
	// Service is what it serves, and Address its host and port.
	Service, Address string
	// Domain is its failure domain.
	Domain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// IsDraining is set once it takes no new work.
	IsDraining bool
	// ColdRemaining is how much longer it was cold when the entry was written.
	ColdRemaining time.Duration
}

// Evacuation asks that the endpoints of a failure domain get nothing new.
type Evacuation struct {
	// Domain is the failure domain.
	Domain string
}
