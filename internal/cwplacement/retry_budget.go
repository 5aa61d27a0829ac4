package cwplacement

import "time"

// retryBuckets divide the window of a budget.
const retryBuckets = 10

// RetryBudget bounds the repeats of one service in any window: a ratio of this
// instance's own requests plus its share of the slack that all instances have
// together. Since nobody's share depends on what others do, the sum holds also
// while instances can't talk.
type RetryBudget struct {
	ratio, slack  float64
	bucketLength  time.Duration
	requests      [retryBuckets]int
	retries       [retryBuckets]int
	currentBucket int64
	start         time.Time
}

// usableBudgetShare is the part of the allowance that is used: windows of different
// instances don't begin at the same time.
const usableBudgetShare = 0.8

// NewRetryBudget returns a budget for one instance.
func NewRetryBudget(ratio, slack float64, window time.Duration, now time.Time) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, bucketLength: window / retryBuckets, start: now}
}

// SetBounds changes the allowance; the window stays.
func (b *RetryBudget) SetBounds(ratio, slack float64) {
	b.ratio, b.slack = ratio, slack
}

// CountRequest counts a request that reached this instance first.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.requests[b.advance(now)]++
}

// TrySpend counts a repeat, or returns false if none is left. Instances is the number
// that share the slack.
func (b *RetryBudget) TrySpend(instances int, now time.Time) bool {
	i := b.advance(now)
	if float64(sum(b.retries)+1) > b.allowance(instances) {
		return false
	}
	b.retries[i]++
	return true
}

// Refund gives back a repeat that was taken at the same time and not made.
func (b *RetryBudget) Refund(now time.Time) {
	b.retries[b.advance(now)]--
}

func (b *RetryBudget) allowance(instances int) float64 {
	return usableBudgetShare * (b.ratio*float64(sum(b.requests)) + b.slack/float64(max(instances, 1)))
}

// advance clears the buckets that have left the window and returns the current one.
func (b *RetryBudget) advance(now time.Time) int {
	at := int64(now.Sub(b.start) / b.bucketLength)
	for n := range min(at-b.currentBucket, retryBuckets) {
		i := int((at - n) % retryBuckets)
		b.requests[i], b.retries[i] = 0, 0
	}
	b.currentBucket = max(b.currentBucket, at)
	return int(b.currentBucket % retryBuckets)
}

func sum(counts [retryBuckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
