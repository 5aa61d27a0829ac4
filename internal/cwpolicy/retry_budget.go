package cwpolicy

const maxRetryTokens = 10

// RetryBudget limits retries to a fraction of the recent successes, so that retries
// do not increase the load on a failing destination.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns a half-full budget, which allows a few initial retries.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: maxRetryTokens / 2}
}

// OnSuccess adds the ratio, a fraction of a retry, to the budget.
func (b *RetryBudget) OnSuccess(ratio float64) {
	b.tokens = min(b.tokens+ratio, maxRetryTokens)
}

// TrySpend takes one retry from the budget, or returns false if none is left.
func (b *RetryBudget) TrySpend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
