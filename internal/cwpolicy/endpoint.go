package cwpolicy

import (
	"time"
)

const (
	// EndpointContactTimeout is how long an endpoint stays in choice after contact failed.
	EndpointContactTimeout = 2 * time.Second
	// defaultSecondsPerToken stands in until a speed was observed.
	defaultSecondsPerToken = 1.0 / 4000
	// overheadTokens is the fixed work of a request, counted in prompt tokens.
	overheadTokens     = 32
	defaultSlots       = 32
	tokenTimeGain      = 0.15
	slotTimeGain       = 0.1
	defaultSlotSeconds = 1.0
	// initialCacheRetentionRequests is the number of requests for which a prefix is taken to stay in
	// the cache until something else is learnt; reachGrowth lets it rise again.
	initialCacheRetentionRequests   = 64
	cacheRetentionGrowthPerDispatch = 0.05
	cacheRetentionGain              = 0.2
	// cacheRetentionEdge is the part of the reach beyond which a hit widens it.
	cacheRetentionEdge = 0.8
)

// Endpoint is one back end as this instance sees it.
type Endpoint struct {
	Liveness
	Ejection
	// Address is the host and port.
	Address string
	// Accelerators is the number of accelerators behind the endpoint.
	Accelerators float64
	// IsLoading is set while the model of the pool is not yet loaded.
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
	// latestAnsweredStart is the latest start among the requests that got a first token.
	latestAnsweredStart time.Time
}

// peerLoad is the work of other instances at an endpoint: as the latest report
// shows it, and on average over the reports.
type peerLoad struct {
	waitingTokens, runningRequests         float64
	meanWaitingTokens, meanRunningRequests float64
}

const (
	// waitingTokensDecaySeconds is the age at which a report of waiting tokens has lost most
	// of its worth.
	waitingTokensDecaySeconds = 0.3
	peerLoadGain              = 0.1
)

// NewEndpoint returns an endpoint of which only the address is known.
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

// SecondsPerToken returns the learnt time per prompt token.
func (e *Endpoint) SecondsPerToken() float64 {
	if e.secondsPerToken == 0 {
		return defaultSecondsPerToken
	}
	return e.secondsPerToken
}

// OnReport takes in a load report, unless it is older than the one at hand.
func (e *Endpoint) OnReport(r LoadReport) {
	if r.ReportedAt.Before(e.Report.ReportedAt) {
		return
	}
	if r.Slots <= 0 {
		r.Slots = e.Report.Slots
	}
	e.Report = r
	own := e.ownLoad.at(r.ReportedAt)
	o := &e.peerLoad
	o.waitingTokens = float64(max(r.WaitingTokens-own.waitingTokens, 0))
	o.runningRequests = float64(max(r.RunningRequests+r.WaitingRequests-own.inFlight, 0))
	o.meanWaitingTokens += peerLoadGain * (o.waitingTokens - o.meanWaitingTokens)
	o.meanRunningRequests += peerLoadGain * (o.runningRequests - o.meanRunningRequests)
}

// OnRestart forgets what was learnt of an earlier life at the address.
func (e *Endpoint) OnRestart() {
	e.Report = LoadReport{Slots: e.Report.Slots, ReportedAt: e.Report.ReportedAt}
	e.peerLoad = peerLoad{}
	e.Ejection = Ejection{}
	e.InvalidateCachedPrefixes()
}

// InvalidateCachedPrefixes makes the view of the endpoint's prefix cache unknown, as after a
// gap in its cache events.
func (e *Endpoint) InvalidateCachedPrefixes() {
	e.cacheEpoch++
}

// OnDispatch counts a request as sent, before any report can show it.
func (e *Endpoint) OnDispatch(tokens int, now time.Time) {
	e.inFlight++
	e.ownWaitingTokens += tokens
	e.dispatchCount++
	e.cacheRetentionRequests += cacheRetentionGrowthPerDispatch
	e.ownLoad.record(now, e.ownWaitingTokens, e.inFlight)
}

// HasAnsweredRequestAfter reports whether the endpoint has answered a request that
// began after the given time. A request from before that is still without an
// answer then waits on a dead connection, not on a slow endpoint.
func (e *Endpoint) HasAnsweredRequestAfter(start time.Time) bool {
	return e.latestAnsweredStart.After(start)
}

