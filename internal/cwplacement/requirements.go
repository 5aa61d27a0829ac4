package cwplacement

import "time"

// PromptPart is a part of a prompt. Requests that begin with the same parts share
// their processing at an engine that still has them in its cache.
type PromptPart struct {
	// ID identifies the content, and Tokens is its length.
	ID     uint64
	Tokens int
}

// Requirements are the size and the time limits of one request.
type Requirements struct {
	// PromptTokens is the length of the prompt, and OutputTokens the expected length
	// of the response; both are 0 for plain requests.
	PromptTokens, OutputTokens int
	// PromptParts make up the prompt, in order. The last one is unique to the request.
	PromptParts []PromptPart
	// FirstByteTarget is the time to the first byte that the caller expects.
	FirstByteTarget time.Duration
	// FirstByteTimeout is the time left in which a first byte is still of use, and
	// ResponseTimeout the time left for the whole response; a ResponseTimeout of 0 sets
	// no deadline.
	FirstByteTimeout, ResponseTimeout time.Duration
	// MaxEventGap is the longest time between two events of the response that the caller expects;
	// 0 if it expects none.
	MaxEventGap time.Duration
	// Elapsed is the time since the caller sent the request, as far as it is known.
	Elapsed time.Duration
}

// sharedKey identifies the last part of the prompt that other requests may share, so
// that instances agree on a placement without communication; 0 without a shared part.
func (rs *Requirements) sharedKey() uint64 {
	if len(rs.PromptParts) < 2 {
		return 0
	}
	return rs.PromptParts[len(rs.PromptParts)-2].ID
}

// sharedTokens returns the length of the parts that other requests may share.
func (rs *Requirements) sharedTokens() int {
	shared := 0
	for i := range max(len(rs.PromptParts)-1, 0) {
		shared += rs.PromptParts[i].Tokens
	}
	return shared
}
