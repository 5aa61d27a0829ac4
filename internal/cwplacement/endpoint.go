package cwplacement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewell/clementinewell/internal/cwroute"
)

const (
	// initialPromptTokensPerSecond is the assumed prompt speed of an engine without
	// measurements; it is about that of one accelerator with a mid-sized model.
	initialPromptTokensPerSecond = 40_000
	// minPromptTokensPerSecond and maxPromptTokensPerSecond bound the speed that is
	// measured from one response.
	minPromptTokensPerSecond, maxPromptTokensPerSecond = 4_000, 400_000
	// promptSpeedBaselineSeconds and eventRateBaselineSeconds are the weights of the
	// baseline rate against new measurements, in seconds of measured time: that of a
	// prompt or two, and of a few events.
	promptSpeedBaselineSeconds, eventRateBaselineSeconds = 0.15, 0.2
	// initialEventsPerSecond is the assumed event rate of a stream without measurements.
	initialEventsPerSecond = 20
	// firstTokenOverhead is the part of the time to the first token that does not depend
	// on the prompt: one step of the batch and the network round trip.
	firstTokenOverhead = 25 * time.Millisecond
	// minSpeedSampleTokens is the smallest number of tokens, of the prompt and those
	// queued ahead of it, from which a speed is measured; with fewer the overhead
	// dominates.
	minSpeedSampleTokens = 500
	// initialServiceTime is the assumed time that a plain request occupies its slot,
	// until it is measured.
	initialServiceTime = 80 * time.Millisecond
	// serviceTimeWeight is the weight of the latest request in the mean service time.
	serviceTimeWeight = 0.1
	// promptCacheShare is the share of an engine's memory that is assumed to be cache.
	promptCacheShare = 0.85
	// peerReportMaxAge is the age above which the work and the failure rate that other
	// instances reported are ignored: most of the work is done by then.
	peerReportMaxAge = 1500 * time.Millisecond
)

// Endpoint is this instance's state of one endpoint.
type Endpoint struct {
	cwroute.Endpoint
	// Region is the region of its domain.
	Region string
	// ColdUntil is when the endpoint stops being cold according to its entry.
	ColdUntil time.Time
	// IsEvacuated is set while its domain is evacuated.
	IsEvacuated bool

	health
	restartSuspicion
	*statements
	// isEntryDraining is set once the entry has said that the endpoint takes no new requests.
	isEntryDraining bool
	// idHash is the hash of the identifier.
	idHash uint64
	// readAt is when the entry was read.
	readAt time.Time
	// ownSlots is the number of its slots that this instance may use while it is brittle.
	ownSlots int
	// ownsQueue is set if it may let one more request wait there.
	ownsQueue bool
	// engine is nil for an endpoint that is no model engine.
	engine      *cwroute.Engine
	coldLimiter coldLimiter
	coldRate    float64
	// isColdOwner is set if this instance is the one that may use the endpoint while it
	// is cold.
	isColdOwner bool
	// cache models the engine's prompt cache; nil exactly if engine is.
	cache *promptCache
	// recent holds the parts that are reported to the other instances.
	recent recentParts
	// peerFailureRate is the highest failure rate that another instance reported.
	peerFailureRate float64
	// ownWork is the work of this instance, and peerWork that of the others of the region,
	// as reported at peerReportAt.
	ownWork      Work
	peerWork     Work
	peerReportAt time.Time
	// promptSpeed is in prompt tokens per second, and eventRate in events of a stream per
	// second.
	promptSpeed, eventRate meter
	// serviceTimeSeconds is the mean time that a request occupies its slot.
	serviceTimeSeconds float64
	// unreported is the work that this instance placed lately.
	unreported recentWork
	// turningAwayUntil is until when it counts as full, since it turned a request of this instance
	// away.
	turningAwayUntil time.Time
	// mix is that of the pool.
	mix *engineMix
}

