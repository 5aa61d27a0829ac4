package cwlimit

import "sync"

const (
	// defaultMemoryBytes is the memory limit of an instance whose settings state none: that
	// of the smallest instances.
	defaultMemoryBytes = 144 << 20
	// memoryShare is the part of the memory limit that responses in memory may take, as a
	// divisor. The garbage collector may need as much again.
	memoryShare = 4
	// smallBytes is the size up to which a response may use the whole budget. What is larger
	// may fill it only to largeShareNumerator/largeShareDenominator, so that large responses
	// leave room for the small ones of other endpoints and for those of the store and of other
	// instances, whatever their size.
	smallBytes            = 64 << 10
	largeShareNumerator   = 3
	largeShareDenominator = 4
)

// Budget limits the memory of all responses that are in memory at the same time. It is safe
// for concurrent use. A nil Budget has no limit.
type Budget struct {
	limitBytes int64

	mu        sync.Mutex
	usedBytes int64
}

// NewBudget returns the budget of an instance with this memory limit; 0 means that the limit
// is not known.
func NewBudget(memoryBytes int64) *Budget {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	return &Budget{limitBytes: memoryBytes / memoryShare}
}

// UsedBytes returns the memory that responses take now.
func (b *Budget) UsedBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usedBytes
}

// reserve reserves n more bytes within the whole budget or, if isLarge is set, within the part
// for large responses. It returns false if they don't fit.
func (b *Budget) reserve(n int64, isLarge bool) bool {
	if b == nil {
		return true
	}
	limit := b.limitBytes
	if isLarge {
		limit = limit / largeShareDenominator * largeShareNumerator
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.usedBytes+n > limit {
		return false
	}
	b.usedBytes += n
	return true
}

func (b *Budget) release(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usedBytes -= n
}

// limit returns the limit in bytes, 0 if there is none.
func (b *Budget) limit() int64 {
	if b == nil {
		return 0
	}
	return b.limitBytes
}
