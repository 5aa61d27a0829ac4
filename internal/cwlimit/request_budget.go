package cwlimit

import "sync"

const (
	// smallRequestShare and largeRequestShare are the parts of the memory limit that the heads and
	// bodies of requests may take, as divisors. Small ones, up to smallBytes each, have the larger
	// part of their own: at the smallest instances 24 KB for each connection that is allowed, so
	// that ordinary requests don't meet it. Large ones can't displace them.
	smallRequestShare = 4
	largeRequestShare = 8
)

// RequestBudget limits the memory of all heads and bodies of requests that are in memory at the
// same time, first come first served. It is safe for concurrent use. A nil RequestBudget has no
// limit.
type RequestBudget struct {
	smallLimit, largeLimit int64

	mu                   sync.Mutex
	smallUsed, largeUsed int64
}

// NewRequestBudget returns the budget of an instance with this memory limit; 0 means that the limit
// is not known.
func NewRequestBudget(memoryBytes int64) *RequestBudget {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	return &RequestBudget{smallLimit: memoryBytes / smallRequestShare, largeLimit: memoryBytes / largeRequestShare}
}

// UsedBytes returns the memory that requests take now.
func (b *RequestBudget) UsedBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.smallUsed + b.largeUsed
}

// NewClaim returns a claim of 0 bytes.
func (b *RequestBudget) NewClaim() *RequestClaim {
	return &RequestClaim{budget: b}
}

// resize changes a claim from one size to another. It returns false, and changes nothing, if the
// larger size doesn't fit. A single large claim always fits: its own limit bounds it.
func (b *RequestBudget) resize(from, to int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	small, large := b.smallUsed, b.largeUsed
	if from > smallBytes {
		large -= from
	} else {
		small -= from
	}
	switch {
	case to <= smallBytes:
		small += to
		if to > from && small > b.smallLimit {
			return false
		}
	case large > 0 && large+to > b.largeLimit:
		return false
	default:
		large += to
	}
	b.smallUsed, b.largeUsed = small, large
	return true
}
