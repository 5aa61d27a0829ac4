package cwplacement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// regionWeight is the number of endpoints of a region that are in use.
type regionWeight struct {
	name      string
	hash      uint64
	endpoints int
}

// affinityRegion returns the region that every instance picks for the shared parts of
// the prompt, so that a part is processed and cached in one region only; empty without
// shared parts. Regions are picked in proportion to their endpoints.
func (p *Pool) affinityRegion(req *Request, now time.Time) string {
	key := req.sharedKey()
	if key == 0 {
		return ""
	}
	best, highest := "", math.Inf(-1)
	for _, r := range p.regionWeights(req, now) {
		if score := weightedRendezvousScore(key, r.hash, r.endpoints); score > highest {
			best, highest = r.name, score
		}
	}
	return best
}

// regionWeights returns the regions that may serve the request and have an endpoint
// in use. The result is valid until the next call.
func (p *Pool) regionWeights(req *Request, now time.Time) []regionWeight {
	weights := p.weightBuffer[:0]
	add := func(region string, n int) {
		for i := range weights {
			if weights[i].name == region {
				weights[i].endpoints += n
				return
			}
		}
		weights = append(weights, regionWeight{name: region, hash: xxhash.Sum64String(region), endpoints: n})
	}
	if req.IsLocalAllowed {
		for _, e := range p.sorted {
			if !e.HasStartedDraining() && !e.IsEvacuated && !e.isEjected(now) && !e.IsCold(now) {
				add(e.Region, 1)
			}
		}
	}
	for i := range req.RemoteCapacities {
		if r := &req.RemoteCapacities[i]; isRemoteUsable(r, now) {
			add(r.Region, r.Endpoints)
		}
	}
	p.weightBuffer = weights
	return weights
}

// weightedRendezvousScore returns the score of a region for a key, such that each region has
// the highest score for a share of the keys in proportion to its weight.
func weightedRendezvousScore(key, region uint64, weight int) float64 {
	uniform := (float64(rendezvousScore(key, region)>>11) + 0.5) / (1 << 53)
	return float64(weight) / -math.Log(uniform)
}
