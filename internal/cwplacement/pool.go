// Package cwplacement decides whether routed requests are sent to an endpoint of this
// region, relayed to another region or refused. It does no I/O and reads no clock.
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
	// recomputeCostFactor weights the time to process shared parts that another endpoint
	// has in its cache: this work is avoidable for the service as a whole.
	recomputeCostFactor = 16
	// affinityDiscount is the share of the recompute cost that does not apply to the
	// affinity endpoint of a shared part, on which all instances agree.
	affinityDiscount = 0.7
	// restCostFactor weights the time from the first byte to the last.
	restCostFactor = 0.1
	// deadlineMissCostFactor weights the time by which a response would miss its deadline.
	deadlineMissCostFactor = 3.0
	// degradedCostSeconds is added for a degraded endpoint, so that it is used only if
	// the others are far busier or can't be used.
	degradedCostSeconds = 5.0
	// failureRateCostSeconds is the cost of a failure rate of 1; lower rates cost in
	// proportion.
	failureRateCostSeconds = 0.8
	// otherDomainCostSeconds is added for an endpoint in another domain of the region.
	otherDomainCostSeconds = 0.2
	// costJitter is the largest share of the cost that is added at random, to spread
	// requests over endpoints of similar cost.
	costJitter = 0.05
)

// Pool holds the endpoints of one service in the region of this instance.
type Pool struct {
	// Service is the configuration of the service.
	Service cwroute.Service
	// Domain is the failure domain of this instance.
	Domain string

	endpoints map[string]*Endpoint
	// sorted holds the same endpoints ordered by identifier.
	sorted []*Endpoint
	// relayed is the work relayed to other domains, by domain.
	relayed    map[string]relayedWork
	rng        *rand.Rand
	statements statementStore
	// arrivals is the rate of requests to be placed at this instance.
	arrivals cwpolicy.ArrivalRate
	// mix is what the requests of the service are like.
	mix engineMix
	// unloadedSpeed is that of the endpoints.
	unloadedSpeed unloadedSpeed
	// limitedReturnAt is the time for which the latest caller was told to return that was
	// refused because of rate limits.
	limitedReturnAt time.Time
	// brittleUntil is the time until which the service counts as brittle, and brittleAt when an
	// answer last said so.
	brittleUntil, brittleAt time.Time
	// queueRejectedAt is when a brittle endpoint last turned a request away.
	queueRejectedAt time.Time
	// weightBuffer is reused by each decision to avoid allocations.
	weightBuffer []regionWeight
}

// relayedWork is the work that this instance relayed to a domain since the domain's
// latest capacity summary.
type relayedWork struct {
	work      Work
	summaryAt time.Time
}

// NewPool returns a pool without endpoints.
func NewPool(service cwroute.Service, domain string, rng *rand.Rand) *Pool {
	return &Pool{Service: service, Domain: domain, endpoints: make(map[string]*Endpoint), relayed: make(map[string]relayedWork), statements: make(statementStore), rng: rng}
}

// Endpoints returns the endpoints by identifier. The caller must not change the map.
func (p *Pool) Endpoints() map[string]*Endpoint {
	return p.endpoints
}

// Endpoint returns the endpoint with the identifier, nil if there is none or the pool is
// nil.
func (p *Pool) Endpoint(id string) *Endpoint {
	if p == nil {
		return nil
	}
	return p.endpoints[id]
}

// Register adds or updates an endpoint from its entry, which was read at readAt. A new
// incarnation or address under the same identifier starts without measurements, and a new
// incarnation without statements.
func (p *Pool) Register(entry cwroute.Endpoint, region string, isColdOwner bool, readAt, coldUntil time.Time) *Endpoint {
	e := p.endpoints[entry.ID]
	if e == nil || e.StartedAtMillis != entry.StartedAtMillis || e.Address != entry.Address {
		if e != nil {
			p.statements.unlist(&e.Endpoint)
			if entry.StartedAtMillis == 0 {
				// Only the address tells this life from the one before.
				delete(p.statements, lifeOf(&e.Endpoint))
			}
		}
		e = newEndpoint(entry, p.Service, &p.mix, p.meanPromptSpeed())
		e.statements = p.statements.list(&entry, readAt)
		p.endpoints[entry.ID] = e
		p.rebuildSorted()
	}
	e.Endpoint, e.Region, e.isColdOwner = entry, region, isColdOwner
	e.setService(p.Service)
	e.readAt, e.ColdUntil = readAt, coldUntil
	e.isEntryDraining = e.isEntryDraining || entry.IsDraining
	return e
}

// Retain drops the endpoints for which keep returns false.
func (p *Pool) Retain(keep func(id string) bool) {
	for id, e := range p.endpoints {
		if !keep(id) {
			p.statements.unlist(&e.Endpoint)
			delete(p.endpoints, id)
		}
	}
	p.rebuildSorted()
}

