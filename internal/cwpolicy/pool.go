package cwpolicy

import (
	"math/rand/v2"
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const (
	// maxFullScanEndpoints is the pool size up to which every endpoint is a candidate.
	maxFullScanEndpoints = 12
	// sampledEndpoints is the number of endpoints drawn at random in larger pools.
	sampledEndpoints = 8
	// ringCandidates is the number of endpoints that the prefix hash adds.
	ringCandidates = 2
	// targetMissWeight is the score of missing the target by its own length.
	targetMissWeight = 20
	// scoreJitter is the relative random change of a score, which keeps instances
	// with the same reports from choosing the same endpoint.
	scoreJitter = 0.1
)

// Pool is the set of endpoints of a failure domain that can serve one model or
// one plain service.
type Pool struct {
	endpoints   *IndexedList[string, *Endpoint]
	ring        *HashRing[*Endpoint]
	prefixIndex *PrefixIndex
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{endpoints: NewIndexedList[string, *Endpoint](), prefixIndex: NewPrefixIndex()}
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
func (p *Pool) Choose(d *Requirements, exclude string, now time.Time, rng *rand.Rand) (EndpointChoice, bool) {
	n := p.endpoints.Len()
	if n == 0 {
		return EndpointChoice{}, false
	}
	s := endpointSearch{requirements: d, excludedAddress: exclude, now: now, rng: rng}
	s.knownBlocks = p.prefixIndex.lookup(d.PrefixHashes, &s.entries)
	if n <= maxFullScanEndpoints {
		for _, e := range p.endpoints.Items() {
			s.consider(e)
		}
		return s.best, s.best.Endpoint != nil
	}
	p.considerPrefixCandidates(&s)
	for range sampledEndpoints {
		s.consider(p.endpoints.PickRandom(rng))
	}
	if s.best.Endpoint == nil {
		p.considerAll(&s)
	}
	return s.best, s.best.Endpoint != nil
}

// considerPrefixCandidates tries the endpoints that hold the prefix or would by its hash.
func (p *Pool) considerPrefixCandidates(s *endpointSearch) {
	if len(s.requirements.PrefixHashes) == 0 {
		return
	}
	if s.knownBlocks > 0 {
		for _, h := range s.entries[s.knownBlocks-1].holders {
			if h.endpoint != nil && p.Endpoint(h.endpoint.Address) == h.endpoint {
				s.consider(h.endpoint)
			}
		}
	}
	if p.ring.IsEmpty() {
		p.ring = NewHashRing(p.endpoints.Items(), func(e *Endpoint) string { return e.Address })
	}
	for i := range ringCandidates {
		s.consider(p.ring.Lookup(s.requirements.PrefixHashes[0], i))
	}
}

// considerAll is the fallback when no sampled endpoint was usable.
func (p *Pool) considerAll(s *endpointSearch) {
	for _, e := range p.endpoints.Items() {
		s.consider(e)
	}
}

// OnDispatch records that a request goes to the chosen endpoint.
func (p *Pool) OnDispatch(c EndpointChoice, d *Requirements, now time.Time) {
	c.Endpoint.OnDispatch(c.UncachedTokens, now)
	p.prefixIndex.Record(d.PrefixHashes, c.Endpoint)
}

// Capacity returns the free slots and all slots of the usable endpoints, and their
// lowest predicted time to the first token of a small request.
func (p *Pool) Capacity(now time.Time) PoolCapacity {
	room := PoolCapacity{}
	for _, e := range p.endpoints.Items() {
		if e.IsLoading || e.IsEjected(now) || !e.IsUsable(now, EndpointContactTimeout) {
			continue
		}
		room.Slots += e.Report.Slots
		work := e.EstimateLoad(now)
		room.FreeSlots += e.FreeSlots(work)
		wait := e.SlotWaitSeconds(work) + float64(work.WaitingTokens)*e.SecondsPerToken()
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

// endpointSearch scores candidates for one request and keeps the best.
type endpointSearch struct {
	requirements    *Requirements
	excludedAddress string
	now             time.Time
	rng             *rand.Rand
	entries         [MaxPrefixBlocks]*prefixEntry
	knownBlocks     int
	best            EndpointChoice
	bestScore       float64
}

func (s *endpointSearch) consider(e *Endpoint) {
	if e.IsLoading || e.Address == s.excludedAddress || e == s.best.Endpoint {
		return
	}
	if !e.IsUsable(s.now, EndpointContactTimeout) || !e.IsSelectable(s.now, s.rng) {
		return
	}
	work := e.EstimateLoad(s.now)
	uncached, distance := s.countUncachedTokens(e)
	slotWait := e.SlotWaitSeconds(work)
	perToken := e.SecondsPerToken()
	first := slotWait + perToken*float64(work.WaitingTokens+uncached+overheadTokens)
	busy := float64(work.Requests) / float64(e.Report.Slots)
	cost := perToken * float64(uncached+overheadTokens) * e.Accelerators
	score := computeScore(s.requirements.Weights, first, cost, s.requirements.FirstTokenTarget.Seconds()) + utilizationWeight*busy
	if slotWait > 0 {
		score += noFreeSlotPenalty
	}
	score *= 1 + scoreJitter*s.rng.Float64()
	if s.best.Endpoint != nil && score >= s.bestScore {
		return
	}
	s.bestScore = score
	s.best = EndpointChoice{
		Endpoint:            e,
		PredictedFirstToken: time.Duration(first * float64(time.Second)),
		UncachedTokens:      uncached,
		CachedTokens:        s.requirements.PromptTokens - uncached,
		RequestsSinceCached: distance,
		WaitingTokens:       work.WaitingTokens,
		MeanSlotTime:        time.Duration(e.meanSlotSeconds * float64(time.Second)),
		HasFreeSlot:         slotWait == 0,
	}
}

// noFreeSlotPenalty puts every endpoint with a free slot before those without, since a
// request that waits for a cached prefix keeps all behind it waiting too.
const noFreeSlotPenalty = 100

// utilizationWeight is the score of a full endpoint, which spreads decoding.
const utilizationWeight = 0.1

func (s *endpointSearch) countUncachedTokens(e *Endpoint) (int, uint32) {
	held, distance := 0, uint32(0)
	for held < s.knownBlocks {
		d, ok := s.entries[held].requestsSinceCached(e)
		if !ok {
			break
		}
		distance = max(distance, d)
		held++
	}
	return max(s.requirements.PromptTokens-held*tokensPerBlock, 1), distance
}

// computeScore weighs latency against accelerator seconds, both relative to the target.
func computeScore(w cwservice.Weights, firstSeconds, costSeconds, targetSeconds float64) float64 {
	sum := w.Tail + w.Cost
	if sum <= 0 || targetSeconds <= 0 {
		return firstSeconds
	}
	score := (w.Tail*firstSeconds + w.Cost*costSeconds) / (sum * targetSeconds)
	if over := firstSeconds - targetSeconds; over > 0 {
		score += targetMissWeight * over / targetSeconds
	}
	return score
}
