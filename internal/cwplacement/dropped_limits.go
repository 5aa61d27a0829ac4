package cwplacement

import "time"

// droppedLimitRetention is how long the rate limit of an endpoint is kept after its entry has
// lapsed.
const droppedLimitRetention = 10 * time.Minute

// droppedLimits holds the rate limits of endpoints whose entries lapsed, by identifier. An
// endpoint that registers again without a restart still has its limit, and the instances
// must not have to be told it again.
type droppedLimits map[string]droppedLimit

type droppedLimit struct {
	rateLimiter
	startedAtMillis int64
}

// add keeps the limit of an endpoint that is dropped, if it names one.
func (d droppedLimits) add(e *Endpoint) {
	if e.limit.IsNamed {
		d[e.ID] = droppedLimit{rateLimiter: e.rateLimiter, startedAtMillis: e.StartedAtMillis}
	}
}

// restore gives a new endpoint the limit that it had, and forgets limits that are too old.
func (d droppedLimits) restore(e *Endpoint, now time.Time) {
	if dropped, ok := d[e.ID]; ok && dropped.startedAtMillis == e.StartedAtMillis {
		e.rateLimiter = dropped.rateLimiter
	}
	delete(d, e.ID)
	for id := range d {
		if now.Sub(d[id].limit.ObservedAt) > droppedLimitRetention {
			delete(d, id)
		}
	}
}
