package cwplacement

import "time"

// coldLimiter limits the rate of requests to one cold endpoint. Normally only the
// endpoint's owner sends requests there, so the rate holds for all instances together.
// It allows no burst, which leaves headroom for the time in which two instances both
// count as the owner.
type coldLimiter struct {
	// nextAt is when the next request is allowed.
	nextAt time.Time
}

// take counts one request if the rate, in requests per second, allows it, and returns
// false otherwise.
func (l *coldLimiter) take(rate float64, now time.Time) bool {
	if rate <= 0 || now.Before(l.nextAt) {
		return false
	}
	l.nextAt = now.Add(time.Duration(float64(time.Second) / rate))
	return true
}

// charge counts one request that is sent whatever the rate allows. The next one waits for it.
func (l *coldLimiter) charge(rate float64, now time.Time) {
	if rate <= 0 {
		return
	}
	if l.nextAt.Before(now) {
		l.nextAt = now
	}
	l.nextAt = l.nextAt.Add(time.Duration(float64(time.Second) / rate))
}

// canTake reports whether take would succeed.
func (l *coldLimiter) canTake(rate float64, now time.Time) bool {
	return rate > 0 && !now.Before(l.nextAt)
}
