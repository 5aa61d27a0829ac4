package cwpolicy

import "time"

// LoadReport is what an endpoint says of its load. It arrives late.
type LoadReport struct {
	// At is when the endpoint made the report.
	At time.Time
	// Running is the number of requests in the batch.
	Running int
	// Waiting is the number of requests that wait for a place in the batch.
	Waiting int
	// WaitingTokens is the number of prompt tokens not yet processed.
	WaitingTokens int
	// Slots is how many requests the endpoint runs at once.
	Slots int
}
