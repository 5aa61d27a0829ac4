// Package cwplacement decides where routed requests go: to an endpoint, to
// another region, or back to the caller. It does no I/O and reads no clock.
package cwplacement

import "time"

// PromptPart is a piece of a prompt. Requests that begin with the same parts share
// their processing at an engine that still has them in its cache.
type PromptPart struct {
	// ID identifies the content, and Tokens is its length.
	ID     uint64
	Tokens int
}

// Requirements is what one request needs.
type Requirements struct {
	// PromptTokens is the length of the prompt, and Output the expected length of the
	// answer; both are 0 for plain requests.
	PromptTokens, OutputTokens int
	// PromptParts make up the prompt, in order. The last one is the request's own.
	PromptParts []PromptPart
	// FirstByteTarget is the time to the first byte that the caller expects.
	FirstByteTarget time.Duration
	// FirstByteTimeout is the time until a first byte is of no more use, and Whole until the whole
	// answer is.
	FirstByteTimeout, ResponseTimeout time.Duration
	// Elapsed is the time since the caller sent the request, as far as it is known.
	Elapsed time.Duration
}

// sharedKey identifies the longest part of the prompt that other requests may
// share, for a placement on which instances agree without talking.
func (d *Requirements) sharedKey() uint64 {
	if len(d.PromptParts) < 2 {
		return 0
	}
	return d.PromptParts[len(d.PromptParts)-2].ID
}

// sharedTokens is the length of the parts that other requests may share.
func (d *Requirements) sharedTokens() int {
	shared := 0
	for i := range max(len(d.PromptParts)-1, 0) {
		shared += d.PromptParts[i].Tokens
	}
	return shared
}
