package cwpolicy

import (
	"time"

	"golang.org/x/time/rate"
)

// RateShare is this instance's share of a rate limit that several instances keep together.
// Each instance computes its own share (RateDivision) and spends it without asking the
// others. A new share has no unspent requests: those of the division before may still be
// unspent elsewhere.
type RateShare struct {
	limiter *rate.Limiter
}

// NewRateShare returns a share that allows nothing.
func NewRateShare() *RateShare {
	return &RateShare{}
}

// Set changes the share to a rate, in requests per second, and to the number of unspent
// requests that it accumulates while it is idle. Unspent requests above the new number
// are dropped.
func (s *RateShare) Set(perSecond float64, burst int, now time.Time) {
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		s.limiter.AllowN(now, burst)
		return
	}
	s.limiter.SetLimitAt(now, rate.Limit(perSecond))
	s.limiter.SetBurstAt(now, burst)
}

// PerSecond returns the rate of the share, in requests per second.
func (s *RateShare) PerSecond() float64 {
	if s.limiter == nil {
		return 0
	}
	return float64(s.limiter.Limit())
}

// CanTake reports whether the share allows a request now. A share that was reduced to
// nothing allows none, even if there are unspent requests.
func (s *RateShare) CanTake(now time.Time) bool {
	return s.PerSecond() > 0 && s.limiter.TokensAt(now) >= 1
}

// Take spends one request, or returns false if the share allows none now.
func (s *RateShare) Take(now time.Time) bool {
	return s.CanTake(now) && s.limiter.AllowN(now, 1)
}

// Wait returns the time until the share allows a request; false if it never does.
func (s *RateShare) Wait(now time.Time) (time.Duration, bool) {
	if s.PerSecond() <= 0 {
		return 0, false
	}
	missing := max(1-s.limiter.TokensAt(now), 0)
	return time.Duration(missing / s.PerSecond() * float64(time.Second)), true
}
