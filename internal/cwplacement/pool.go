package cwplacement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

const (
	// recomputeCostFactor weighs the time to process shared parts that another endpoint has
	// in its cache: it is work that the service needn't have done.
	recomputeCostFactor = 16
	// affinityDiscount is the part of that cost which falls away at the endpoint that all
	// instances agree on for a shared part.
	affinityDiscount = 0.7
	// restCostFactor weighs the time from the first byte to the last.
	restCostFactor = 0.1
	// deadlineMissCostFactor weighs the time by which an answer would miss its deadline.
	deadlineMissCostFactor = 3.0
	// degradedCostSeconds is added for an endpoint that fails much, in seconds: it is used
	// where nothing else is in reach.
	degradedCostSeconds = 5.0
	// failureRateCostSeconds is added for the share of failures, in seconds.
	failureRateCostSeconds = 0.8
	// otherDomainCostSeconds is added for an endpoint in another domain of the region, in seconds.
	otherDomainCostSeconds = 0.2
	// costJitter spreads the choice between endpoints that are alike.
	costJitter = 0.05
)

// Pool is one service in the region of this instance.
type Pool struct {
	// Service is its configuration.
	Service cwroute.Service
	// Domain is the failure domain of this instance.
	Domain string

	endpoints map[string]*Endpoint
	// sorted holds the same endpoints, for a fast pass over all.
	sorted  []*Endpoint
	relayed map[string]relayedWork
	rng     *rand.Rand
	// weightBuffer is reused by each decision.
	weightBuffer []regionWeight
}

// relayedWork is what this instance relayed to a domain since its latest summary.
type relayedWork struct {
	work      Work
	summaryAt time.Time
}

// NewPool returns a pool without endpoints.
func NewPool(service cwroute.Service, domain string, rng *rand.Rand) *Pool {
	return &Pool{Service: service, Domain: domain, endpoints: make(map[string]*Endpoint), relayed: make(map[string]relayedWork), rng: rng}
}

// Endpoints returns the endpoints by identifier. The caller must not change it.
func (p *Pool) Endpoints() map[string]*Endpoint {
	return p.endpoints
}

// Register takes in an endpoint's entry. Another life under the same identifier
// begins with nothing known.
func (p *Pool) Register(entry cwroute.Endpoint, region string, owned bool, readAt, coldUntil time.Time) *Endpoint {
	e := p.endpoints[entry.ID]
	if e == nil || e.StartedAtMillis != entry.StartedAtMillis || e.Address != entry.Address {
		e = newEndpoint(entry, p.Service, p.meanPromptSpeed())
		p.endpoints[entry.ID] = e
		p.rebuildSorted()
	}
	e.Endpoint, e.Region, e.isColdOwner = entry, region, owned
	e.coldRate, e.engine = p.Service.ColdRate, p.Service.Engine
	e.readAt, e.ColdUntil = readAt, coldUntil
	e.HasStartedDraining = e.HasStartedDraining || entry.IsDraining
	return e
}

// Retain drops the endpoints for which keep is false.
func (p *Pool) Retain(keep func(id string) bool) {
	for id := range p.endpoints {
		if !keep(id) {
			delete(p.endpoints, id)
		}
	}
	p.rebuildSorted()
}

// rebuildSorted orders the endpoints by identifier, so that a choice doesn't depend on the
// order of a map.
func (p *Pool) rebuildSorted() {
	p.sorted = p.sorted[:0]
	for _, e := range p.endpoints {
		p.sorted = append(p.sorted, e)
	}
	slices.SortFunc(p.sorted, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

func (p *Pool) meanPromptSpeed() float64 {
	total, n := 0.0, 0
	for _, e := range p.endpoints {
		total += e.promptSpeed.rate
		n++
	}
	if n == 0 {
		return initialPromptTokensPerSecond
	}
	return total / float64(n)
}

// bestEndpoint returns the endpoint with the lowest cost that was not tried before, or nil.
func (p *Pool) bestEndpoint(d *Requirements, band Band, tried func(id string) bool, now time.Time) (*Endpoint, prediction) {
	var best *Endpoint
	var bestPrediction prediction
	lowest := 0.0
	agreed := p.affinityEndpoint(d, now)
	for _, e := range p.sorted {
		if !e.IsUsable(now) || tried(e.ID) {
			continue
		}
		f := e.predict(d, band, now)
		cost := p.cost(e, f, e == agreed, now)
		if over := f.firstByteSeconds + f.restSeconds - d.ResponseTimeout.Seconds(); d.ResponseTimeout > 0 && over > 0 {
			cost += deadlineMissCostFactor * over
		}
		if best == nil || cost < lowest {
			best, bestPrediction, lowest = e, f, cost
		}
	}
	return best, bestPrediction
}

func (p *Pool) cost(e *Endpoint, f prediction, agreed bool, now time.Time) float64 {
	reread := recomputeCostFactor * float64(f.recomputedTokens) / e.promptSpeed.rate
	if agreed {
		reread *= 1 - affinityDiscount
	}
	cost := f.firstByteSeconds + reread + restCostFactor*f.restSeconds + failureRateCostSeconds*e.worstFailureRate(now)
	if e.isDegraded(now) {
		cost += degradedCostSeconds
	}
	if e.Domain != p.Domain {
		cost += otherDomainCostSeconds
	}
	return cost * (1 + costJitter*p.rng.Float64())
}

// affinityEndpoint returns the usable endpoint that every instance picks for the shared
// parts of the prompt, by rendezvous hashing; nil without shared parts.
func (p *Pool) affinityEndpoint(d *Requirements, now time.Time) *Endpoint {
	key := d.sharedKey()
	if key == 0 {
		return nil
	}
	var best *Endpoint
	highest := uint64(0)
	for _, e := range p.sorted {
		if e.HasStartedDraining || e.IsEvacuated || e.isEjected(now) {
			continue
		}
		if score := rendezvous(key, e.idHash); best == nil || score > highest {
			best, highest = e, score
		}
	}
	return best
}

// rendezvous scores an endpoint for a key. Instances agree on it, since it rests on
// identifiers only.
func rendezvous(key, endpoint uint64) uint64 {
	x := (key ^ endpoint) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Capacity sums up what the pool can take in one failure domain.
func (p *Pool) Capacity(domain string, now time.Time) cwpolicy.PoolCapacity {
	var r cwpolicy.PoolCapacity
	perToken := 0.0
	for _, e := range p.sorted {
		if e.Domain != domain || !e.IsUsable(now) || e.IsCold(now) {
			continue
		}
		wait, share := e.predict(&Requirements{}, Normal, now).waitSeconds, e.worstFailureRate(now)
		if r.Endpoints == 0 || wait < r.WaitSeconds {
			r.WaitSeconds = wait
		}
		if r.Endpoints == 0 || share < r.FailureRate {
			r.FailureRate = share
		}
		r.Endpoints++
		r.Slots += e.slots()
		r.FreeSlots += max(e.slots()-e.totalWork(now).InFlight, 0)
		perToken += 1 / e.promptSpeed.rate
	}
	if r.Endpoints > 0 {
		r.SecondsPerToken = perToken / float64(r.Endpoints)
	}
	return r
}
