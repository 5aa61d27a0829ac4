package cwplacement

import "time"

// Placement is one request at an endpoint, from its placement to its end.
type Placement struct {
	// Endpoint is where the request is.
	Endpoint *Endpoint
	// PredictedFirstByte is the predicted time to the first byte.
	PredictedFirstByte time.Duration

	// Band is that of its work.
	Band Band

	startedAt   time.Time
	firstByteAt time.Time
	lastEventAt time.Time
	work        Work
	aheadTokens float64
	hasEnded    bool
	// hasOverdueFailure is set once the missing first byte counted as a failure.
	hasOverdueFailure bool
}

// place notes that the request goes to the endpoint.
func (e *Endpoint) place(d *Requirements, band Band, p prediction, now time.Time) *Placement {
	t := &Placement{Endpoint: e, PredictedFirstByte: durationOfSeconds(p.firstByteSeconds), Band: band, startedAt: now, aheadTokens: e.totalWork(now).tokensAhead(band)}
	t.work = Work{InFlight: 1}
	if e.engine != nil {
		t.work.QueuedTokens[band] = float64(p.uncachedTokens)
		t.work.HeldTokens = float64(d.PromptTokens + d.OutputTokens)
		e.cache.add(d.PromptParts)
		e.recent.add(d.PromptParts, now)
	}
	e.ownWork = e.ownWork.Add(t.work)
	if e.IsCold(now) {
		e.coldLimiter.take(e.coldRate, now)
	}
	return t
}

// OnFirstByte notes the first byte of the answer.
func (t *Placement) OnFirstByte(now time.Time) {
	if !t.firstByteAt.IsZero() || t.hasEnded {
		return
	}
	t.firstByteAt, t.lastEventAt = now, now
	e := t.Endpoint
	e.answered(now)
	took := (now.Sub(t.startedAt) - firstTokenOverhead).Seconds()
	tokens := t.work.QueuedTokens[t.Band] + t.aheadTokens
	t.dropQueuedTokens()
	// Others overtake late work, so its time tells nothing of the speed.
	if e.engine == nil || t.Band == Late || tokens < minSpeedSampleTokens || took <= 0 {
		return
	}
	e.promptSpeed.record(tokens, min(max(took, tokens/maxPromptTokensPerSecond), tokens/minPromptTokensPerSecond), now)
}

// dropQueuedTokens takes the prompt off the work that waits.
func (t *Placement) dropQueuedTokens() {
	t.Endpoint.ownWork.QueuedTokens[t.Band] -= t.work.QueuedTokens[t.Band]
	t.work.QueuedTokens[t.Band] = 0
}

// OnEvent notes an event of a stream; the first one begins the answer.
func (t *Placement) OnEvent(now time.Time) {
	if t.firstByteAt.IsZero() {
		t.OnFirstByte(now)
		return
	}
	t.Endpoint.eventRate.record(1, now.Sub(t.lastEventAt).Seconds(), now)
	t.lastEventAt = now
}

// OnOverdue notes that the first byte is far later than predicted. That counts as a
// failure already, since an endpoint that swallows requests never answers.
func (t *Placement) OnOverdue(now time.Time) {
	if t.hasEnded || t.hasOverdueFailure || !t.firstByteAt.IsZero() {
		return
	}
	t.hasOverdueFailure = true
	t.Endpoint.recordFailure(now)
}

// Outcome is how a request left its endpoint.
type Outcome int

const (
	// Served is a whole answer.
	Served Outcome = iota
	// Rejected was not run, since the endpoint had no room.
	Rejected
	// Failed is a failure of the endpoint.
	Failed
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Abandoned was given up from this side.
	Abandoned
)

// OnEnd notes the end of the request.
func (t *Placement) OnEnd(end Outcome, now time.Time) {
	if t.hasEnded {
		return
	}
	t.hasEnded = true
	e := t.Endpoint
	t.dropQueuedTokens()
	e.ownWork.HeldTokens -= t.work.HeldTokens
	e.ownWork.InFlight--
	switch end {
	case Served:
		e.answered(now)
		e.serviceTimeSeconds += serviceTimeWeight * (now.Sub(t.startedAt).Seconds() - e.serviceTimeSeconds)
		e.recordSuccess(now)
	case Failed:
		if !t.hasOverdueFailure {
			e.recordFailure(now)
		}
	case Unreachable:
		e.MarkUnreachable(now)
	}
}

func durationOfSeconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
