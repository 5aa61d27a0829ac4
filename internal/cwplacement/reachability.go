package cwplacement

import "time"

// minUnreachedEndpoints is the number of endpoints that must be unreachable in a row, without one
// that is reached, for the cause to be this instance's links: that so many endpoints end together
// is rarer. Where there are fewer, all must be.
const minUnreachedEndpoints = 3

// Reachability tells from the attempts to reach endpoints whether this instance is cut off from all
// of its region.
type Reachability struct {
	// reachedAt is when an endpoint was last reached, and unreached are those that were not since.
	reachedAt time.Time
	unreached map[string]bool
	isCutOff  bool
}

// OnReached records that an endpoint was reached. It returns true if the instance is no longer cut
// off.
func (r *Reachability) OnReached(now time.Time) bool {
	wasCutOff := r.isCutOff
	r.reachedAt, r.isCutOff = now, false
	clear(r.unreached)
	return wasCutOff
}

// OnUnreached records that an attempt to reach an endpoint, begun at startedAt, failed. total is the
// number of endpoints in the region. It returns true if the instance is cut off from now on.
func (r *Reachability) OnUnreached(id string, startedAt time.Time, total int) bool {
	if r.isCutOff || startedAt.Before(r.reachedAt) {
		return false
	}
	if r.unreached == nil {
		r.unreached = make(map[string]bool)
	}
	r.unreached[id] = true
	r.isCutOff = len(r.unreached) >= min(minUnreachedEndpoints, total)
	return r.isCutOff
}

// IsCutOff reports whether the instance is cut off from all endpoints.
func (r *Reachability) IsCutOff() bool {
	return r.isCutOff
}

// HasReachedSince reports whether an endpoint was reached after a time.
func (r *Reachability) HasReachedSince(at time.Time) bool {
	return r.reachedAt.After(at)
}
