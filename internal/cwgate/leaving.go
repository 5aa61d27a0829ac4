package cwgate

import (
	"errors"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

const (
	// leavingRetryAfter is the time after which a caller should retry at another instance.
	leavingRetryAfter = 50 * time.Millisecond
	// lateDurationFactor is the multiple of its predicted duration that a late request must have
	// until the end of the instance, and minLateDuration what it must have at least.
	lateDurationFactor = 3
	minLateDuration    = time.Second
)

// errEnded is the cause of requests that were in progress when the instance ended.
var errEnded = errors.New("instance ends")

// End ends all requests in progress: streams that have begun are broken off, others get a
// response.
func (g *Gate) End() {
	g.end(errEnded)
}

// SetEnd states that the instance stops accepting connections and when it ends. Requests that
// still arrive, on connections that callers have kept, are refused unless they will be finished
// by then.
func (g *Gate) SetEnd(end time.Time) {
	g.endsAt.Store(&end)
}

// isTooLate reports whether the request, if placed as decided, may still be in progress when
// the instance ends. A stream is too late unless its deadline is before the end: the predicted
// length of its output is often far off.
func (g *Gate) isTooLate(routed *routedRequest, d cwplacement.Decision) bool {
	endsAt := g.endsAt.Load()
	if endsAt == nil || d.Action == cwplacement.ActionRefuse || !routed.deadline.After(*endsAt) {
		return false
	}
	duration := d.LocalFirstByte
	if d.Action == cwplacement.ActionRelay {
		duration = d.RemoteFirstByte
	}
	return routed.route.Kind == cwroute.Stream || duration < 0 || max(lateDurationFactor*duration, minLateDuration) > time.Until(*endsAt)
}
