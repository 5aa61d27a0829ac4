package cwplacement

import "time"

// Placement is one request at an endpoint, from the decision to its end.
type Placement struct {
	// Endpoint is the endpoint that the request is sent to. Its entry may be replaced while the
	// request is in progress.
	Endpoint *Endpoint
	// EndpointID, Address and Version are those of the endpoint when the request was placed.
	EndpointID, Address, Version string
	// StartedAtMillis is when the endpoint started, in Unix milliseconds.
	StartedAtMillis int64
	// PredictedFirstByte is the predicted time to the first byte.
	PredictedFirstByte time.Duration
	// Band is the scheduling priority of the request at the endpoint.
	Band Band

	startedAt   time.Time
	firstByteAt time.Time
	lastEventAt time.Time
	work        Work
	// aheadTokens is the number of prompt tokens that were queued ahead of the request
	// when it was placed.
	aheadTokens float64
	hasEnded    bool
	// hasOverdueFailure is set once the overdue first byte is recorded as a failure.
	hasOverdueFailure bool
}

// place records the load of a request that is about to be sent to the endpoint, and
// returns its placement.
func (e *Endpoint) place(rs *Requirements, band Band, expected prediction, now time.Time) *Placement {
	p := &Placement{Endpoint: e, EndpointID: e.ID, Address: e.Address, Version: e.Version, StartedAtMillis: e.StartedAtMillis, PredictedFirstByte: durationOfSeconds(expected.firstByteSeconds), Band: band, startedAt: now, aheadTokens: e.totalWork(now).tokensAhead(band)}
	p.work = Work{InFlight: 1}
	if e.engine != nil {
		p.work.QueuedTokens[band] = float64(expected.uncachedTokens)
		p.work.HeldTokens = float64(rs.PromptTokens + rs.OutputTokens)
		e.cache.add(rs.PromptParts)
		e.recent.add(rs.PromptParts, now)
	}
	e.ownWork = e.ownWork.Add(p.work)
	if e.engine != nil {
		e.unreported.add(&p.work, now)
	}
	if e.IsCold(now) {
		e.coldLimiter.take(e.coldRate, now)
	}
	e.countRequest(now)
	e.countReturn(now)
	return p
}

// OnFirstByte records the first byte of the response.
func (p *Placement) OnFirstByte(now time.Time) {
	if !p.firstByteAt.IsZero() || p.hasEnded {
		return
	}
	p.firstByteAt, p.lastEventAt = now, now
	e := p.Endpoint
	e.consecutiveUnanswered = 0
	e.answered(now)
	if !e.silentSince.IsZero() {
		e.recordReachable(now)
	}
	elapsed := (now.Sub(p.startedAt) - firstTokenOverhead).Seconds()
	tokens := p.work.QueuedTokens[p.Band] + p.aheadTokens
	p.dropQueuedTokens()
	// Other work overtakes late work, so the time of a late request is no measure of the
	// speed.
	if e.engine == nil || p.Band == Late || tokens < minSpeedSampleTokens || elapsed <= 0 {
		return
	}
	e.promptSpeed.record(tokens, min(max(elapsed, tokens/maxPromptTokensPerSecond), tokens/minPromptTokensPerSecond), now)
}

// dropQueuedTokens removes the prompt from the queued work of the endpoint.
func (p *Placement) dropQueuedTokens() {
	p.Endpoint.ownWork.QueuedTokens[p.Band] -= p.work.QueuedTokens[p.Band]
	p.work.QueuedTokens[p.Band] = 0
}

// OnEvent records an event of a stream; the first one is the first byte.
func (p *Placement) OnEvent(now time.Time) {
	if p.firstByteAt.IsZero() {
		p.OnFirstByte(now)
		return
	}
	p.Endpoint.eventRate.record(1, now.Sub(p.lastEventAt).Seconds(), now)
	p.lastEventAt = now
}

// OnOverdue records that the first byte is far later than predicted. This counts as a
// failure at once, because a request that the endpoint has lost gets no response that
// could fail.
func (p *Placement) OnOverdue(now time.Time) {
	if p.hasEnded || p.hasOverdueFailure || !p.firstByteAt.IsZero() {
		return
	}
	p.hasOverdueFailure = true
	p.Endpoint.recordFailure(now)
}

// Outcome is how a request ended at its endpoint.
type Outcome int

const (
	// Served is a complete response.
	Served Outcome = iota
	// Rejected means that the endpoint did not run the request, for lack of capacity.
	Rejected
	// Failed is a failure of the endpoint.
	Failed
	// Unreachable means that no byte of the request could be sent.
	Unreachable
	// Unanswered means that the endpoint neither accepted nor refused a connection.
	Unanswered
	// Abandoned means that this instance ended the request, for example because its
	// caller disconnected. An answer that was due by then counts against the endpoint if it
	// gives none to others either.
	Abandoned
)

// OnEnd records the end of the request.
func (p *Placement) OnEnd(outcome Outcome, now time.Time) {
	if p.hasEnded {
		return
	}
	p.hasEnded = true
	e := p.Endpoint
	p.dropQueuedTokens()
	e.ownWork.HeldTokens -= p.work.HeldTokens
	e.ownWork.InFlight--
	switch outcome {
	case Served:
		e.answered(now)
		if p.startedAt.After(e.silenceEndedAt) {
			// A time with a silence in it is no measure of the next ones.
			e.serviceTimeSeconds += serviceTimeWeight * (now.Sub(p.startedAt).Seconds() - e.serviceTimeSeconds)
		}
		e.recordSuccess(now)
	case Failed:
		if !p.hasOverdueFailure {
			e.recordFailure(now)
		}
	case Rejected:
		e.consecutiveUnanswered = 0
		e.turningAwayUntil = now.Add(reportLag)
	case Abandoned:
		if p.firstByteAt.IsZero() && !p.hasOverdueFailure && now.Sub(p.startedAt) >= p.PredictedFirstByte {
			e.recordUnanswered(now)
		}
	case Unreachable:
		e.MarkUnreachable(now)
	case Unanswered:
		e.MarkSilent(p.startedAt, now)
	}
}

func durationOfSeconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
