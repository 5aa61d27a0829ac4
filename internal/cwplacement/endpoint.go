package cwplacement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewell/clementinewell/internal/cwroute"
)

const (
	// initialPromptTokensPerSecond is the prompt tokens per second of an engine of which nothing is
	// known yet; it is about that of one accelerator with a mid-sized model.
	initialPromptTokensPerSecond = 40_000
	// minPromptTokensPerSecond and maxSpeed bound what is learnt from one answer.
	minPromptTokensPerSecond, maxPromptTokensPerSecond = 4_000, 400_000
	// promptSpeedBaselineSeconds and paceInertia are the times in seconds that a rate so far weighs
	// against new measurements: a prompt or two, and a few events.
	promptSpeedBaselineSeconds, eventRateBaselineSeconds = 0.15, 0.2
	// initialEventsPerSecond is the events per second of a stream until that is learnt.
	initialEventsPerSecond = 20
	// firstTokenOverhead is the time to a first token beside the prompt: a step of the
	// batch and the way there and back.
	firstTokenOverhead = 25 * time.Millisecond
	// minSpeedSampleTokens is the least prompt from which a speed is learnt; the overhead
	// hides the speed in shorter ones.
	minSpeedSampleTokens = 500
	// initialServiceTime is how long a plain request keeps its slot until that is learnt.
	initialServiceTime = 80 * time.Millisecond
	serviceTimeWeight  = 0.1
	// promptCacheShare is the part of an engine's memory that is taken to be cache.
	promptCacheShare = 0.85
	// peerReportMaxAge is the age at which the work of other instances is no longer
	// believed: most of it is done by then.
	peerReportMaxAge = 1500 * time.Millisecond
)

// Endpoint is one endpoint as this instance sees it.
type Endpoint struct {
	cwroute.Endpoint
	// Region is the region of its domain.
	Region string
	// ColdUntil is when it stops being cold.
	ColdUntil time.Time
	// HasStartedDraining is set once it gets nothing new; Evacuated while its domain is emptied.
	HasStartedDraining, IsEvacuated bool

	health
	restartSuspicion
	// idHash is that of the identifier.
	idHash uint64
	// readAt is when the entry was read.
	readAt      time.Time
	engine      *cwroute.Engine
	coldLimiter coldLimiter
	coldRate    float64
	isColdOwner bool
	cache       *promptCache
	recent      recentParts
	// peerFailureRate is the highest share of failures that another instance saw.
	peerFailureRate float64
	ownWork         Work
	peerWork        Work
	peerReportAt    time.Time
	// promptSpeed is in prompt tokens per second, and pace in events of a stream.
	promptSpeed, eventRate meter
	// serviceTimeSeconds is in seconds per plain request.
	serviceTimeSeconds float64
}

// newEndpoint returns an endpoint of which nothing is known but its entry.
func newEndpoint(entry cwroute.Endpoint, service cwroute.Service, speed float64) *Endpoint {
	e := &Endpoint{Endpoint: entry, idHash: xxhash.Sum64String(entry.ID), engine: service.Engine, coldRate: service.ColdRate, promptSpeed: newMeter(speed, promptSpeedBaselineSeconds), eventRate: newMeter(initialEventsPerSecond, eventRateBaselineSeconds), serviceTimeSeconds: initialServiceTime.Seconds()}
	if service.Engine != nil {
		e.cache = newPromptCache(int(promptCacheShare * float64(service.Engine.MemoryTokens)))
	}
	return e
}

// OwnWork returns the work that this instance has there.
func (e *Endpoint) OwnWork() Work {
	return e.ownWork
}

// RecentParts returns the shared parts of prompts that were sent there lately.
func (e *Endpoint) RecentParts(now time.Time) []PromptPart {
	return e.recent.list(now)
}

// PeerReport is what the other instances of the region tell of an endpoint.
type PeerReport struct {
	// Work is the sum of what they have there.
	Work Work
	// FailureRate is the highest share of failures that one of them saw.
	FailureRate float64
	// PromptSpeed is in prompt tokens, and Pace in events of streams.
	PromptSpeed, EventRate Measurement
	// At is when the latest of them said so.
	At time.Time
}

// SetPeerReport takes in what the other instances tell.
func (e *Endpoint) SetPeerReport(o PeerReport, now time.Time) {
	e.peerWork, e.peerFailureRate, e.peerReportAt = o.Work, o.FailureRate, o.At
	e.promptSpeed.setPeers(o.PromptSpeed, now)
	e.eventRate.setPeers(o.EventRate, now)
}

// Measurements returns what this instance lately saw of the endpoint's speed, in prompt
// tokens, and of its pace, in events of streams.
func (e *Endpoint) Measurements(now time.Time) (speed, pace Measurement) {
	return e.promptSpeed.decayedOwn(now), e.eventRate.decayedOwn(now)
}