// rebuildSorted orders the endpoints by identifier, so that decisions don't depend on
// the iteration order of a map.
func (p *Pool) rebuildSorted() {
	p.sorted = p.sorted[:0]
	for _, e := range p.endpoints {
		p.sorted = append(p.sorted, e)
	}
	slices.SortFunc(p.sorted, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// meanPromptSpeed returns the mean speed of the endpoints in prompt tokens per second, or
// initialPromptTokensPerSecond if there are none.
func (p *Pool) meanPromptSpeed() float64 {
	if len(p.sorted) == 0 {
		return initialPromptTokensPerSecond
	}
	total := 0.0
	for _, e := range p.sorted {
		total += e.promptSpeed.rate
	}
	return total / float64(len(p.sorted))
}

// bestEndpoint returns the usable endpoint with the lowest cost that was not tried
// before, or nil, with the prediction for it.
func (p *Pool) bestEndpoint(rs *Requirements, band Band, wasTried func(id string) bool, now time.Time) (*Endpoint, prediction) {
	var best *Endpoint
	var bestPrediction prediction
	lowest := 0.0
	affinity := p.affinityEndpoint(rs, now)
	for _, e := range p.sorted {
		if !e.IsUsable(now) || wasTried(e.ID) || !p.hasRoom(e, now) {
			continue
		}
		expected := e.predict(rs, band, now)
		cost := p.requestCost(e, rs, expected, e == affinity, now)
		if best == nil || cost < lowest {
			best, bestPrediction, lowest = e, expected, cost
		}
	}
	return best, bestPrediction
}

// requestCost returns the cost of a request at an endpoint, with that of pauses and of a missed
// deadline, in weighted seconds.
func (p *Pool) requestCost(e *Endpoint, rs *Requirements, expected prediction, isAffinity bool, now time.Time) float64 {
	cost := p.cost(e, expected, isAffinity, now) + e.paceCost(rs, expected, now) + recomputeCostFactor*expected.shortageTokens/e.promptSpeed.rate
	if excess := expected.firstByteSeconds + expected.restSeconds - rs.ResponseTimeout.Seconds(); rs.ResponseTimeout > 0 && excess > 0 {
		cost += deadlineMissCostFactor * excess
	}
	return cost
}

// cost returns the cost of a request at an endpoint as such, in weighted seconds.
func (p *Pool) cost(e *Endpoint, expected prediction, isAffinity bool, now time.Time) float64 {
	recompute := recomputeCostFactor * float64(expected.recomputedTokens) / e.promptSpeed.rate
	if isAffinity {
		recompute *= 1 - affinityDiscount
	}
	failureRate := e.worstFailureRate(now)
	cost := expected.firstByteSeconds + recompute + restCostFactor*expected.restSeconds + failureRateCostSeconds*failureRate
	if failureRate > degradedFailureRate {
		cost += degradedCostSeconds
	}
	if e.Domain != p.Domain {
		cost += otherDomainCostSeconds
	}
	return cost * (1 + costJitter*p.rng.Float64())
}

// affinityEndpoint returns the endpoint in use that every instance picks for the shared
// parts of the prompt, by rendezvous hashing; nil without shared parts. Endpoints that
// name a rate limit are omitted: few of the prompts would get there.
func (p *Pool) affinityEndpoint(rs *Requirements, now time.Time) *Endpoint {
	key := rs.sharedKey()
	if key == 0 {
		return nil
	}
	var best *Endpoint
	highest := uint64(0)
	for _, e := range p.sorted {
		if e.HasStartedDraining() || e.IsEvacuated || e.isEjected(now) || e.limit.IsNamed {
			continue
		}
		if score := rendezvousScore(key, e.idHash); best == nil || score > highest {
			best, highest = e, score
		}
	}
	return best
}

// rendezvousScore returns the score for a key of an endpoint or a region, given by the
// hash of its identifier. All instances get the same score, since it depends on nothing
// else.
func rendezvousScore(key, idHash uint64) uint64 {
	x := (key ^ idHash) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Capacity returns a summary of the free capacity of the pool in one failure domain,
// without cold endpoints and those that name a rate limit. Endpoints that are silent for no
// longer than sound ones may be have no free slots but count: requests wait for their return.
func (p *Pool) Capacity(domain string, now time.Time) cwpolicy.PoolCapacity {
	var c cwpolicy.PoolCapacity
	secondsPerToken := 0.0
	for _, e := range p.sorted {
		isSilent := e.isReturnExpected(now)
		if e.Domain != domain || !isSilent && !e.IsUsable(now) || e.IsCold(now) || e.limit.IsNamed {
			continue
		}
		wait, failureRate := e.predict(&Requirements{}, Normal, now).waitSeconds, e.worstFailureRate(now)
		if isSilent {
			wait += e.expectedSilenceLeft(now).Seconds()
		}
		if c.Endpoints == 0 || wait < c.WaitSeconds {
			c.WaitSeconds = wait
		}
		if c.Endpoints == 0 || failureRate < c.FailureRate {
			c.FailureRate = failureRate
		}
		c.Endpoints++
		c.Slots += e.slots()
		if !isSilent {
			c.FreeSlots += max(e.slots()-e.totalWork(now).InFlight, 0)
		}
		secondsPerToken += 1 / e.promptSpeed.rate
	}
	if c.Endpoints > 0 {
		c.SecondsPerToken = secondsPerToken / float64(c.Endpoints)
	}
	return c
}
