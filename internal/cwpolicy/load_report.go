package cwpolicy

import "time"

// LoadReport is what an endpoint says of its load. It arrives late.
type LoadReport struct {
	// ReportedAt is when the endpoint made the report.
	ReportedAt time.Time
	// RunningRequests is the number of requests in the batch.
	RunningRequests int
	// WaitingRequests is the number of requests that wait for a place in the batch.
	WaitingRequests int
	// WaitingTokens is the number of prompt tokens not yet processed.
	WaitingTokens int
	// Slots is how many requests the endpoint runs at once.
	Slots int
}
