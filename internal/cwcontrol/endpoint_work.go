package cwcontrol

import "time"

// EndpointWork is what one instance has at an endpoint of its region.
type EndpointWork struct {
	// Endpoint identifies the endpoint.
	Endpoint string
	// QueuedTokens are the prompt tokens that are not processed yet, by band.
	QueuedTokens []float32
	// HeldTokens are those that its requests keep in memory.
	HeldTokens float64
	// InFlight is the number of requests.
	InFlight int
	// PromptParts are pieces of prompts that were sent there lately.
	PromptParts []PromptPart
	// FailureRate is the share of requests that failed.
	FailureRate float64
	// UnreachableAt is when it could last not be reached; zero if not lately.
	UnreachableAt time.Time
	// PromptSpeed is what was lately measured in prompt tokens, and Pace in events of streams.
	PromptSpeed, EventRate Measurement
}

// Measurement is an amount of work and the time that it took.
type Measurement struct {
	// Amount is in units of the work, and Seconds the time that it took.
	Amount, Seconds float64
}

// PromptPart is a piece of a prompt.
type PromptPart struct {
	// ID identifies the content, and Tokens is its length.
	ID     uint64
	Tokens int
}

// PeerWork is the work of one other instance of the region.
type PeerWork struct {
	// EndpointWork are its endpoints.
	EndpointWork []EndpointWork
	// ReportedAt is when it said so.
	ReportedAt time.Time
}
