package cwpolicy

import (
	"math/rand/v2"
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const (
	// maxFullScanEndpoints is the pool size up to which all endpoints are candidates.
	maxFullScanEndpoints = 12
	// sampledEndpoints is the number of endpoints drawn at random in larger pools.
	sampledEndpoints = 8
	// ringCandidates is the number of candidates taken from the hash ring.
	ringCandidates = 2
	// targetMissWeight is the score added for exceeding the target by 100 %.
	targetMissWeight = 20
	// scoreJitter is the highest relative random increase of a score. It prevents
	// instances with the same reports from all choosing the same endpoint or domain.
	scoreJitter = 0.1
)

// Pool is the set of endpoints in a failure domain that serve one model or one
// plain service.
type Pool struct {
	endpoints   *IndexedList[string, *Endpoint]
	ring        *HashRing[*Endpoint]
	prefixIndex *PrefixIndex
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{endpoints: NewIndexedList[string, *Endpoint](), prefixIndex: NewPrefixIndex()}
}

// Add adds an endpoint, or replaces the one with the same address.
func (p *Pool) Add(e *Endpoint) {
	p.endpoints.Set(e.Address, e)
	p.ring = nil
}

// Remove removes the endpoint with the address, if there is one.
func (p *Pool) Remove(address string) {
	p.endpoints.Remove(address)
	p.ring = nil
}

// Endpoint returns the endpoint with the address, or nil.
func (p *Pool) Endpoint(address string) *Endpoint {
	e, _ := p.endpoints.Get(address)
	return e
}

// Endpoints returns all endpoints. The caller must not modify the slice.
func (p *Pool) Endpoints() []*Endpoint {
	return p.endpoints.Items()
}

// Choose returns the candidate with the best score, or false if no endpoint can be
// selected. In large pools the candidates are a sample of the endpoints. The endpoint
// with the excluded address is skipped.
func (p *Pool) Choose(requirements *Requirements, excludedAddress string, now time.Time, rng *rand.Rand) (EndpointChoice, bool) {
	n := p.endpoints.Len()
	if n == 0 {
		return EndpointChoice{}, false
	}
	s := endpointSearch{requirements: requirements, excludedAddress: excludedAddress, now: now, rng: rng}
	s.knownBlocks = p.prefixIndex.lookup(requirements.PrefixHashes, &s.entries)
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

// considerPrefixCandidates scores the endpoints to which the longest known prefix was
// last sent and those to which the hash ring assigns the prefix.
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

// considerAll scores all endpoints. It is used if no candidate can be selected.
func (p *Pool) considerAll(s *endpointSearch) {
	for _, e := range p.endpoints.Items() {
		s.consider(e)
	}
}

// OnDispatch records that a request is sent to the chosen endpoint.
func (p *Pool) OnDispatch(choice EndpointChoice, requirements *Requirements, now time.Time) {
	choice.Endpoint.OnDispatch(choice.UncachedTokens, now)
	p.prefixIndex.Record(requirements.PrefixHashes, choice.Endpoint)
}

// Capacity returns the capacity of the usable endpoints. Its wait is the lowest
// wait at any of them.
func (p *Pool) Capacity(now time.Time) PoolCapacity {
	capacity := PoolCapacity{}
	for _, e := range p.endpoints.Items() {
		if e.IsLoading || e.IsEjected(now) || !e.IsUsable(now, EndpointContactTimeout) {
			continue
		}
		capacity.Slots += e.Report.Slots
		load := e.EstimateLoad(now)
		capacity.FreeSlots += e.FreeSlots(load)
		waitSeconds := e.SlotWaitSeconds(load) + float64(load.WaitingTokens)*e.SecondsPerToken()
		if capacity.Endpoints == 0 || waitSeconds < capacity.WaitSeconds {
			capacity.WaitSeconds = waitSeconds
		}
		capacity.SecondsPerToken += e.SecondsPerToken()
		capacity.Endpoints++
	}
	if capacity.Endpoints > 0 {
		capacity.SecondsPerToken /= float64(capacity.Endpoints)
	}
	return capacity
}

// endpointSearch scores candidates for a request and keeps the one with the lowest
// score.
type endpointSearch struct {
	requirements    *Requirements
	excludedAddress string
	now             time.Time
	rng             *rand.Rand
	// entries are those of the leading blocks of the prompt, of which the first
	// knownBlocks are in the prefix index.
	entries     [MaxPrefixBlocks]*prefixEntry
	knownBlocks int
	best        EndpointChoice
	bestScore   float64
}

func (s *endpointSearch) consider(e *Endpoint) {
	if e.IsLoading || e.Address == s.excludedAddress || e == s.best.Endpoint {
		return
	}
	if !e.IsUsable(s.now, EndpointContactTimeout) || !e.IsSelectable(s.now, s.rng) {
		return
	}
	load := e.EstimateLoad(s.now)
	uncached, requestsSince := s.countUncachedTokens(e)
	slotWaitSeconds := e.SlotWaitSeconds(load)
	secondsPerToken := e.SecondsPerToken()
	firstSeconds := slotWaitSeconds + secondsPerToken*float64(load.WaitingTokens+uncached+overheadTokens)
	utilization := float64(load.Requests) / float64(e.Report.Slots)
	costSeconds := secondsPerToken * float64(uncached+overheadTokens) * e.Accelerators
	score := computeScore(s.requirements.Weights, firstSeconds, costSeconds, s.requirements.FirstTokenTarget.Seconds()) + utilizationWeight*utilization
	if slotWaitSeconds > 0 {
		score += noFreeSlotPenalty
	}
	score *= 1 + scoreJitter*s.rng.Float64()
	if s.best.Endpoint != nil && score >= s.bestScore {
		return
	}
	s.bestScore = score
	s.best = EndpointChoice{
		Endpoint:            e,
		PredictedFirstToken: time.Duration(firstSeconds * float64(time.Second)),
		UncachedTokens:      uncached,
		CachedTokens:        s.requirements.PromptTokens - uncached,
		RequestsSinceCached: requestsSince,
		WaitingTokens:       load.WaitingTokens,
		MeanSlotTime:        time.Duration(e.meanSlotSeconds * float64(time.Second)),
		HasFreeSlot:         slotWaitSeconds == 0,
	}
}

// noFreeSlotPenalty is the score added for an endpoint without a free slot. It
// outweighs a cached prefix, because a request that waits for the endpoint that has
// its prefix also delays all requests queued behind it.
const noFreeSlotPenalty = 100

// utilizationWeight is the score added for a fully utilized endpoint. It spreads
// decoding over the endpoints.
const utilizationWeight = 0.1

// countUncachedTokens returns the number of prompt tokens that are not expected in the
// endpoint's cache, at least 1, and how many requests ago the least recent cached block
// was sent.
func (s *endpointSearch) countUncachedTokens(e *Endpoint) (int, uint32) {
	cachedBlocks, requestsSince := 0, uint32(0)
	for cachedBlocks < s.knownBlocks {
		n, isCached := s.entries[cachedBlocks].requestsSinceCached(e)
		if !isCached {
			break
		}
		requestsSince = max(requestsSince, n)
		cachedBlocks++
	}
	return max(s.requirements.PromptTokens-cachedBlocks*tokensPerBlock, 1), requestsSince
}

// computeScore returns the weighted mean of latency and accelerator seconds, both
// relative to the target, plus the penalty for exceeding the target. Without weights or
// a target it returns the latency in seconds. A lower score is better.
func computeScore(weights cwservice.Weights, firstSeconds, costSeconds, targetSeconds float64) float64 {
	sum := weights.Tail + weights.Cost
	if sum <= 0 || targetSeconds <= 0 {
		return firstSeconds
	}
	score := (weights.Tail*firstSeconds + weights.Cost*costSeconds) / (sum * targetSeconds)
	if excess := firstSeconds - targetSeconds; excess > 0 {
		score += targetMissWeight * excess / targetSeconds
	}
	return score
}
