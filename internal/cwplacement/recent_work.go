package cwplacement

import (
	"math"
	"time"
)

// reportLag is the usual time between two reports of an instance's work: what the others have placed
// meanwhile is not known.
const reportLag = 300 * time.Millisecond

// minRecentWeight is the weight from which work counts.
const minRecentWeight = 0.02

// recentWork is the work that this instance placed at an endpoint within about half of reportLag;
// older work has less weight.
type recentWork struct {
	requests, heldTokens float64
	queuedTokens         [bandCount]float64
	at                   time.Time
}

// weight returns the weight that the recent work has by now; 0 if it is none.
func (r *recentWork) weight(now time.Time) float64 {
	if r.requests == 0 {
		return 0
	}
	return math.Exp(-2 * now.Sub(r.at).Seconds() / reportLag.Seconds())
}

// add adds work that is placed.
func (r *recentWork) add(w *Work, now time.Time) {
	weight := r.weight(now)
	r.requests, r.heldTokens, r.at = r.requests*weight+1, r.heldTokens*weight+w.HeldTokens, now
	for b := range r.queuedTokens {
		r.queuedTokens[b] = r.queuedTokens[b]*weight + w.QueuedTokens[b]
	}
}

// addUnreported adds to the work at the endpoint what the other instances of the region may have
// placed there since their reports. They choose by the same state as this one, so that they are taken
// to have placed as much as it has, in proportion to their work. Prompts count as far as the engine
// is busy: else they are processed soon, and shared parts had better go where they are cached.
func (e *Endpoint) addUnreported(w *Work, now time.Time) {
	if e.mix.peerRequests == 0 {
		return
	}
	weight := e.mix.peersPerInstance() * e.unreported.weight(now)
	if weight < minRecentWeight {
		return
	}
	w.InFlight += int(weight * e.unreported.requests)
	w.HeldTokens += weight * e.unreported.heldTokens
	if !e.hasSpare(w) {
		weight *= e.promptShare(now)
		for b, tokens := range e.unreported.queuedTokens {
			w.QueuedTokens[b] += weight * tokens
		}
	}
}

// spareShare is the share of its slots and of its memory up to which an engine has room to spare.
const spareShare = 0.5

// hasSpare reports whether the engine has room to spare beside the work.
func (e *Endpoint) hasSpare(w *Work) bool {
	return float64(w.InFlight) <= spareShare*float64(e.slots()) && w.HeldTokens <= spareShare*float64(e.engine.MemoryTokens)
}
