package cwpolicy

import "time"

const (
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// ComputeRetryAfterSeconds returns the seconds after which a refused caller should come back.
// The spread in [0,1) keeps refused callers from returning together.
func ComputeRetryAfterSeconds(wait time.Duration, spread float64) float64 {
	base := min(max(wait, minRetryAfter), maxRetryAfter)
	return base.Seconds() * (1 + spread)
}
