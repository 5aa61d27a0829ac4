package cwplacement

import "time"

// minUnreachedEndpoints is the number of endpoints that must be unreachable in a row, without one
// that is reached, for the cause to be this instance's links: that so many endpoints end together
// is rarer. Where there are fewer, all must be.
const minUnreachedEndpoints = 3

const (
	// endpointsPerUnreached is the number of endpoints in a region that call for one more. A share of
	// many endpoints that ends at once is met in a row by chance.
	endpointsPerUnreached = 32
	// endpointFaultPeriod is how long an endpoint that was unreached while others were reached says
	// nothing of this instance's links. It is redialed all the while.
	endpointFaultPeriod = 15 * time.Second
)

// Reachability tells from the attempts to reach endpoints whether this instance is cut off from all
// of its region.
type Reachability struct {
	// reachedAt is when an endpoint was last reached, and unreached are those that were not since.
	reachedAt time.Time
	unreached map[string]bool
	// faultyAt are the times at which others were reached while an endpoint was not.
	faultyAt map[string]time.Time
	isCutOff bool
}

// OnReached records that an endpoint was reached. It returns true if the instance is no longer cut
// off.
func (r *Reachability) OnReached(now time.Time) bool {
	wasCutOff := r.isCutOff
	r.reachedAt, r.isCutOff = now, false
	if len(r.unreached) > 0 && !wasCutOff {
		r.recordFaults(now)
	}
	clear(r.unreached)
	return wasCutOff
}

// recordFaults records that the unreached endpoints are not reached for a reason of their own.
func (r *Reachability) recordFaults(now time.Time) {
	if r.faultyAt == nil {
		r.faultyAt = make(map[string]time.Time)
	}
	for id, at := range r.faultyAt {
		if now.Sub(at) >= endpointFaultPeriod {
			delete(r.faultyAt, id)
		}
	}
	for id := range r.unreached {
		r.faultyAt[id] = now
	}
}

// OnUnreached records that an attempt to reach an endpoint, begun at startedAt, failed. total is the
// number of endpoints in the region. It returns true if the instance is cut off from now on.
func (r *Reachability) OnUnreached(id string, startedAt time.Time, total int) bool {
	if r.isCutOff || startedAt.Before(r.reachedAt) {
		return false
	}
	required := min(minUnreachedEndpoints+total/endpointsPerUnreached, total)
	if at, isFaulty := r.faultyAt[id]; isFaulty && startedAt.Sub(at) < endpointFaultPeriod && total-len(r.faultyAt) >= required {
		return false
	}
	if r.unreached == nil {
		r.unreached = make(map[string]bool)
	}
	r.unreached[id] = true
	r.isCutOff = len(r.unreached) >= required
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
