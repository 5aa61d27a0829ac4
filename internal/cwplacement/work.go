package cwplacement

// Work is what one instance has at an endpoint.
type Work struct {
	// Queued is the number of prompt tokens that are not processed yet, by band.
	Queued [bands]float64
	// Held is the number of tokens that the requests keep in memory.
	Held float64
	// InFlight is the number of requests.
	InFlight int
}

// Add returns the sum.
func (w Work) Add(other Work) Work {
	for b := range w.Queued {
		w.Queued[b] += other.Queued[b]
	}
	w.Held += other.Held
	w.InFlight += other.InFlight
	return w
}

// ahead returns the tokens that are processed before work of the band.
func (w Work) ahead(band Band) float64 {
	tokens := 0.0
	for b := range band + 1 {
		tokens += w.Queued[b]
	}
	return tokens
}
