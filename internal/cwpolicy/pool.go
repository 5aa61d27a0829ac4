package cwpolicy

import (
	"math/rand/v2"
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const (
	// scanAllBelow is the pool size up to which every endpoint is a candidate.
	scanAllBelow = 12
	// sampleSize is the number of endpoints drawn at random in larger pools.
	sampleSize = 8
	// affinitySize is the number of endpoints that the prefix hash adds.
	affinitySize = 2
	// overrunWeight is the score of missing the target by its own length.
	overrunWeight = 20
	// scoreJitter is the relative random change of a score, which keeps instances
	// with the same reports from choosing the same endpoint.
	scoreJitter = 0.1
)

// Pool is the set of endpoints of a failure domain that can serve one model or
// one plain service.
type Pool struct {
	endpoints *SampleList[string, *Endpoint]
	ring      *HashRing[*Endpoint]
	prefixes  *PrefixView
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{endpoints: NewSampleList[string, *Endpoint](), prefixes: NewPrefixView()}
}

// Add puts an endpoint into the pool.
func (p *Pool) Add(e *Endpoint) {
	p.endpoints.Set(e.Address, e)
	p.ring = nil
}

// Remove takes an endpoint out of the pool.
func (p *Pool) Remove(address string) {
	p.endpoints.Remove(address)
	p.ring = nil
}

// Endpoint returns the endpoint with the address, or nil.
func (p *Pool) Endpoint(address string) *Endpoint {
	e, _ := p.endpoints.Get(address)
	return e
}

// Endpoints returns all endpoints. The caller must not change the slice.
func (p *Pool) Endpoints() []*Endpoint {
	return p.endpoints.Items()
}

// Choose returns the best of a few candidates, or false if none is usable. The
// endpoint with the address in exclude is passed over.
func (p *Pool) Choose(d *Demand, exclude string, now time.Time, rng *rand.Rand) (Choice, bool) {
	n := p.endpoints.Len()
	if n == 0 {
		return Choice{}, false
	}
	s := search{demand: d, exclude: exclude, now: now, rng: rng}
	s.known = p.prefixes.lookup(d.Prefix, &s.entries)
	if n <= scanAllBelow {
		for _, e := range p.endpoints.Items() {
			s.consider(e)
		}
		return s.best, s.best.Endpoint != nil
	}
	p.considerAffine(&s)
	for range sampleSize {
		s.consider(p.endpoints.Pick(rng))
	}
	if s.best.Endpoint == nil {
		p.considerAll(&s)
	}
	return s.best, s.best.Endpoint != nil
}

// considerAffine tries the endpoints that hold the prefix or would by its hash.
func (p *Pool) considerAffine(s *search) {
	if len(s.demand.Prefix) == 0 {
		return
	}
	if s.known > 0 {
		for _, h := range s.entries[s.known-1].holders {
			if h.endpoint != nil && p.Endpoint(h.endpoint.Address) == h.endpoint {
				s.consider(h.endpoint)
			}
		}
	}
	if p.ring.Empty() {
		p.ring = NewHashRing(p.endpoints.Items(), func(e *Endpoint) string { return e.Address })
	}
	for i := range affinitySize {
		s.consider(p.ring.At(s.demand.Prefix[0], i))
	}
}

// considerAll is the fallback when no sampled endpoint was usable.
func (p *Pool) considerAll(s *search) {
	for _, e := range p.endpoints.Items() {
		s.consider(e)
	}
}

// OnDispatch records that a request goes to the chosen endpoint.
func (p *Pool) OnDispatch(c Choice, d *Demand, now time.Time) {
	c.Endpoint.OnDispatch(c.Uncached, now)
	p.prefixes.Record(d.Prefix, c.Endpoint)
}

// Room returns the free slots and all slots of the usable endpoints, and their
// lowest predicted time to the first token of a small request.
func (p *Pool) Room(now time.Time) Room {
	room := Room{}
	for _, e := range p.endpoints.Items() {
		if e.Loading || e.Ejected(now) || !e.Usable(now, EndpointSilence) {
			continue
		}
		room.Slots += e.Report.Slots
		work := e.Work(now)
		room.Free += e.Free(work)
		wait := e.SlotWait(work) + float64(work.Ahead)*e.SecondsPerToken()
		if room.Endpoints == 0 || wait < room.WaitSeconds {
			room.WaitSeconds = wait
		}
		room.SecondsPerToken += e.SecondsPerToken()
		room.Endpoints++
	}
	if room.Endpoints > 0 {
		room.SecondsPerToken /= float64(room.Endpoints)
	}
	return room
}

// search scores candidates for one request and keeps the best.
type search struct {
	demand  *Demand
	exclude string
	now     time.Time
	rng     *rand.Rand
	entries [MaxPrefixBlocks]*prefixEntry
	known   int
	best    Choice
	score   float64
}

func (s *search) consider(e *Endpoint) {
	if e.Loading || e.Address == s.exclude || e == s.best.Endpoint {
		return
	}
	if !e.Usable(s.now, EndpointSilence) || !e.Open(s.now, s.rng) {
		return
	}
	work := e.Work(s.now)
	uncached, distance := s.uncached(e)
	slotWait := e.SlotWait(work)
	perToken := e.SecondsPerToken()
	first := slotWait + perToken*float64(work.Ahead+uncached+overheadTokens)
	busy := float64(work.Occupied) / float64(e.Report.Slots)
	cost := perToken * float64(uncached+overheadTokens) * e.Accelerators
	score := scoreOf(s.demand.Weights, first, cost, s.demand.Target.Seconds()) + busyWeight*busy
	if slotWait > 0 {
		score += fullPenalty
	}
	score *= 1 + scoreJitter*s.rng.Float64()
	if s.best.Endpoint != nil && score >= s.score {
		return
	}
	s.score = score
	s.best = Choice{
		Endpoint:   e,
		FirstToken: time.Duration(first * float64(time.Second)),
		Uncached:   uncached,
		Cached:     s.demand.Tokens - uncached,
		Distance:   distance,
		Ahead:      work.Ahead,
		Hold:       time.Duration(e.holdSeconds * float64(time.Second)),
		Free:       slotWait == 0,
	}
}

// fullPenalty puts every endpoint with a free slot before those without, since a
// request that waits for a cached prefix keeps all behind it waiting too.
const fullPenalty = 100

// busyWeight is the score of a full endpoint, which spreads decoding.
const busyWeight = 0.1

func (s *search) uncached(e *Endpoint) (int, uint32) {
	held, distance := 0, uint32(0)
	for held < s.known {
		d, ok := s.entries[held].heldBy(e)
		if !ok {
			break
		}
		distance = max(distance, d)
		held++
	}
	return max(s.demand.Tokens-held*blockTokens, 1), distance
}

// scoreOf weighs latency against accelerator seconds, both relative to the target.
func scoreOf(w cwservice.Weights, firstSeconds, costSeconds, targetSeconds float64) float64 {
	sum := w.Tail + w.Cost
	if sum <= 0 || targetSeconds <= 0 {
		return firstSeconds
	}
	score := (w.Tail*firstSeconds + w.Cost*costSeconds) / (sum * targetSeconds)
	if over := firstSeconds - targetSeconds; over > 0 {
		score += overrunWeight * over / targetSeconds
	}
	return score
}
