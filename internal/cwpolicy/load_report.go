package cwpolicy

import "time"

// LoadReport is the load of an endpoint as reported by it. It is received with a
// delay.
type LoadReport struct {
	// ReportedAt is when the endpoint made the report, by this instance's clock.
	ReportedAt time.Time
	// RunningRequests is the number of requests in the running batch.
	RunningRequests int
	// WaitingRequests is the number of requests that wait to join the batch.
	WaitingRequests int
	// WaitingTokens is the number of prompt tokens not yet processed.
	WaitingTokens int
	// Slots is the number of requests that the endpoint can run at once.
	Slots int
}
