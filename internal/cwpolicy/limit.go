package cwpolicy

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// limitBurstSeconds is the burst of a limit, in seconds of its rate.
	limitBurstSeconds = 1.0
	// limiterIdleTimeout is how long an unused limiter is remembered.
	limiterIdleTimeout = time.Minute
	// minEvenShareFraction is the part of an even share that an instance keeps without demand.
	minEvenShareFraction = 0.25
	// demandGain is the weight of the latest second in the demand average.
	demandGain = 0.3
)

// LimitKey names one limited stream of requests.
type LimitKey struct {
	// Service is limited as a whole if Account is empty.
	Service, Account string
}

// Limits holds this instance's share of each limit.
type Limits struct {
	limiters  map[LimitKey]*limiter
	instances int
	swept     time.Time
}

type limiter struct {
	*rate.Limiter
	totalPerSecond  float64
	share           float64
	demandPerSecond float64
	arrivals        int
	lastUsedAt      time.Time
}

// NewLimits returns an empty set.
func NewLimits() *Limits {
	return &Limits{limiters: make(map[LimitKey]*limiter), instances: 1}
}

// SetInstanceCount tells how many instances share each limit, this one included. New
// limits start at an even share.
func (l *Limits) SetInstanceCount(n int) {
	l.instances = max(n, 1)
}

// Allow reports whether a request may pass, given the limit over all instances
// in requests per second. A limit of 0 lets everything pass.
func (l *Limits) Allow(key LimitKey, total float64, now time.Time) bool {
	if total <= 0 {
		return true
	}
	lim := l.limiters[key]
	if lim == nil {
		lim = &limiter{share: 1 / float64(l.instances)}
		lim.Limiter = rate.NewLimiter(0, 1)
		l.limiters[key] = lim
	}
	lim.lastUsedAt = now
	lim.arrivals++
	if lim.totalPerSecond != total {
		lim.totalPerSecond = total
		lim.applyRate(now)
	}
	return lim.AllowN(now, 1)
}

// RetryAfter returns the time until the limit lets a request pass.
func (l *Limits) RetryAfter(key LimitKey, now time.Time) time.Duration {
	lim := l.limiters[key]
	if lim == nil || lim.Limit() <= 0 {
		return minRetryAfter
	}
	missing := 1 - lim.TokensAt(now)
	return time.Duration(max(missing, 0) / float64(lim.Limit()) * float64(time.Second))
}

func (m *limiter) applyRate(now time.Time) {
	r := m.totalPerSecond * m.share
	m.SetLimitAt(now, rate.Limit(r))
	m.SetBurstAt(now, max(1, int(r*limitBurstSeconds)))
}

// LimitDemand is the rate of requests that one instance saw for a limit.
type LimitDemand struct {
	// Key names the limit.
	Key LimitKey
	// RequestsPerSecond is the smoothed rate of arrivals, allowed or not.
	RequestsPerSecond float64
}

// UpdateDemands folds the arrivals since the last call into the demand and returns the
// demand of each limit. It is called once a second.
func (l *Limits) UpdateDemands(now time.Time) []LimitDemand {
	out := make([]LimitDemand, 0, len(l.limiters))
	for key, lim := range l.limiters {
		if now.Sub(lim.lastUsedAt) > limiterIdleTimeout {
			delete(l.limiters, key)
			continue
		}
		lim.demandPerSecond += demandGain * (float64(lim.arrivals) - lim.demandPerSecond)
		lim.arrivals = 0
		out = append(out, LimitDemand{Key: key, RequestsPerSecond: lim.demandPerSecond})
	}
	return out
}

// UpdateShare sets this instance's share of a limit from the demand that the other
// instances reported. It is called only while all of them are heard: cut off, an
// instance keeps its last share, so the shares never grow on silence.
func (l *Limits) UpdateShare(key LimitKey, others float64, now time.Time) {
	lim := l.limiters[key]
	if lim == nil {
		return
	}
	even := 1 / float64(l.instances)
	wanted := even
	if sum := lim.demandPerSecond + others; sum > 0 {
		wanted = lim.demandPerSecond / sum
	}
	lim.share = minEvenShareFraction*even + (1-minEvenShareFraction)*wanted
	lim.applyRate(now)
}
