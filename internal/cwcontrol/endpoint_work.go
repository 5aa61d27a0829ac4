package cwcontrol

import "time"

// EndpointWork is the work that one instance has at an endpoint of its region, and
// what it measured there.
type EndpointWork struct {
	// Endpoint identifies the endpoint.
	Endpoint string
	// QueuedTokens are the prompt tokens not yet processed, by priority band.
	QueuedTokens []float32
	// HeldTokens are the tokens that the instance's requests hold in the endpoint's
	// memory.
	HeldTokens float64
	// InFlight is the number of requests in progress.
	InFlight int
	// PromptParts are the parts of prompts sent there recently.
	PromptParts []PromptPart
	// FailureRate is the share of requests that failed.
	FailureRate float64
	// UnreachableAt is when the endpoint was last unreachable; zero if not recently.
	UnreachableAt time.Time
	// PromptSpeed is measured in prompt tokens, EventRate in events of streams.
	PromptSpeed, EventRate Measurement
}

// Measurement is an amount of work and the time that it took.
type Measurement struct {
	Amount, Seconds float64
}

// PromptPart is a part of a prompt.
type PromptPart struct {
	// ID identifies the content, and Tokens is its length.
	ID     uint64
	Tokens int
}

// PeerWork is the work that one other instance of the region has at the endpoints.
type PeerWork struct {
	// EndpointWork lists the work by endpoint.
	EndpointWork []EndpointWork
	// ReportedAt is when the report arrived.
	ReportedAt time.Time
}
