package cwplacement

import "time"

// coldLimiter limits the requests to one cold endpoint. Only one instance of the
// region opens it, so the rate holds for all instances together; the single
// request in hand leaves room for two instances that both think it is theirs.
type coldLimiter struct {
	nextAt time.Time
}

// take takes one request if the rate allows it.
func (g *coldLimiter) take(rate float64, now time.Time) bool {
	if rate <= 0 || now.Before(g.nextAt) {
		return false
	}
	g.nextAt = now.Add(time.Duration(float64(time.Second) / rate))
	return true
}

// canTake reports whether open would succeed.
func (g *coldLimiter) canTake(rate float64, now time.Time) bool {
	return rate > 0 && !now.Before(g.nextAt)
}
