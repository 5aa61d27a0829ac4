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
	// rereadCost weighs the time to process shared parts that another endpoint has
	// in its cache: it is work that the service needn't have done.
	rereadCost = 16
	// affinity is the part of that cost which falls away at the endpoint that all
	// instances agree on for a shared part.
	affinity = 0.7
	// restCost weighs the time from the first byte to the last.
	restCost = 0.1
	// overCost weighs the time by which an answer would miss its deadline.
	overCost = 3.0
	// greyCost is added for an endpoint that fails much, in seconds: it is used
	// where nothing else is in reach.
	greyCost = 5.0
	// failureCost is added for the share of failures, in seconds.
	failureCost = 0.8
	// farCost is added for an endpoint in another domain of the region, in seconds.
	farCost = 0.2
	// jitter spreads the choice between endpoints that are alike.
	jitter = 0.05
)

// Pool is one service in the region of this instance.
type Pool struct {
	// Service is its configuration.
	Service cwroute.Service
	// Domain is the failure domain of this instance.
	Domain string

	endpoints map[string]*Endpoint
	// list holds the same endpoints, for a fast pass over all.
	list []*Endpoint
	sent map[string]sentWork
	rng  *rand.Rand
	// weights is reused by each decision.
	weights []regionWeight
}

// sentWork is what this instance relayed to a domain since its latest summary.
type sentWork struct {
	work Work
	at   time.Time
}

// NewPool returns a pool without endpoints.
func NewPool(service cwroute.Service, domain string, rng *rand.Rand) *Pool {
	return &Pool{Service: service, Domain: domain, endpoints: make(map[string]*Endpoint), sent: make(map[string]sentWork), rng: rng}
}

// Endpoints returns the endpoints by identifier. The caller must not change it.
func (p *Pool) Endpoints() map[string]*Endpoint {
	return p.endpoints
}

// Register takes in an endpoint's entry. Another life under the same identifier
// begins with nothing known.
func (p *Pool) Register(entry cwroute.Endpoint, region string, owned bool, readAt, coldUntil time.Time) *Endpoint {
	e := p.endpoints[entry.ID]
	if e == nil || e.Born != entry.Born || e.Address != entry.Address {
		e = newEndpoint(entry, p.Service, p.meanSpeed())
		p.endpoints[entry.ID] = e
		p.relist()
	}
	e.Endpoint, e.Region, e.owned = entry, region, owned
	e.coldRate, e.engine = p.Service.ColdRate, p.Service.Engine
	e.readAt, e.ColdUntil = readAt, coldUntil
	e.Drains = e.Drains || entry.Draining
	return e
}

// Retain drops the endpoints for which keep is false.
func (p *Pool) Retain(keep func(id string) bool) {
	for id := range p.endpoints {
		if !keep(id) {
			delete(p.endpoints, id)
		}
	}
	p.relist()
}

// relist orders the endpoints by identifier, so that a choice doesn't depend on the
// order of a map.
func (p *Pool) relist() {
	p.list = p.list[:0]
	for _, e := range p.endpoints {
		p.list = append(p.list, e)
	}
	slices.SortFunc(p.list, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

func (p *Pool) meanSpeed() float64 {
	total, n := 0.0, 0
	for _, e := range p.endpoints {
		total += e.speed.rate
		n++
	}
	if n == 0 {
		return startSpeed
	}
	return total / float64(n)
}

// best returns the endpoint with the lowest cost that was not tried before, or nil.
func (p *Pool) best(d *Demand, band Band, tried func(id string) bool, now time.Time) (*Endpoint, prediction) {
	var best *Endpoint
	var bestPrediction prediction
	lowest := 0.0
	agreed := p.agreed(d, now)
	for _, e := range p.list {
		if !e.Usable(now) || tried(e.ID) {
			continue
		}
		f := e.predict(d, band, now)
		cost := p.cost(e, f, e == agreed, now)
		if over := f.first + f.rest - d.Whole.Seconds(); d.Whole > 0 && over > 0 {
			cost += overCost * over
		}
		if best == nil || cost < lowest {
			best, bestPrediction, lowest = e, f, cost
		}
	}
	return best, bestPrediction
}

func (p *Pool) cost(e *Endpoint, f prediction, agreed bool, now time.Time) float64 {
	reread := rereadCost * float64(f.reread) / e.speed.rate
	if agreed {
		reread *= 1 - affinity
	}
	cost := f.first + reread + restCost*f.rest + failureCost*e.failing(now)
	if e.isGrey(now) {
		cost += greyCost
	}
	if e.Domain != p.Domain {
		cost += farCost
	}
	return cost * (1 + jitter*p.rng.Float64())
}

// agreed returns the usable endpoint that every instance picks for the shared
// parts of the prompt, by rendezvous hashing; nil without shared parts.
func (p *Pool) agreed(d *Demand, now time.Time) *Endpoint {
	key := d.sharedKey()
	if key == 0 {
		return nil
	}
	var best *Endpoint
	highest := uint64(0)
	for _, e := range p.list {
		if e.Drains || e.Evacuated || e.out(now) {
			continue
		}
		if score := rendezvous(key, e.hash); best == nil || score > highest {
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

// Room sums up what the pool can take in one failure domain.
func (p *Pool) Room(domain string, now time.Time) cwpolicy.Room {
	var r cwpolicy.Room
	perToken := 0.0
	for _, e := range p.list {
		if e.Domain != domain || !e.Usable(now) || e.IsCold(now) {
			continue
		}
		wait, share := e.predict(&Demand{}, Normal, now).wait, e.failing(now)
		if r.Endpoints == 0 || wait < r.WaitSeconds {
			r.WaitSeconds = wait
		}
		if r.Endpoints == 0 || share < r.Failures {
			r.Failures = share
		}
		r.Endpoints++
		r.Slots += e.slots()
		r.Free += max(e.slots()-e.work(now).InFlight, 0)
		perToken += 1 / e.speed.rate
	}
	if r.Endpoints > 0 {
		r.SecondsPerToken = perToken / float64(r.Endpoints)
	}
	return r
}
