package cwplacement

import "time"

// maxPause is the longest time for which an endpoint is not used because it asked for a pause. After
// it one request finds out whether the endpoint still wants it.
const maxPause = 10 * time.Minute

// announcement is what an endpoint has stated about its wish for requests.
type announcement struct {
	// isLeaving is set for the rest of the endpoint's life.
	isLeaving bool
	// pausedUntil is when the latest pause ends that the endpoint asked for; zero if it asked for none.
	pausedUntil time.Time
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
		a.pausedUntil = until
	}
	return !wasPaused && a.isPaused(now)
}

// IsLeaving reports whether the endpoint has stated in a response that it is leaving.
func (a *announcement) IsLeaving() bool {
	return a.isLeaving
}

// PauseLeft returns the rest of the pause that the endpoint asked for, 0 if there is none.
func (a *announcement) PauseLeft(now time.Time) time.Duration {
	if !a.isPaused(now) {
		return 0
	}
	return a.pausedUntil.Sub(now)
}

func (a *announcement) isPaused(now time.Time) bool {
	return now.Before(a.pausedUntil)
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
		if first.IsZero() || e.pausedUntil.Before(first) {
			first = e.pausedUntil
		}
	}
	return first.Sub(now), !first.IsZero()
}
