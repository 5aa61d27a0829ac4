package cwplacement

import "math"

// Work is the load that one or more instances have at an endpoint.
type Work struct {
	// QueuedTokens is the number of prompt tokens that are not processed yet, by band.
	QueuedTokens [bandCount]float64
	// HeldTokens is the number of tokens that the requests keep in memory.
	HeldTokens float64
	// InFlight is the number of requests.
	InFlight int
}

// Add returns the sum.
func (w Work) Add(other Work) Work {
	for b := range w.QueuedTokens {
		w.QueuedTokens[b] += other.QueuedTokens[b]
	}
	w.HeldTokens += other.HeldTokens
	w.InFlight += other.InFlight
	return w
}

// Scale returns the work times a factor.
func (w Work) Scale(factor float64) Work {
	for b := range w.QueuedTokens {
		w.QueuedTokens[b] *= factor
	}
	w.HeldTokens *= factor
	w.InFlight = int(math.Round(float64(w.InFlight) * factor))
	return w
}

// tokensAhead returns the number of queued tokens that are processed before new work of
// the band.
func (w Work) tokensAhead(band Band) float64 {
	tokens := 0.0
	for b := range band + 1 {
		tokens += w.QueuedTokens[b]
	}
	return tokens
}
