package cwcontrol

import "time"

// EndpointWork is the work that one instance has in progress at an endpoint of its
// region, and what it measured there.
type EndpointWork struct {
	// Endpoint is the endpoint's ID.
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
	// FailureRate is the fraction of recent requests that failed.
	FailureRate float64
	// UnreachableAt is when the instance last failed to reach the endpoint; zero if not
	// recently.
	UnreachableAt time.Time
	// PromptSpeed is measured in prompt tokens, EventRate in events of streams.
	PromptSpeed, EventRate Measurement
	// RateLimit is the latest known rate limit of the endpoint.
	RateLimit EndpointRateLimit
	// IsLeaving is set if the endpoint has stated that it is leaving, in the life that started at
	// StartedAtMillis, in Unix milliseconds.
	IsLeaving       bool
	StartedAtMillis int64
	// ColdUntil is when the endpoint stops being cold, as it told the instance in a health check;
	// zero if it did not.
	ColdUntil time.Time
}

// EndpointRateLimit is what an endpoint stated about its rate limit.
type EndpointRateLimit struct {
	// IsNamed is set if the endpoint names a limit, and not set if it has withdrawn it.
	IsNamed bool
	// PerSecond is the limit for all instances together, in requests per second.
	PerSecond float64
	// ObservedAt is when the endpoint stated this; zero if nothing is known.
	ObservedAt time.Time
}

// Measurement is an amount of work and the time that it took.
type Measurement struct {
	// Amount is in the unit of the measured work, and Seconds is the time.
	Amount, Seconds float64
}

// PromptPart is a part of a prompt.
type PromptPart struct {
	// ID identifies the content, and Tokens is its length in tokens.
	ID     uint64
	Tokens int
}

// PeerWork is the work that one other instance of the region has in progress at the
// endpoints.
type PeerWork struct {
	// EndpointWork is the work at each endpoint.
	EndpointWork []EndpointWork
	// ReportedAt is when the report arrived.
	ReportedAt time.Time
}