// UnreachableAt returns when the endpoint could last not be reached, zero if it
// always could.
func (e *Endpoint) UnreachableAt() time.Time {
	return e.unreachableAt
}

// Suspect takes in that another instance could not reach the endpoint.
func (e *Endpoint) Suspect(at time.Time) {
	e.suspect(at)
}

// MarkUnreachable notes that no new connection to the endpoint could be opened.
func (e *Endpoint) MarkUnreachable(now time.Time) {
	e.recordUnreachable(now)
	e.suspect(now)
}

// AddPeerParts takes in the parts of prompts that another instance sent there.
func (e *Endpoint) AddPeerParts(parts []PromptPart) {
	if e.cache != nil {
		e.cache.add(parts)
	}
}

// worstFailureRate returns the share of failures that this or another instance sees.
func (e *Endpoint) worstFailureRate(now time.Time) float64 {
	own := e.failureRate(now)
	if now.Sub(e.peerReportAt) > peerReportMaxAge {
		return own
	}
	return max(own, e.peerFailureRate)
}

// isDegraded reports whether the endpoint fails too much to be preferred.
func (e *Endpoint) isDegraded(now time.Time) bool {
	return e.worstFailureRate(now) > degradedFailureRate
}

// FailureRate returns the share of failures that this instance sees.
func (e *Endpoint) FailureRate(now time.Time) float64 {
	return e.failureRate(now)
}

// totalWork returns the work of all instances.
func (e *Endpoint) totalWork(now time.Time) Work {
	if now.Sub(e.peerReportAt) > peerReportMaxAge {
		return e.ownWork
	}
	return e.ownWork.Add(e.peerWork)
}

// IsCold reports whether the endpoint bears a limited rate only.
func (e *Endpoint) IsCold(now time.Time) bool {
	return e.coldRate > 0 && (now.Before(e.ColdUntil) || e.isSuspected(e.readAt, now))
}

// IsUsable reports whether new work may go there.
func (e *Endpoint) IsUsable(now time.Time) bool {
	if e.HasStartedDraining || e.IsEvacuated || e.isEjected(now) {
		return false
	}
	return !e.IsCold(now) || e.isColdOwner && e.coldLimiter.canTake(e.coldRate, now)
}

// PromptSpeed returns the learnt speed in prompt tokens per second.
func (e *Endpoint) PromptSpeed() float64 {
	return e.promptSpeed.rate
}

// slots returns the number of requests that run at once, at least 1.
func (e *Endpoint) slots() int {
	if e.engine != nil && e.engine.Slots > 0 {
		return e.engine.Slots
	}
	return max(e.Slots, 1)
}

// prediction is what is expected of a request at an endpoint.
type prediction struct {
	// firstByteSeconds is the time to the first byte, in seconds, and wait the part of it
	// before the request's own prompt.
	firstByteSeconds, waitSeconds float64
	// uncachedTokens and reread are the tokens to process, and those of them that other
	// requests share.
	uncachedTokens, recomputedTokens int
	// restSeconds is the time from the first byte to the last, in seconds.
	restSeconds float64
	// isFull is set if neither slots nor memory have room.
	isFull bool
}

// predict estimates how a request of the band would fare.
func (e *Endpoint) predict(d *Requirements, band Band, now time.Time) prediction {
	w := e.totalWork(now)
	over := w.InFlight + 1 - e.slots()
	p := prediction{isFull: over > 0}
	if over > 0 {
		p.waitSeconds = float64(over) / float64(e.slots()) * e.serviceTimeSeconds
	}
	if e.engine == nil {
		p.firstByteSeconds = p.waitSeconds + e.serviceTimeSeconds
		return p
	}
	cached := e.cache.cachedTokens(d.PromptParts)
	p.uncachedTokens = max(d.PromptTokens-cached, 0)
	p.recomputedTokens = max(d.sharedTokens()-cached, 0)
	p.waitSeconds += w.tokensAhead(band) / e.promptSpeed.rate
	if held := w.HeldTokens + float64(d.PromptTokens+d.OutputTokens); held > float64(e.engine.MemoryTokens) {
		// Requests over the memory are processed a second time later on.
		p.waitSeconds += (held - float64(e.engine.MemoryTokens)) / e.promptSpeed.rate
		p.isFull = true
	}
	p.firstByteSeconds = p.waitSeconds + float64(p.uncachedTokens)/e.promptSpeed.rate + firstTokenOverhead.Seconds()
	p.restSeconds = float64(d.OutputTokens) / float64(max(e.engine.EventTokens, 1)) / e.eventRate.rate
	return p
}
