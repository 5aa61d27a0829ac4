package cwgate

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewell/clementinewell/internal/cwpublished"
)

// coldPeriod is the time until which an endpoint is cold according to one revision of its
// published entry, and to what it has stated since. A cold endpoint takes only a low rate of requests.
type coldPeriod struct {
	revision cwpublished.Revision
	until    time.Time
	// statedUntil is the time that it has stated to this instance; zero if it has not.
	statedUntil time.Time
}

// coldUntil returns when the endpoint stops being cold. The remaining time in the entry is
// added to the time at which this instance read that revision of the entry.
func (g *Gate) coldUntil(id string, r cwpublished.Registration) time.Time {
	period := g.coldPeriods[id]
	if period.revision != r.Revision {
		period = coldPeriod{revision: r.Revision, until: r.ReadAt.Add(r.ColdRemaining)}
		g.coldPeriods[id] = period
	}
	return period.until
}

// extendColdPeriod records that an endpoint is cold until a time, which its entry doesn't show. It
// returns false if that was known.
func (g *Gate) extendColdPeriod(id string, until time.Time) bool {
	period, isKnown := g.coldPeriods[id]
	if !isKnown || !until.After(period.until) {
		return false
	}
	period.until = until
	g.coldPeriods[id] = period
	return true
}

// maxColdOwners is the number of instances that may own a cold endpoint at the same time,
// while their lists of each other differ.
const maxColdOwners = 2

// coldRate returns the rate, in requests per second, at which an owner may send requests to
// a cold endpoint with the configured rate. Even maxColdOwners owners then stay within the
// bound for any one second, in which each sends one request at once and further ones at
// this rate.
func (g *Gate) coldRate(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	maxRate := rate * max(g.bounds.ColdOverage, 1)
	return min(max((maxRate+g.bounds.ColdSlack)/maxColdOwners-1, 0), maxRate)
}

// ownsCold reports whether this instance owns the endpoint, that is may use it while it is
// cold. The owner is the instance with the highest rendezvous score in the endpoint's
// failure domain, since instances of one domain have the most accurate lists of each other.
func (g *Gate) ownsCold(id, domain string, now time.Time) bool {
	if domain != g.site.Domain || g.sharing.isStarting(now) {
		return false
	}
	ownScore := rendezvousScore(id, g.snapshot.Self.PeerAddress)
	for i := range g.snapshot.Members {
		m := &g.snapshot.Members[i]
		if m.Domain != domain || !g.sharing.isUsing(m, g.bounds, now) {
			continue
		}
		if rendezvousScore(id, m.PeerAddress) > ownScore {
			return false
		}
	}
	return true
}

// rendezvousScore returns the score of an address for rendezvous hashing by id.
func rendezvousScore(id, address string) uint64 {
	return xxhash.Sum64String(id + " " + address)
}

// hasColdEndpoint reports whether any endpoint is cold. The owner of a cold endpoint can
// change with the other instances.
func (g *Gate) hasColdEndpoint(now time.Time) bool {
	for _, period := range g.coldPeriods {
		if now.Before(period.until) {
			return true
		}
	}
	return false
}
