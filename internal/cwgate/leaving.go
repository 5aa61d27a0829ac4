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
	// until the end of the instance.
	lateDurationFactor = 1.5
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
// the instance ends.
func (g *Gate) isTooLate(routed *routedRequest, d cwplacement.Decision) bool {
	endsAt := g.endsAt.Load()
	if endsAt == nil || d.Action == cwplacement.ActionRefuse || !routed.deadline.After(*endsAt) {
		return false
	}
	duration := d.LocalFirstByte + d.RestOfResponse
	if d.Action == cwplacement.ActionRelay {
		duration = d.RemoteFirstByte
	}
	hasUnknownRest := routed.route.Kind == cwroute.Stream && (d.Action == cwplacement.ActionRelay || routed.Prompt == nil)
	return hasUnknownRest || duration < 0 || time.Duration(lateDurationFactor*float64(duration)) > time.Until(*endsAt)
}
