package cwpolicy

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// limitBurstSeconds is the burst size of a limit, in seconds at its rate.
	limitBurstSeconds = 1.0
	// limiterIdleTimeout is how long an unused limiter is kept.
	limiterIdleTimeout = time.Minute
	// demandGain is the weight of the latest second in the moving average of the demand.
	demandGain = 0.3
)

// LimitKey identifies a rate limit.
type LimitKey struct {
	// Service and Account are what the limit applies to. The limit applies to the
	// whole service if Account is empty.
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

// NewLimits returns an empty set of limits for a single instance.
func NewLimits() *Limits {
	return &Limits{limiters: make(map[LimitKey]*limiter), instances: 1}
}

// SetInstanceCount sets how many instances share each limit, this one included.
// New limits start at an even share.
func (l *Limits) SetInstanceCount(count int) {
	l.instances = max(count, 1)
}

// Allow reports whether a request is within the limit, which is given in requests
// per second over all instances, and counts the request as demand. A limit of 0
// allows all requests and counts none.
func (l *Limits) Allow(key LimitKey, totalPerSecond float64, now time.Time) bool {
	if totalPerSecond <= 0 {
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
	if lim.totalPerSecond != totalPerSecond {
		lim.totalPerSecond = totalPerSecond
		lim.applyRate(now)
	}
	return lim.AllowN(now, 1)
}

// RetryAfter returns the time until this instance's share of the limit allows the
// next request.
func (l *Limits) RetryAfter(key LimitKey, now time.Time) time.Duration {
	lim := l.limiters[key]
	if lim == nil || lim.Limit() <= 0 {
		return minRetryAfter
	}
	missing := 1 - lim.TokensAt(now)
	return time.Duration(max(missing, 0) / float64(lim.Limit()) * float64(time.Second))
}

func (l *limiter) applyRate(now time.Time) {
	perSecond := l.totalPerSecond * l.share
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, max(1, int(perSecond*limitBurstSeconds)))
}

// LimitDemand is the rate of requests that one instance receives for a limit.
type LimitDemand struct {
	// Key identifies the limit.
	Key LimitKey
	// RequestsPerSecond is the moving average of the arrivals, allowed or not.
	RequestsPerSecond float64
}

// UpdateDemands adds the arrivals since the last call to the average demand of each
// limit and returns the demands. It also removes unused limiters. It must be called
// once per second.
func (l *Limits) UpdateDemands(now time.Time) []LimitDemand {
	demands := make([]LimitDemand, 0, len(l.limiters))
	for key, lim := range l.limiters {
		if now.Sub(lim.lastUsedAt) > limiterIdleTimeout {
			delete(l.limiters, key)
			continue
		}
		lim.demandPerSecond += demandGain * (float64(lim.arrivals) - lim.demandPerSecond)
		lim.arrivals = 0
		demands = append(demands, LimitDemand{Key: key, RequestsPerSecond: lim.demandPerSecond})
	}
	return demands
}

// UpdateShare sets this instance's share of a limit from its own demand and the
// demand reported by the other instances. It must be called only while all of them
// are usable or leaving: a partitioned instance keeps its last share, so missing
// reports never increase a share.
func (l *Limits) UpdateShare(key LimitKey, othersPerSecond float64, now time.Time) {
	lim := l.limiters[key]
	if lim == nil {
		return
	}
	lim.share = shareOfDemand(lim.demandPerSecond, lim.demandPerSecond+othersPerSecond, l.instances)
	lim.applyRate(now)
}
