package cwplacement

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// TriedEndpoints returns the number of endpoints that this instance would try to reach, or has
// failed to reach: those that take new requests, except for the ones that only other instances
// suspect.
func (p *Pool) TriedEndpoints(now time.Time) int {
	n := 0
	for _, e := range p.sorted {
		if e.HasStartedDraining() || e.IsEvacuated {
			continue
		}
		if e.isEjected(now) || !e.isSuspected(e.readAt, now) || now.Sub(e.unreachableAt) < suspicionDuration {
			n++
		}
	}
	return n
}

// UnreachedCapacity returns the capacity of the endpoints that another instance of the region may
// reach. It returns false unless this instance has no endpoint for a request, and one of them because
// this or another instance could not reach it.
func (p *Pool) UnreachedCapacity(wasTried func(id string) bool, now time.Time) (cwpolicy.PoolCapacity, bool) {
	var c cwpolicy.PoolCapacity
	isUnreached := false
	for _, e := range p.sorted {
		if e.HasStartedDraining() || e.IsEvacuated {
			continue
		}
		if e.IsUsable(now) && !wasTried(e.ID) {
			return c, false
		}
		isUnreached = isUnreached || e.isEjected(now) || e.isSuspected(e.readAt, now)
		c.Endpoints++
		c.Slots += e.slots()
		c.FreeSlots += e.slots()
	}
	c.SecondsPerToken = 1 / p.meanPromptSpeed()
	return c, isUnreached
}

// ForgetUnreachability drops what followed from the failures of this instance to reach endpoints.
// With hasWitness it is known that they have not restarted meanwhile. With isStoreRead the entries in
// the store are current.
func (p *Pool) ForgetUnreachability(hasWitness, isStoreRead bool, now time.Time) {
	for _, e := range p.sorted {
		e.health = health{silenceEndedAt: e.silenceEndedAt}
		switch {
		case hasWitness:
			e.clearCutOff()
		case isStoreRead:
			e.clearIfListed(now)
		}
	}
}
