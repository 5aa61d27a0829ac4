package cwpolicy

import (
	"time"
)

const (
	// EndpointContactTimeout is how long after its last response an endpoint stays
	// usable once contact has failed.
	EndpointContactTimeout = 2 * time.Second
	// defaultSecondsPerToken is used until a speed has been observed.
	defaultSecondsPerToken = 1.0 / 4000
	// overheadTokens is the fixed cost of a request, expressed in prompt tokens.
	overheadTokens = 32
	defaultSlots   = 32
	// tokenTimeGain and slotTimeGain are the weights of the latest sample in the moving
	// averages of the time per token and per slot.
	tokenTimeGain      = 0.15
	slotTimeGain       = 0.1
	defaultSlotSeconds = 1.0
	// initialCacheRetentionRequests is the initial estimate of the number of requests
	// for which an endpoint keeps a prefix in its cache.
	initialCacheRetentionRequests = 64
	// cacheRetentionGrowthPerDispatch is added to the estimate at each dispatch, so that
	// it rises again after misses.
	cacheRetentionGrowthPerDispatch = 0.05
	// cacheRetentionGain is the weight of the latest sample in the estimate.
	cacheRetentionGain = 0.2
	// cacheRetentionRaiseRatio is the fraction of the estimate beyond which a cache hit
	// raises it.
	cacheRetentionRaiseRatio = 0.8
)

// Endpoint is this instance's view of one back end.
type Endpoint struct {
	Liveness
	Ejection
	// Address is the host and port.
	Address string
	// Accelerators is the number of accelerators behind the endpoint.
	Accelerators float64
	// IsLoading is set while the endpoint loads a model, or has loaded only models of
	// other pools.
	IsLoading bool
	// Report is the latest load report.
	Report LoadReport

	secondsPerToken        float64
	meanSlotSeconds        float64
	inFlight               int
	ownWaitingTokens       int
	ownLoad                ownLoadHistory
	peerLoad               peerLoad
	cacheEpoch             uint32
	dispatchCount          uint32
	cacheRetentionRequests float64
	// latestAnsweredStart is the latest start time of a request that got a first token.
	latestAnsweredStart time.Time
}

// peerLoad is the load that other instances put on an endpoint: according to the
// latest report, and averaged over the reports.
type peerLoad struct {
	waitingTokens, runningRequests         float64
	meanWaitingTokens, meanRunningRequests float64
}

const (
	// waitingTokensDecaySeconds is the age at which the waiting tokens of a report
	// weigh half.
	waitingTokensDecaySeconds = 0.3
	// peerLoadGain is the weight of the latest report in the average of the peer load.
	peerLoadGain = 0.1
)

// NewEndpoint returns an endpoint with default estimates.
func NewEndpoint(address string, now time.Time) *Endpoint {
	e := &Endpoint{Address: address, Accelerators: 1, meanSlotSeconds: defaultSlotSeconds, cacheRetentionRequests: initialCacheRetentionRequests}
	e.Report.Slots = defaultSlots
	e.LastContactAt = now
	return e
}

// InFlight returns the number of this instance's requests at the endpoint.
func (e *Endpoint) InFlight() int {
	return e.inFlight
}

// SecondsPerToken returns the estimated processing time per prompt token.
func (e *Endpoint) SecondsPerToken() float64 {
	if e.secondsPerToken == 0 {
		return defaultSecondsPerToken
	}
	return e.secondsPerToken
}

// OnReport applies a load report, unless it is older than the current one.
func (e *Endpoint) OnReport(r LoadReport) {
	if r.ReportedAt.Before(e.Report.ReportedAt) {
		return
	}
	if r.Slots <= 0 {
		r.Slots = e.Report.Slots
	}
	e.Report = r
	own := e.ownLoad.at(r.ReportedAt)
	peers := &e.peerLoad
	peers.waitingTokens = float64(max(r.WaitingTokens-own.waitingTokens, 0))
	peers.runningRequests = float64(max(r.RunningRequests+r.WaitingRequests-own.inFlight, 0))
	peers.meanWaitingTokens += peerLoadGain * (peers.waitingTokens - peers.meanWaitingTokens)
	peers.meanRunningRequests += peerLoadGain * (peers.runningRequests - peers.meanRunningRequests)
}

// OnRestart resets the state that belongs to the previous incarnation at the
// address.
func (e *Endpoint) OnRestart() {
	e.Report = LoadReport{Slots: e.Report.Slots, ReportedAt: e.Report.ReportedAt}
	e.peerLoad = peerLoad{}
	e.Ejection = Ejection{}
	e.InvalidateCachedPrefixes()
}

// InvalidateCachedPrefixes discards what is recorded about the endpoint's prefix
// cache.
func (e *Endpoint) InvalidateCachedPrefixes() {
	e.cacheEpoch++
}

// OnDispatch counts a sent request and its uncached prompt tokens immediately,
// before a load report includes them.
func (e *Endpoint) OnDispatch(uncachedTokens int, now time.Time) {
	e.inFlight++
	e.ownWaitingTokens += uncachedTokens
	e.dispatchCount++
	e.cacheRetentionRequests += cacheRetentionGrowthPerDispatch
	e.ownLoad.record(now, e.ownWaitingTokens, e.inFlight)
}

