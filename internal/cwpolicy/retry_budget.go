package cwpolicy

const maxBudgetedRetries = 10

// RetryBudget limits retries to a fraction of the recent successes, so that retries
// do not increase the load on a failing destination.
type RetryBudget struct {
	retries float64
}

// NewRetryBudget returns a half-full budget, which allows a few initial retries.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{retries: maxBudgetedRetries / 2}
}

// OnSuccess adds the ratio, a fraction of a retry, to the budget.
func (b *RetryBudget) OnSuccess(ratio float64) {
	b.retries = min(b.retries+ratio, maxBudgetedRetries)
}

// TrySpend takes one retry from the budget, or returns false if none is left.
func (b *RetryBudget) TrySpend() bool {
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}
