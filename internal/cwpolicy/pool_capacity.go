package cwpolicy

import "time"

// PoolCapacity summarizes the capacity of a pool in one domain. Instances report it to
// other domains.
type PoolCapacity struct {
	// Endpoints is the number of usable endpoints.
	Endpoints int
	// Slots and FreeSlots are the numbers of requests that the endpoints can run at
	// once, in total and in addition to the current ones.
	Slots, FreeSlots int
	// WaitSeconds is the lowest predicted wait at any endpoint before a prompt is
	// processed.
	WaitSeconds float64
	// SecondsPerToken is the mean processing time per prompt token.
	SecondsPerToken float64
	// FailureRate is the lowest fraction of failed requests of any endpoint, or 0 if it
	// is not measured.
	FailureRate float64
}

// Utilization returns the fraction of the slots in use, or 1 if there are no slots.
func (c PoolCapacity) Utilization() float64 {
	if c.Slots == 0 {
		return 1
	}
	return 1 - float64(c.FreeSlots)/float64(c.Slots)
}

// DomainCapacity is the reported capacity of one pool in another failure domain.
type DomainCapacity struct {
	PoolCapacity
	// Domain and Region are the location of the pool.
	Domain, Region string
	// ReportedAt is when the report arrived at this instance, or at the first instance
	// of its domain to relay it, by this instance's clock.
	ReportedAt time.Time
	// RoundTrip is the measured network round trip to the domain, or 0 if it has not
	// been measured yet.
	RoundTrip time.Duration
	// SentSinceReport is the number of requests that this instance has sent to the
	// domain since ReportedAt.
	SentSinceReport int
}
