package cwanswer

// Instance is an entry instance that a caller may use.
type Instance struct {
	// Address is the host and port on which the instance serves callers.
	Address string `json:"address"`
	// Region is the region of the instance.
	Region string `json:"region"`
	// Weight is the relative share of requests to send to the instance.
	Weight float64 `json:"weight"`
}

// InstanceList is the list of instances that a caller may use for a service.
type InstanceList struct {
	// Instances are ordered from the most to the least preferred.
	Instances []Instance `json:"instances"`
	// HoldSeconds is the time for which the caller may use the list, in seconds.
	HoldSeconds float64 `json:"holdSeconds"`
}

// TicketGrant is the response to a request for a ticket.
type TicketGrant struct {
	// Ticket is the value for HeaderTicket.
	Ticket string `json:"ticket"`
	// ExpiresInSeconds is the remaining lifetime of the ticket, in seconds.
	ExpiresInSeconds float64 `json:"expiresInSeconds"`
}