// OnFirstToken learns from the time that the first token took: the speed, and
// whether the prefix was still in the endpoint's cache.
func (e *Endpoint) OnFirstToken(c *EndpointChoice, took time.Duration, now time.Time) {
	if start := now.Add(-took); start.After(e.latestAnsweredStart) {
		e.latestAnsweredStart = start
	}
	e.ownWaitingTokens -= c.UncachedTokens
	e.ownLoad.record(now, e.ownWaitingTokens, e.inFlight)
	tokens := c.UncachedTokens + c.WaitingTokens + overheadTokens
	if c.CachedTokens > 0 && e.updateCacheRetention(c, took, tokens) {
		tokens += c.CachedTokens
	}
	sample := took.Seconds() / float64(tokens)
	if e.secondsPerToken == 0 {
		e.secondsPerToken = sample
		return
	}
	e.secondsPerToken += tokenTimeGain * (sample - e.secondsPerToken)
}

// updateCacheRetention learns after how many other requests a prefix has left the cache. It
// returns true if this one had.
func (e *Endpoint) updateCacheRetention(c *EndpointChoice, took time.Duration, tokens int) bool {
	distance := float64(c.RequestsSinceCached)
	missed := took.Seconds() > e.SecondsPerToken()*(float64(tokens)+float64(c.CachedTokens)/2)
	if missed && distance < e.cacheRetentionRequests {
		e.cacheRetentionRequests += cacheRetentionGain * (distance - e.cacheRetentionRequests)
	}
	if !missed && distance > cacheRetentionEdge*e.cacheRetentionRequests {
		e.cacheRetentionRequests += cacheRetentionGain * (distance/cacheRetentionEdge - e.cacheRetentionRequests)
	}
	return missed
}

// OnEnd counts a request as finished. Tokens are those of a request that never
// gave a first token, else 0. Took is the time that it held a slot.
func (e *Endpoint) OnEnd(tokens int, took time.Duration, now time.Time) {
	e.inFlight--
	e.ownWaitingTokens -= tokens
	e.ownLoad.record(now, e.ownWaitingTokens, e.inFlight)
	if tokens == 0 {
		e.meanSlotSeconds += slotTimeGain * (took.Seconds() - e.meanSlotSeconds)
	}
}

// EstimatedLoad is what an endpoint is believed to have to do.
type EstimatedLoad struct {
	// WaitingTokens is the number of prompt tokens that wait.
	WaitingTokens int
	// Requests is the number of requests that hold or wait for a slot.
	Requests int
}

// EstimateLoad estimates the work at the endpoint: what this instance sent there is
// known, and the work of others is believed less, and their average more, the
// older the report is.
func (e *Endpoint) EstimateLoad(now time.Time) EstimatedLoad {
	age := now.Sub(e.Report.ReportedAt).Seconds()
	w, o := decayWeight(age, waitingTokensDecaySeconds), &e.peerLoad
	waiting := w*o.waitingTokens + (1-w)*o.meanWaitingTokens
	w = decayWeight(age, e.meanSlotSeconds)
	running := w*o.runningRequests + (1-w)*o.meanRunningRequests
	return EstimatedLoad{WaitingTokens: e.ownWaitingTokens + int(waiting), Requests: e.inFlight + int(running+0.5)}
}

// decayWeight returns the worth of a belief of an age, from 1 down to 0.
func decayWeight(ageSeconds, memorySeconds float64) float64 {
	x := ageSeconds / memorySeconds
	// A rational curve is as good as an exponential one here, and cheaper.
	return 1 / (1 + x*x)
}

// SlotWaitSeconds estimates the seconds until a slot is free.
func (e *Endpoint) SlotWaitSeconds(w EstimatedLoad) float64 {
	over := w.Requests - e.Report.Slots + 1
	if over <= 0 {
		return 0
	}
	return float64(over) * e.meanSlotSeconds / float64(e.Report.Slots)
}

// FreeSlots returns the number of slots believed free.
func (e *Endpoint) FreeSlots(w EstimatedLoad) int {
	return max(0, e.Report.Slots-w.Requests)
}
