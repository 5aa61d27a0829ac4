package cwpolicy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RateSharer is an instance that may get a share of a rate limit.
type RateSharer struct {
	// Address is the instance's peer address.
	Address string
	// RequestsPerSecond is the rate of requests at the instance that the limit applies to.
	RequestsPerSecond float64
}

// RateDivision divides a rate limit between instances. All instances apply the same rule
// to what they know of each other, so that their shares add up to the limit without an
// arbiter; while their knowledge differs, the sum deviates.
type RateDivision struct {
	// Key identifies the limit.
	Key string
	// PerSecond is the limit in requests per second.
	PerSecond float64
	// Burst is the number of requests that all shares together may accumulate while they
	// are idle.
	Burst float64
	// Sharers are the instances, in any order.
	Sharers []RateSharer
}

// Share returns the rate of an instance, in requests per second, and the number of unspent
// requests that it may accumulate. Both are 0 for an instance that gets no share.
//
// A share can accumulate no less than one request. Where there are more instances than
// Burst allows, only some of them get a share: those with requests first, then by a hash
// of the key, so that the shares of different limits are held by different instances.
func (d *RateDivision) Share(address string) (perSecond float64, burst int) {
	holders := d.holders()
	own := slices.IndexFunc(holders, func(s RateSharer) bool { return s.Address == address })
	if own < 0 {
		return 0, 0
	}
	total := 0.0
	for _, h := range holders {
		total += h.RequestsPerSecond
	}
	share := shareOfDemand(holders[own].RequestsPerSecond, total, len(holders))
	return d.PerSecond * share, max(int(d.Burst*share), 1)
}

// minSharerDemand is the rate of requests per second from which an instance is preferred
// as the holder of a share to one without requests.
const minSharerDemand = 0.05

// holders returns the instances that get a share.
func (d *RateDivision) holders() []RateSharer {
	maxHolders := max(int(d.Burst), 1)
	if len(d.Sharers) <= maxHolders {
		return d.Sharers
	}
	type candidate struct {
		RateSharer
		score uint64
	}
	candidates := make([]candidate, len(d.Sharers))
	for i, s := range d.Sharers {
		candidates[i] = candidate{RateSharer: s, score: xxhash.Sum64String(d.Key + " " + s.Address)}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if aHasDemand := a.RequestsPerSecond >= minSharerDemand; aHasDemand != (b.RequestsPerSecond >= minSharerDemand) {
			if aHasDemand {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	holders := make([]RateSharer, maxHolders)
	for i := range holders {
		holders[i] = candidates[i].RateSharer
	}
	return holders
}

// minEvenShareFraction is the fraction of an even share that an instance keeps without
// demand, for the first requests that it receives.
const minEvenShareFraction = 0.25

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
