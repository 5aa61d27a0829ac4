package cwplacement

import "time"

// RetryBudget limits the retries of one service in any window: to a ratio of the
// requests that this instance received from callers, plus its share of the slack that
// all instances have together. No instance's share depends on the retries of others, so
// the total limit also holds while instances can't communicate.
//
// An instance doesn't know what its predecessor at the same place has spent. Until a window
// has passed since its start, it spends only the margin that the predecessor left.
type RetryBudget struct {
	ratio, slack float64
	window       time.Duration
	start        time.Time
	// requests and retries are the counts by bucket.
	requests, retries bucketRing
}

const (
	// usableBudgetShare is the share of the allowance that is spent. The margin is needed
	// because windows of different instances don't begin at the same time, and for instances that
	// have started within the window.
	usableBudgetShare = 0.8
	// startingBudgetShare is the share of the allowance that an instance spends in the first window
	// after its start.
	startingBudgetShare = 1 - usableBudgetShare
	// slackDelay is the time after the start in which an instance spends no slack: it may not
	// know all others yet, with whom it shares it.
	slackDelay = 3 * time.Second
)

// NewRetryBudget returns a budget for one instance that started at the given time.
func NewRetryBudget(ratio, slack float64, window time.Duration, start time.Time) *RetryBudget {
	bucketLength := max(window/retryBucketCount, 1)
	return &RetryBudget{
		ratio: ratio, slack: slack, window: window, start: start,
		requests: bucketRing{length: bucketLength, start: start},
		retries:  bucketRing{length: bucketLength, start: start},
	}
}

// SetBounds changes the ratio and the slack; the window stays the same.
func (b *RetryBudget) SetBounds(ratio, slack float64) {
	b.ratio, b.slack = ratio, slack
}

// CountRequest counts a request that this instance received directly from its caller.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.requests.add(1, now, now)
}

// TrySpend counts a retry, or returns false if the budget is exhausted. The parameter
// instances is the number of instances that share the slack.
func (b *RetryBudget) TrySpend(instances int, now time.Time) bool {
	if float64(b.retriesInWindow(now)+1) > b.allowance(instances, now) {
		return false
	}
	b.retries.add(1, now, now)
	return true
}

// Refund takes back a retry that TrySpend counted at spentAt and that was not made.
func (b *RetryBudget) Refund(spentAt, now time.Time) {
	b.retries.add(-1, spentAt, now)
}

// State returns what the budget has counted and what it allows. The parameter instances is that of
// TrySpend.
func (b *RetryBudget) State(instances int, now time.Time) RetryBudgetState {
	return RetryBudgetState{
		Requests: b.requestsInWindow(now), Retries: b.retriesInWindow(now),
		Allowance: b.allowance(instances, now), Instances: instances,
	}
}

// retriesInWindow returns the retries of at least a window.
func (b *RetryBudget) retriesInWindow(now time.Time) int {
	return b.retries.sum(retryBucketCount+1, now)
}

// requestsInWindow returns the requests of at most a window.
func (b *RetryBudget) requestsInWindow(now time.Time) int {
	return b.requests.sum(retryBucketCount, now)
}

// allowance returns the number of retries that may be made in the window.
func (b *RetryBudget) allowance(instances int, now time.Time) float64 {
	uptime := now.Sub(b.start)
	share, slack := usableBudgetShare, b.slack/float64(max(instances, 1))
	if uptime < b.window {
		share = startingBudgetShare
	}
	if uptime < min(slackDelay, b.window) {
		slack = 0
	}
	return share * (b.ratio*float64(b.requestsInWindow(now)) + slack)
}