// newEndpoint returns an endpoint without measurements, with an initial prompt speed.
func newEndpoint(entry cwroute.Endpoint, service cwroute.Service, mix *engineMix, promptSpeed float64) *Endpoint {
	e := &Endpoint{Endpoint: entry, mix: mix, idHash: xxhash.Sum64String(entry.ID), promptSpeed: newMeter(promptSpeed, promptSpeedBaselineSeconds), eventRate: newMeter(initialEventsPerSecond, eventRateBaselineSeconds), serviceTimeSeconds: initialServiceTime.Seconds()}
	e.setService(service)
	return e
}

// setService applies the configuration of the endpoint's service. A later configuration may
// add an engine, change its memory or remove it.
func (e *Endpoint) setService(service cwroute.Service) {
	e.coldRate, e.engine = service.ColdRate, service.Engine
	if e.engine == nil {
		e.cache = nil
		return
	}
	capacity := int(promptCacheShare * float64(e.engine.MemoryTokens))
	if e.cache == nil {
		e.cache = newPromptCache(capacity)
	}
	e.cache.setCapacity(capacity)
}

// HasStartedDraining reports whether the endpoint takes no new requests in this life: its entry or
// a response has said so.
func (e *Endpoint) HasStartedDraining() bool {
	return e.isEntryDraining || e.isLeaving
}

// OwnWork returns the work of this instance at the endpoint.
func (e *Endpoint) OwnWork() Work {
	return e.ownWork
}

// RecentParts returns the shared parts of prompts that this instance recently sent to
// the endpoint.
func (e *Endpoint) RecentParts(now time.Time) []PromptPart {
	return e.recent.list(now)
}

// PeerReport is what the other instances of the region report about an endpoint.
type PeerReport struct {
	// Work is the sum of the work that was reported.
	Work Work
	// Coverage is the share of the other instances that have reported; 0 counts as all.
	Coverage float64
	// FailureRate is the highest failure rate that one of them reported.
	FailureRate float64
	// PromptSpeed is measured in prompt tokens, and EventRate in events of streams.
	PromptSpeed, EventRate Measurement
	// At is the time of the latest report.
	At time.Time
}

// minCoverage bounds the factor by which reported work is extrapolated to all instances.
const minCoverage = 0.125

// SetPeerReport replaces what the other instances report about the endpoint. In a large region an
// instance hears only some of the others within the age of a report: their work is extrapolated.
func (e *Endpoint) SetPeerReport(r PeerReport, now time.Time) {
	e.peerWork, e.peerFailureRate, e.peerReportAt = r.Work, r.FailureRate, r.At
	if r.Coverage > 0 && r.Coverage < 1 {
		e.peerWork = r.Work.Scale(1 / max(r.Coverage, minCoverage))
	}
	e.promptSpeed.setPeers(r.PromptSpeed, now)
	e.eventRate.setPeers(r.EventRate, now)
}

// Measurements returns the recent measurements of this instance: of the endpoint's
// prompt speed, in prompt tokens, and of its event rate, in events of streams.
func (e *Endpoint) Measurements(now time.Time) (promptSpeed, eventRate Measurement) {
	return e.promptSpeed.decayedOwn(now), e.eventRate.decayedOwn(now)
}

// UnreachableAt returns when this instance last could not reach the endpoint; zero if that never
// happened. What others report is not told on, since they tell it themselves.
func (e *Endpoint) UnreachableAt() time.Time {
	return e.unreachableAt
}

// Suspect records that other instances could not reach the endpoint at a time, so that it may have
// restarted: instances that reach others, and those that are cut off from all.
func (e *Endpoint) Suspect(at, cutOffAt time.Time) {
	e.suspect(&e.peerUnreachableAt, at)
	e.suspect(&e.cutOffUnreachableAt, cutOffAt)
}

// MarkUnreachable records that this instance could not reach the endpoint. The endpoint
// is ejected for a while and may have restarted.
func (e *Endpoint) MarkUnreachable(now time.Time) {
	e.recordUnreachable(now)
	e.suspect(&e.unreachableAt, now)
}

