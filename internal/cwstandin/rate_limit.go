package cwstandin

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// rateLimitWindow is the window in which requests are counted against a limit.
	rateLimitWindow = 4 * time.Second
	// rateLimitTolerance and rateLimitSlack are the factor on what the limit allows in a
	// window, and the number of requests beyond that, which are tolerated.
	rateLimitTolerance, rateLimitSlack = 1.5, 5
	// lowerLimitReaction is the time after which a lower limit counts: a response has to
	// arrive with it, and half a second is given after that.
	lowerLimitReaction = time.Second
	// wakeReaction is the time after a freeze in which an instance sends what has waited for it.
	wakeReaction = 100 * time.Millisecond
)

// Freeze is a time in which an instance was frozen.
type Freeze struct{ From, To time.Time }

// rateLimitChange is a limit that a worker names from a time on.
type rateLimitChange struct {
	at        time.Time
	isNamed   bool
	perSecond float64
}

// SetRateLimit makes the worker name a limit for the requests of all instances together, in
// requests per second, in its responses from now on.
func (w *Worker) SetRateLimit(perSecond float64) {
	w.changeRateLimit(rateLimitChange{at: time.Now(), isNamed: true, perSecond: perSecond})
}

// ClearRateLimit makes the worker name no limit from now on.
func (w *Worker) ClearRateLimit() {
	w.changeRateLimit(rateLimitChange{at: time.Now()})
}

func (w *Worker) changeRateLimit(change rateLimitChange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rateLimits = append(w.rateLimits, change)
}

// Arrivals returns when the worker received requests, rejected ones included.
func (w *Worker) Arrivals() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.arrivals)
}

// CheckRateLimit returns an error if the worker received more requests than tolerated in any
// window. Requests of all instances count, also of those that no response told the limit.
// Counting begins when the worker has named a limit for the settling time, and ends when it
// names none. Windows for which isExcused returns true are omitted; it may be nil. So are requests
// right after the freezes of instances in which the limit was lowered: the platform excuses such an
// instance, and it can't know the limit before it has a response.
func (w *Worker) CheckRateLimit(settling time.Duration, isExcused func(from, to time.Time) bool, freezes ...Freeze) error {
	arrivals := w.Arrivals()
	slices.SortFunc(arrivals, time.Time.Compare)
	w.mu.Lock()
	limits := slices.Clone(w.rateLimits)
	w.mu.Unlock()
	for _, f := range freezes {
		if wasLowered(limits, f) {
			arrivals = slices.DeleteFunc(arrivals, func(at time.Time) bool { return !at.Before(f.To) && at.Sub(f.To) < wakeReaction })
		}
	}
	for first, start := range arrivals {
		allowed, ok := allowedRequests(limits, start, settling)
		if !ok || isExcused != nil && isExcused(start, start.Add(rateLimitWindow)) {
			continue
		}
		count := 0
		for _, at := range arrivals[first:] {
			if at.Sub(start) < rateLimitWindow {
				count++
			}
		}
		if float64(count) > rateLimitTolerance*allowed+rateLimitSlack {
			return fmt.Errorf("%s got %d requests in the %v from %v, its limit allows %.1f", w.ID, count, rateLimitWindow, start.Format("05.000"), allowed)
		}
	}
	return nil
}

// wasLowered reports whether the limit was lowered during a freeze.
func wasLowered(limits []rateLimitChange, f Freeze) bool {
	for i := 1; i < len(limits); i++ {
		if before, now := limits[i-1], limits[i]; now.isNamed && (!before.isNamed || now.perSecond < before.perSecond) && now.at.After(f.From) && now.at.Before(f.To) {
			return true
		}
	}
	return false
}

// allowedRequests returns the number of requests that the limits allow in the window from
// start, false if the worker doesn't name a limit in all of the window and for the settling
// time before it.
func allowedRequests(limits []rateLimitChange, start time.Time, settling time.Duration) (float64, bool) {
	end, total := start.Add(rateLimitWindow), 0.0
	current := rateLimitChange{}
	var namedSince time.Time
	for i, change := range limits {
		if change.at.After(end) {
			break
		}
		if change.isNamed && !current.isNamed {
			namedSince = change.at
		}
		previous := current
		current = change
		from, until := change.at, end
		if i+1 < len(limits) {
			until = limits[i+1].at
			// A lower limit takes effect with a delay, a higher one or none at once.
			if next := limits[i+1]; next.isNamed && next.perSecond < change.perSecond {
				until = until.Add(lowerLimitReaction)
			}
		}
		if previous.isNamed && change.isNamed && change.perSecond < previous.perSecond {
			from = from.Add(lowerLimitReaction)
		}
		from, until = laterOf(from, start), earlierOf(until, end)
		total += change.perSecond * math.Max(until.Sub(from).Seconds(), 0)
	}
	return total, current.isNamed && !start.Before(namedSince.Add(settling))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
