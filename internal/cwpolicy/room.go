package cwpolicy

import "time"

// Room is what a pool can still take, as a domain tells others.
type Room struct {
	// Endpoints is the number of usable endpoints.
	Endpoints int
	// Slots and Free count requests that can run at once.
	Slots, Free int
	// WaitSeconds is the lowest predicted wait before a prompt is processed.
	WaitSeconds float64
	// SecondsPerToken is the mean time per prompt token.
	SecondsPerToken float64
	// Failures is the lowest share of failed requests of any of the endpoints.
	Failures float64
}

// Busy returns the fraction of the slots in use, 1 if there are none.
func (r Room) Busy() float64 {
	if r.Slots == 0 {
		return 1
	}
	return 1 - float64(r.Free)/float64(r.Slots)
}

// DomainRoom is the room of one pool in another failure domain.
type DomainRoom struct {
	Room
	// Domain and Region say where the pool is.
	Domain, Region string
	// At is when the summary was made.
	At time.Time
	// RoundTrip is the measured network round trip to the domain.
	RoundTrip time.Duration
	// Sent is the number of requests that this instance sent there since At.
	Sent int
}
