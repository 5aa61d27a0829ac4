package cwplacement

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// brittleMemory is how long a service counts as brittle after the latest answer that said so.
const brittleMemory = 10 * time.Second

// RecordBrittle records whether an answer to a request that was sent at sentAt said that the
// endpoints of the service are brittle: they may end if they have to turn requests away.
func (p *Pool) RecordBrittle(isBrittle bool, sentAt, now time.Time) (hasChanged bool) {
	was := p.IsBrittle(now)
	switch {
	case isBrittle:
		p.brittleUntil = now.Add(brittleMemory)
		p.brittleAt = now
	case sentAt.After(p.brittleAt):
		p.brittleUntil = time.Time{}
	}
	return was != p.IsBrittle(now)
}

// RecordBrittleRejection records that a brittle endpoint has turned a request away for want of room:
// nothing may wait at the endpoints of the service for a while.
func (p *Pool) RecordBrittleRejection(now time.Time) {
	p.queueRejectedAt = now
}

// IsBrittle reports whether the endpoints of the service are brittle.
func (p *Pool) IsBrittle(now time.Time) bool {
	return now.Before(p.brittleUntil)
}

// SetSlotOwners determines which slots of each endpoint this instance may use while the service is
// brittle: each slot belongs to one of the instances of the region, on which all agree by hashing.
// One more request may wait there, until that is turned away. Together they then never send an
// endpoint more than it can take, also one that has just started.
func (p *Pool) SetSlotOwners(self string, others []string) {
	for _, e := range p.sorted {
		e.ownSlots, e.ownsQueue = 0, ownsSlot(e.ID+" queue", self, others)
		for slot := range min(e.slots(), maxOwnedSlots) {
			if ownsSlot(e.ID+" "+strconv.Itoa(slot), self, others) {
				e.ownSlots++
			}
		}
	}
}

// maxOwnedSlots bounds the slots of an endpoint that are used while it is brittle.
const maxOwnedSlots = 256

func ownsSlot(slot, self string, others []string) bool {
	own := xxhash.Sum64String(slot + " " + self)
	for _, other := range others {
		if xxhash.Sum64String(slot+" "+other) > own {
			return false
		}
	}
	return true
}

// hasRoom reports whether this instance may send another request to the endpoint as far as its
// brittleness is concerned.
func (p *Pool) hasRoom(e *Endpoint, now time.Time) bool {
	if !p.IsBrittle(now) {
		return true
	}
	places := e.ownSlots
	if e.ownsQueue && now.Sub(p.queueRejectedAt) >= brittleMemory {
		places++
	}
	return e.ownWork.InFlight < places
}

// brittleReturn returns when a request can be served that only the brittleness of endpoints keeps
// from being served here: when about one of the requests in progress has ended. It returns false if
// there are other reasons.
func (p *Pool) brittleReturn(req *Request, now time.Time) (time.Duration, bool) {
	if !req.IsLocalAllowed || !p.IsBrittle(now) {
		return 0, false
	}
	for _, e := range p.sorted {
		if e.IsUsable(now) && !req.WasTried(e.ID) {
			return durationOfSeconds(e.serviceTimeSeconds), true
		}
	}
	return 0, false
}
