package cwpolicy

import "time"

// PoolCapacity is what a pool can still take, as a domain tells others.
type PoolCapacity struct {
	// Endpoints is the number of usable endpoints.
	Endpoints int
	// Slots and Free count requests that can run at once.
	Slots, FreeSlots int
	// WaitSeconds is the lowest predicted wait before a prompt is processed.
	WaitSeconds float64
	// SecondsPerToken is the mean time per prompt token.
	SecondsPerToken float64
	// FailureRate is the lowest share of failed requests of any of the endpoints.
	FailureRate float64
}

// Utilization returns the fraction of the slots in use, 1 if there are none.
func (r PoolCapacity) Utilization() float64 {
	if r.Slots == 0 {
		return 1
	}
	return 1 - float64(r.FreeSlots)/float64(r.Slots)
}

// DomainCapacity is the room of one pool in another failure domain.
type DomainCapacity struct {
	PoolCapacity
	// Domain and Region say where the pool is.
	Domain, Region string
	// ReportedAt is when the summary was made.
	ReportedAt time.Time
	// RoundTrip is the measured network round trip to the domain.
	RoundTrip time.Duration
	// SentSinceReport is the number of requests that this instance sent there since At.
	SentSinceReport int
}