// MarkSilent records that a dial of this instance which began at dialedAt got no answer. The
// endpoint is ejected until it answers. It may have restarted only if the silence is longer
// than a sound endpoint's: one that ends refuses connections first.
func (e *Endpoint) MarkSilent(dialedAt, now time.Time) {
	if e.recordSilence(dialedAt, now) {
		e.suspect(&e.unreachableAt, now)
	}
}

// MarkRefused records that an ejected endpoint has refused another connection.
func (e *Endpoint) MarkRefused(now time.Time) {
	if e.consecutiveUnreachable == 0 {
		e.recordUnreachable(now)
	}
	e.silentSince = time.Time{}
	e.extendEjection(now)
	e.suspect(&e.unreachableAt, now)
}

// MarkReachable records that an ejected endpoint has accepted a connection.
func (e *Endpoint) MarkReachable(now time.Time) {
	e.recordReachable(now)
}

// IsEjected reports whether the endpoint is excluded after it could not be reached.
func (e *Endpoint) IsEjected(now time.Time) bool {
	return e.isEjected(now)
}

// isReturnExpected reports whether the endpoint is only silent, so that requests without
// another place may wait for it.
func (e *Endpoint) isReturnExpected(now time.Time) bool {
	return !e.HasStartedDraining() && !e.IsEvacuated && e.isEjected(now) && e.isWithinSoundSilence(now)
}

// AddPeerParts adds the parts of prompts that another instance sent to the endpoint to
// the model of its cache.
func (e *Endpoint) AddPeerParts(parts []PromptPart) {
	if e.cache != nil {
		e.cache.add(parts)
	}
}

// worstFailureRate returns the highest failure rate that this or another instance of the
// region has measured.
func (e *Endpoint) worstFailureRate(now time.Time) float64 {
	own := e.failureRate(now)
	if now.Sub(e.peerReportAt) > peerReportMaxAge {
		return own
	}
	return max(own, e.peerFailureRate)
}

// isDegraded reports whether the failure rate is so high that other endpoints are
// preferred.
func (e *Endpoint) isDegraded(now time.Time) bool {
	return e.worstFailureRate(now) > degradedFailureRate
}

// FailureRate returns the failure rate that this instance measures.
func (e *Endpoint) FailureRate(now time.Time) float64 {
	return e.failureRate(now)
}

// totalWork returns the work of all instances of the region at the endpoint.
func (e *Endpoint) totalWork(now time.Time) Work {
	if now.Sub(e.peerReportAt) > peerReportMaxAge {
		return e.ownWork
	}
	return e.ownWork.Add(e.peerWork)
}

// IsCold reports whether the endpoint takes only a limited rate of requests, because it
// has started recently or may have restarted.
func (e *Endpoint) IsCold(now time.Time) bool {
	return e.coldRate > 0 && (now.Before(e.ColdUntil) || e.isSuspected(e.readAt, now))
}

// MayHaveRestarted reports whether the endpoint could not be reached since its entry was read, or may have
// been replaced. Until the new entry arrives its software version is uncertain.
func (e *Endpoint) MayHaveRestarted(now time.Time) bool {
	return e.MayHaveRestartedBy(now, now)
}

// MayHaveRestartedBy reports that of what the endpoint had sent at an earlier time: a replacement after it
// leaves that certain.
func (e *Endpoint) MayHaveRestartedBy(by, now time.Time) bool {
	return e.isSuspected(e.readAt, now) || e.mayBeReplaced(e.readAt, by, now)
}

// MarkReplaced records that all connections of this instance to the endpoint have ended at a time, so that
// its process may have been replaced by one that listens at once. It isn't taken for a cold one: nothing
// else tells that.
func (e *Endpoint) MarkReplaced(at time.Time) {
	e.replacedAt = at
}

// IsUsable reports whether this instance may send a new request to the endpoint now.
func (e *Endpoint) IsUsable(now time.Time) bool {
	return e.isUsableWithinRate(now) && e.isWithinRateLimit(now)
}

