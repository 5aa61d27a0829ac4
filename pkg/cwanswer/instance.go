package cwanswer

// Instance is an entry instance that a caller may use.
type Instance struct {
	// Address is the host and port of the caller interface.
	Address string `json:"address"`
	// Region is the region in which the instance runs.
	Region string `json:"region"`
	// Weight is the relative share of requests that the instance should get.
	Weight float64 `json:"weight"`
}

// InstanceList is the response to a caller that asks for the instances to use.
type InstanceList struct {
	// Instances are ordered from the most to the least preferred.
	Instances []Instance `json:"instances"`
	// HoldSeconds is how long the caller may cache the list, in seconds.
	HoldSeconds float64 `json:"holdSeconds"`
}

// TicketGrant is the response to a request for a ticket.
type TicketGrant struct {
	// Ticket is the value for the Idempotency-Key header.
	Ticket string `json:"ticket"`
	// ExpiresInSeconds is the time until the ticket expires, in seconds.
	ExpiresInSeconds float64 `json:"expiresInSeconds"`
}
