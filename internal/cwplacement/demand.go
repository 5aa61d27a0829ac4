// Package cwplacement decides where routed requests go: to an endpoint, to
// another region, or back to the caller. It does no I/O and reads no clock.
package cwplacement

import "time"

// Part is a piece of a prompt. Requests that begin with the same parts share
// their processing at an engine that still has them in its cache.
type Part struct {
	// ID identifies the content, and Tokens is its length.
	ID     uint64
	Tokens int
}

// Demand is what one request needs.
type Demand struct {
	// Tokens is the length of the prompt, and Output the expected length of the
	// answer; both are 0 for plain requests.
	Tokens, Output int
	// Parts make up the prompt, in order. The last one is the request's own.
	Parts []Part
	// Target is the time to the first byte that the caller expects.
	Target time.Duration
	// Left is the time until a first byte is of no more use, and Whole until the whole
	// answer is.
	Left, Whole time.Duration
	// Elapsed is the time since the caller sent the request, as far as it is known.
	Elapsed time.Duration
}

// sharedKey identifies the longest part of the prompt that other requests may
// share, for a placement on which instances agree without talking.
func (d *Demand) sharedKey() uint64 {
	if len(d.Parts) < 2 {
		return 0
	}
	return d.Parts[len(d.Parts)-2].ID
}

// sharedTokens is the length of the parts that other requests may share.
func (d *Demand) sharedTokens() int {
	shared := 0
	for i := range max(len(d.Parts)-1, 0) {
		shared += d.Parts[i].Tokens
	}
	return shared
}