// HasAnsweredRequestAfter reports whether the endpoint has responded to a request
// that started after the given time. If so, a request without a response that started
// by then is probably waiting on a stalled connection, not on a slow endpoint.
func (e *Endpoint) HasAnsweredRequestAfter(start time.Time) bool {
	return e.latestAnsweredStart.After(start)
}

// OnFirstToken updates the speed and the cache retention of the endpoint from the
// measured time to the first token.
func (e *Endpoint) OnFirstToken(c *EndpointChoice, duration time.Duration, now time.Time) {
	if start := now.Add(-duration); start.After(e.latestAnsweredStart) {
		e.latestAnsweredStart = start
	}
	e.ownWaitingTokens -= c.UncachedTokens
	e.ownLoad.record(now, e.ownWaitingTokens, e.inFlight)
	tokens := c.UncachedTokens + c.WaitingTokens + overheadTokens
	if c.CachedTokens > 0 && e.updateCacheRetention(c, duration, tokens) {
		tokens += c.CachedTokens
	}
	sample := duration.Seconds() / float64(tokens)
	if e.secondsPerToken == 0 {
		e.secondsPerToken = sample
		return
	}
	e.secondsPerToken += tokenTimeGain * (sample - e.secondsPerToken)
}

// updateCacheRetention adjusts the estimate of the number of requests after which
// a prefix is evicted from the cache. It returns true if the time to the first token
// indicates that the prefix of this request had been evicted.
func (e *Endpoint) updateCacheRetention(c *EndpointChoice, duration time.Duration, tokens int) bool {
	requestsSince := float64(c.RequestsSinceCached)
	isMiss := duration.Seconds() > e.SecondsPerToken()*(float64(tokens)+float64(c.CachedTokens)/2)
	if isMiss && requestsSince < e.cacheRetentionRequests {
		e.cacheRetentionRequests += cacheRetentionGain * (requestsSince - e.cacheRetentionRequests)
	}
	if !isMiss && requestsSince > cacheRetentionRaiseRatio*e.cacheRetentionRequests {
		e.cacheRetentionRequests += cacheRetentionGain * (requestsSince/cacheRetentionRaiseRatio - e.cacheRetentionRequests)
	}
	return isMiss
}

// OnEnd counts a request as finished. The unprocessed tokens are the uncached ones of
// a request that produced no first token, else 0. The duration is the time that the
// request occupied a slot; it is ignored if there are unprocessed tokens.
func (e *Endpoint) OnEnd(unprocessedTokens int, duration time.Duration, now time.Time) {
	e.inFlight--
	e.ownWaitingTokens -= unprocessedTokens
	e.ownLoad.record(now, e.ownWaitingTokens, e.inFlight)
	if unprocessedTokens == 0 {
		e.meanSlotSeconds += slotTimeGain * (duration.Seconds() - e.meanSlotSeconds)
	}
}

// EstimatedLoad is the estimated outstanding work of an endpoint.
type EstimatedLoad struct {
	// WaitingTokens is the number of prompt tokens not yet processed.
	WaitingTokens int
	// Requests is the number of requests that occupy or wait for a slot.
	Requests int
}

// EstimateLoad estimates the outstanding work at the endpoint. The part sent by
// this instance is known exactly. For the part of other instances, the weight
// moves from the latest report to the average as the report ages.
func (e *Endpoint) EstimateLoad(now time.Time) EstimatedLoad {
	age := now.Sub(e.Report.ReportedAt).Seconds()
	weight, peers := decayWeight(age, waitingTokensDecaySeconds), &e.peerLoad
	waiting := weight*peers.waitingTokens + (1-weight)*peers.meanWaitingTokens
	weight = decayWeight(age, e.meanSlotSeconds)
	running := weight*peers.runningRequests + (1-weight)*peers.meanRunningRequests
	return EstimatedLoad{WaitingTokens: e.ownWaitingTokens + int(waiting), Requests: e.inFlight + int(running+0.5)}
}

// decayWeight returns the weight of an observation of the given age, falling
// from 1 to 0; it is 0.5 at halfSeconds.
func decayWeight(ageSeconds, halfSeconds float64) float64 {
	x := ageSeconds / halfSeconds
	// A rational function is accurate enough here and cheaper than an exponential one.
	return 1 / (1 + x*x)
}

// SlotWaitSeconds estimates the time in seconds until a slot is free.
func (e *Endpoint) SlotWaitSeconds(load EstimatedLoad) float64 {
	excess := load.Requests - e.Report.Slots + 1
	if excess <= 0 {
		return 0
	}
	return float64(excess) * e.meanSlotSeconds / float64(e.Report.Slots)
}

// FreeSlots returns the estimated number of free slots.
func (e *Endpoint) FreeSlots(load EstimatedLoad) int {
	return max(0, e.Report.Slots-load.Requests)
}
