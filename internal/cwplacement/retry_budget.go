package cwplacement

import "time"

// retryBucketCount is the number of buckets in the window of a budget.
const retryBucketCount = 10

// RetryBudget limits the retries of one service in any window: to a ratio of the
// requests that this instance received from callers, plus its share of the slack that
// all instances have together. No instance's share depends on the retries of others, so
// the total limit also holds while instances can't communicate.
type RetryBudget struct {
	ratio, slack float64
	bucketLength time.Duration
	// requests and retries are the counts by bucket, as a ring.
	requests [retryBucketCount]int
	retries  [retryBucketCount]int
	// currentBucket is the number of the latest bucket since start.
	currentBucket int64
	start         time.Time
}

// usableBudgetShare is the share of the allowance that is spent. The margin is needed
// because windows of different instances don't begin at the same time.
const usableBudgetShare = 0.8

// NewRetryBudget returns a budget for one instance.
func NewRetryBudget(ratio, slack float64, window time.Duration, now time.Time) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, bucketLength: max(window/retryBucketCount, 1), start: now}
}

// SetBounds changes the ratio and the slack; the window stays the same.
func (b *RetryBudget) SetBounds(ratio, slack float64) {
	b.ratio, b.slack = ratio, slack
}

// CountRequest counts a request that this instance received directly from its caller.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.requests[b.advance(now)]++
}

// TrySpend counts a retry, or returns false if the budget is exhausted. The parameter
// instances is the number of instances that share the slack.
func (b *RetryBudget) TrySpend(instances int, now time.Time) bool {
	i := b.advance(now)
	if float64(sum(b.retries)+1) > b.allowance(instances) {
		return false
	}
	b.retries[i]++
	return true
}

// Refund takes back a retry that TrySpend counted at the same time and that is not made.
func (b *RetryBudget) Refund(now time.Time) {
	b.retries[b.advance(now)]--
}

// State returns what the budget has counted and what it allows. The parameter instances is that of
// TrySpend.
func (b *RetryBudget) State(instances int, now time.Time) RetryBudgetState {
	b.advance(now)
	return RetryBudgetState{Requests: sum(b.requests), Retries: sum(b.retries), Allowance: b.allowance(instances), Instances: instances}
}

// allowance returns the number of retries that may be made in the window.
func (b *RetryBudget) allowance(instances int) float64 {
	return usableBudgetShare * (b.ratio*float64(sum(b.requests)) + b.slack/float64(max(instances, 1)))
}

// advance clears the buckets that have left the window and returns the index of the
// current one.
func (b *RetryBudget) advance(now time.Time) int {
	bucket := int64(now.Sub(b.start) / b.bucketLength)
	for n := range min(bucket-b.currentBucket, retryBucketCount) {
		i := int((bucket - n) % retryBucketCount)
		b.requests[i], b.retries[i] = 0, 0
	}
	b.currentBucket = max(b.currentBucket, bucket)
	return int(b.currentBucket % retryBucketCount)
}

func sum(counts [retryBucketCount]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
