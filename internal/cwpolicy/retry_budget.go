package cwpolicy

const maxRetryTokens = 10

// RetryBudget bounds retries to a fraction of recent successes, so that a
// failing destination is not sent more than it had before.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns a budget that allows a few retries at once.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: maxRetryTokens / 2}
}

// OnSuccess earns a fraction of a retry.
func (b *RetryBudget) OnSuccess(ratio float64) {
	b.tokens = min(b.tokens+ratio, maxRetryTokens)
}

// TrySpend spends one retry, or returns false if none is left.
func (b *RetryBudget) TrySpend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
