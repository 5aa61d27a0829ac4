package cwpolicy_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// TestRetryBudgetLimitsRetries guards against retry storms at a failing destination.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	is := is.New(t)
	b := cwpolicy.NewRetryBudget()
	for range 1000 {
		b.OnSuccess(0.1)
	}
	retries := 0
	for range 1000 { // every request to the destination fails
		if b.TrySpend() {
			retries++
		}
	}
	is.Equal(retries, 10)
}
