package cwpolicy

import "time"

const (
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// ComputeRetryAfterSeconds returns the time in seconds after which a refused caller
// should retry: the wait, limited to between 1 and 60 seconds and lengthened by up to
// 100 %. The jitter, in [0,1), prevents refused callers from retrying at the same time.
func ComputeRetryAfterSeconds(wait time.Duration, jitter float64) float64 {
	base := min(max(wait, minRetryAfter), maxRetryAfter)
	return base.Seconds() * (1 + jitter)
}
