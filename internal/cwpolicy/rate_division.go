package cwpolicy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sharerContactTimeout is how long an instance is out of contact before its share is no
	// longer changed. It covers two exchanges.
	sharerContactTimeout = 2 * time.Second
	// sharerSilenceLimit is how long an instance is out of contact before its share may be
	// divided among the others.
	sharerSilenceLimit = 30 * time.Second
	// maxReleasedShare is the largest share of all instances beyond sharerSilenceLimit
	// together that is divided among the others. Such instances may have ended, or be
	// partitioned and still use their shares.
	maxReleasedShare = 0.25
	// minSharerDemand is the rate of requests per second from which an instance is preferred
	// as the holder of a share to one without requests.
	minSharerDemand = 0.05
	// minEvenShareFraction is the fraction of an even share that an instance keeps without
	// demand, for the first requests that it receives.
	minEvenShareFraction = 0.25
)

// RateSharer is an instance that may get a share of a rate limit.
type RateSharer struct {
	// Address is the instance's peer address.
	Address string
	// RequestsPerSecond is the rate of requests at the instance that the limit applies to.
	RequestsPerSecond float64
	// ContactAt is when the instance last told its rate; for this instance, now.
	ContactAt time.Time
}

// RateDivision divides one rate limit between instances. All instances apply the same rule
// to what they told each other, so that their shares add up to the limit without an
// arbiter:
//   - A share grows with an instance's own demand only after all others in contact were
//     told of it, and shrinks at once. By then the others have reduced theirs.
//   - The share of an instance out of contact stays as it was, since that instance computes
//     it from what it was told last. So the sides of a partition go on with their part each,
//     and missing reports don't increase a share.
type RateDivision struct {
	// key identifies the limit.
	key string
	// contacts are the states as of the latest contact with each other instance.
	contacts map[string]rateContact
}

// rateContact is what two instances agree on at a contact.
type rateContact struct {
	at time.Time
	// toldDemand is the demand of this instance that the other one was told.
	toldDemand float64
	// share is the share of the other instance, from 0 to 1.
	share float64
}

// NewRateDivision returns the division of the limit that the key identifies.
func NewRateDivision(key string) *RateDivision {
	return &RateDivision{key: key, contacts: make(map[string]rateContact)}
}

// Divide returns the share of this instance, whose address is self, in a limit. The limit is
// in requests per second, and maxBurst is the number of requests that all shares together
// may accumulate while they are idle. The result is a rate in requests per second and the
// number of requests that this share may accumulate. Both are 0 without a share.
func (d *RateDivision) Divide(limit, maxBurst float64, self string, sharers []RateSharer, now time.Time) (perSecond float64, burst int) {
	current, reserved := d.reserve(sharers, now)
	available := 1 - reserved
	changed := d.limitOwnDemand(current, self)
	holders := d.holders(current, max(int(maxBurst*available), 1))
	total := totalDemand(holders)
	shares := make(map[string]float64, len(holders))
	for _, h := range holders {
		shares[h.Address] = available * shareOfDemand(h.RequestsPerSecond, total, len(holders))
	}
	for _, address := range changed {
		contact := d.contacts[address]
		contact.share = shares[address]
		d.contacts[address] = contact
	}
	own := shares[self]
	if own <= 0 {
		return 0, 0
	}
	// Each holder accumulates one request; what is left of maxBurst is divided.
	return limit * own, 1 + int(max(maxBurst*available-float64(len(holders)), 0)*own/available)
}

// limitOwnDemand reduces the demand of this instance in current to what every other
// instance in contact was told. It returns the instances with a new contact.
func (d *RateDivision) limitOwnDemand(current []RateSharer, self string) []string {
	own := slices.IndexFunc(current, func(s RateSharer) bool { return s.Address == self })
	if own < 0 {
		return nil
	}
	var changed []string
	demand := current[own].RequestsPerSecond
	for _, s := range current {
		if s.Address == self {
			continue
		}
		contact, known := d.contacts[s.Address]
		if !known || s.ContactAt.After(contact.at) {
			contact.at, contact.toldDemand = s.ContactAt, demand
			d.contacts[s.Address] = contact
			changed = append(changed, s.Address)
		}
		current[own].RequestsPerSecond = min(current[own].RequestsPerSecond, contact.toldDemand)
	}
	return changed
}

// reserve returns the instances in contact, among which the limit is divided, and the share
// that is reserved for the others.
func (d *RateDivision) reserve(sharers []RateSharer, now time.Time) (current []RateSharer, reserved float64) {
	silent := 0.0
	for _, s := range sharers {
		silence := now.Sub(s.ContactAt)
		if silence <= sharerContactTimeout {
			current = append(current, s)
			continue
		}
		share := 1 / float64(len(sharers))
		if contact, known := d.contacts[s.Address]; known {
			share = contact.share
		}
		if silence > sharerSilenceLimit {
			silent += share
		} else {
			reserved += share
		}
	}
	if silent > maxReleasedShare {
		reserved += silent
	}
	return current, min(reserved, 1)
}

// holders returns those of the sharers that get a share, at most count. A share accumulates
// up to one request or more, so that the number of shares is limited. Instances with
// requests are preferred, and then those with the highest hash of the key, so that
// different instances hold the shares of different limits.
func (d *RateDivision) holders(sharers []RateSharer, count int) []RateSharer {
	if len(sharers) <= count {
		return sharers
	}
	type candidate struct {
		RateSharer
		rank  int
		score uint64
	}
	candidates := make([]candidate, len(sharers))
	for i, s := range sharers {
		candidates[i] = candidate{RateSharer: s, score: xxhash.Sum64String(d.key + " " + s.Address)}
		if s.RequestsPerSecond < minSharerDemand {
			candidates[i].rank = 1
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.score, a.score))
	})
	holders := make([]RateSharer, count)
	for i := range holders {
		holders[i] = candidates[i].RateSharer
	}
	return holders
}

func totalDemand(sharers []RateSharer) float64 {
	total := 0.0
	for i := range sharers {
		total += sharers[i].RequestsPerSecond
	}
	return total
}

// shareOfDemand returns the share, from 0 to 1, of an instance with its own demand, out of
// the demand of count instances.
func shareOfDemand(own, total float64, count int) float64 {
	even := 1 / float64(count)
	proportional := even
	if total > 0 {
		proportional = own / total
	}
	return minEvenShareFraction*even + (1-minEvenShareFraction)*proportional
}