// isUsableWithinRate reports whether this instance may send a new request to the endpoint
// as soon as the rate limit that the endpoint names allows one.
func (e *Endpoint) isUsableWithinRate(now time.Time) bool {
	if e.HasStartedDraining() || e.IsEvacuated || e.isEjected(now) || e.isPaused(now) {
		return false
	}
	return !e.IsCold(now) || e.isColdOwner && e.coldLimiter.canTake(e.coldRate, now)
}

// PromptSpeed returns the measured speed in prompt tokens per second.
func (e *Endpoint) PromptSpeed() float64 {
	return e.promptSpeed.rate
}

// slots returns the number of requests that run concurrently, at least 1.
func (e *Endpoint) slots() int {
	if e.engine != nil && e.engine.Slots > 0 {
		return e.engine.Slots
	}
	return max(e.Slots, 1)
}

// prediction is the expected processing of a request at an endpoint.
type prediction struct {
	// firstByteSeconds is the time to the first byte, and waitSeconds the part of it
	// before the request's own prompt is processed.
	firstByteSeconds, waitSeconds float64
	// uncachedTokens is the number of tokens to process, and recomputedTokens the part of
	// them that other requests may share.
	uncachedTokens, recomputedTokens int
	// restSeconds is the time from the first byte to the last.
	restSeconds float64
	// shortageTokens is the memory that lacks when the request would run.
	shortageTokens float64
	// isFull is set if the slots or the memory are exhausted.
	isFull bool
}

// predict returns the expected processing of a request in the band.
func (e *Endpoint) predict(rs *Requirements, band Band, now time.Time) prediction {
	w := e.totalWork(now)
	if e.engine == nil {
		return e.predictPlain(&w)
	}
	e.addUnreported(&w, now)
	cached := e.cache.cachedTokens(rs.PromptParts)
	p := prediction{uncachedTokens: max(rs.PromptTokens-cached, 0), recomputedTokens: max(rs.sharedTokens()-cached, 0)}
	p.isFull = w.InFlight >= e.slots()
	p.waitSeconds = max(e.slotWaitSeconds(&w, band, now), w.tokensAhead(band)/e.promptSpeed.rate)
	if tokens, seconds := e.memoryShortage(rs, &w, band, p.waitSeconds); tokens > 0 {
		p.waitSeconds += seconds
		p.shortageTokens, p.isFull = tokens, true
	}
	if p.waitSeconds > 0 && !e.hasSpare(&w) {
		// What comes later and is more urgent goes first too.
		p.waitSeconds /= 1 - min(e.promptShare(now)*e.mix.ahead[band], maxShareAhead)
	}
	p.firstByteSeconds = p.waitSeconds + float64(p.uncachedTokens)/e.promptSpeed.rate + firstTokenOverhead.Seconds()
	p.restSeconds = float64(rs.OutputTokens) / float64(max(e.engine.EventTokens, 1)) / e.eventRate.rate
	return p
}

// predictPlain returns the expected processing of a request at an endpoint that is no model engine.
func (e *Endpoint) predictPlain(w *Work) prediction {
	p := prediction{}
	if excess := w.InFlight + 1 - e.slots(); excess > 0 {
		p.isFull = true
		p.waitSeconds = float64(excess) / float64(e.slots()) * e.serviceTimeSeconds
	}
	p.firstByteSeconds = p.waitSeconds + e.serviceTimeSeconds
	return p
}

// slotWaitSeconds returns the time until an engine has a slot for a request in the band.
func (e *Endpoint) slotWaitSeconds(w *Work, band Band, now time.Time) float64 {
	wait := 0.0
	if excess := w.InFlight + 1 - e.slots(); excess > 0 {
		ahead := max(float64(excess)-e.mix.requestsBehind(w, band), 1)
		wait = ahead / float64(e.slots()) * e.mix.slotSeconds(e.eventRate.rate)
	}
	if now.Before(e.turningAwayUntil) {
		wait = max(wait, e.mix.slotSeconds(e.eventRate.rate))
	}
	return wait
}
