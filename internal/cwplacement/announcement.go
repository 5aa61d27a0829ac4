package cwplacement

import "time"

const (
	// maxPause is the longest time for which an endpoint is not used because it asked for a pause.
	// After it a request finds out whether the endpoint still wants it.
	maxPause = 10 * time.Minute
	// returnInterval is the time between two requests to an endpoint whose pause is over, until it
	// has answered one: few enough for an endpoint that is not ready, and soon enough for one that is.
	returnInterval = 200 * time.Millisecond
)

// announcement is what an endpoint has stated about its wish for requests.
type announcement struct {
	// isLeaving is set for the rest of the endpoint's life.
	isLeaving bool
	// pausedUntil is when the latest pause ends that the endpoint asked for; zero if it asked for none.
	pausedUntil time.Time
	// isReturning is set from a pause to the first answer after it, and nextReturnAt is the time from
	// which the endpoint may get another request until then.
	isReturning  bool
	nextReturnAt time.Time
}

// AnnounceLeaving records that the endpoint has said that it is leaving, and returns whether that is
// new. Its entry may not say so yet.
func (a *announcement) AnnounceLeaving() bool {
	if a.isLeaving {
		return false
	}
	a.isLeaving = true
	return true
}

// AnnounceLeaving records that a life of an endpoint is leaving, which may have no entry now, and
// returns whether that is new.
func (p *Pool) AnnounceLeaving(id string, startedAtMillis int64) bool {
	return p.statements.of(life{id, startedAtMillis}).AnnounceLeaving()
}

// AnnouncePause records that the endpoint wants no requests of this instance for a time, and returns
// whether it was in use until now. Of several pauses the one that ends last counts.
func (a *announcement) AnnouncePause(duration time.Duration, now time.Time) bool {
	wasPaused := a.isPaused(now)
	if until := now.Add(min(duration, maxPause)); until.After(a.pausedUntil) {
		a.pausedUntil, a.nextReturnAt, a.isReturning = until, until, true
	}
	return !wasPaused && a.isPaused(now)
}

// EndReturn records an answer to a request that was placed at a time, and returns whether it is the
// first one after a pause: from now on the endpoint is in full use again.
func (a *announcement) EndReturn(placedAt time.Time) bool {
	if !a.isReturning || placedAt.Before(a.pausedUntil) {
		return false
	}
	a.isReturning = false
	return true
}

// IsLeaving reports whether the endpoint has stated in a response that it is leaving.
func (a *announcement) IsLeaving() bool {
	return a.isLeaving
}

// PauseLeft returns the rest of the pause that the endpoint asked for, 0 if there is none.
func (a *announcement) PauseLeft(now time.Time) time.Duration {
	return max(a.pausedUntil.Sub(now), 0)
}

// isPaused reports whether the endpoint may get no request now because it asked for a pause, or
// because it has not answered since.
func (a *announcement) isPaused(now time.Time) bool {
	return a.isReturning && now.Before(a.nextReturnAt)
}

// countReturn records that a request is sent.
func (a *announcement) countReturn(now time.Time) {
	if a.isReturning {
		a.nextReturnAt = now.Add(returnInterval)
	}
}

// pausedReturn returns when the first endpoint's pause ends, for a request that only pauses keep from
// being served here; false if there are other reasons.
func (p *Pool) pausedReturn(req *Request, now time.Time) (time.Duration, bool) {
	var first time.Time
	if !req.IsLocalAllowed {
		return 0, false
	}
	for _, e := range p.sorted {
		if !e.isPaused(now) || e.HasStartedDraining() || e.IsEvacuated || e.isEjected(now) {
			continue
		}
		if first.IsZero() || e.nextReturnAt.Before(first) {
			first = e.nextReturnAt
		}
	}
	return first.Sub(now), !first.IsZero()
}
