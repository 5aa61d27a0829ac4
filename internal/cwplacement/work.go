package cwplacement

// Work is what one instance has at an endpoint.
type Work struct {
	// Queued is the number of prompt tokens that are not processed yet.
	Queued float64
	// Held is the number of tokens that the requests keep in memory.
	Held float64
	// InFlight is the number of requests.
	InFlight int
}

// Add returns the sum.
func (w Work) Add(other Work) Work {
	return Work{Queued: w.Queued + other.Queued, Held: w.Held + other.Held, InFlight: w.InFlight + other.InFlight}
}
