package cwpolicy

import (
	"time"
)

const (
	// EndpointSilence is how long an endpoint stays in choice after contact failed.
	EndpointSilence = 2 * time.Second
	// defaultSecondsPerToken stands in until a speed was observed.
	defaultSecondsPerToken = 1.0 / 4000
	// overheadTokens is the fixed work of a request, counted in prompt tokens.
	overheadTokens = 32
	defaultSlots   = 32
	speedGain      = 0.15
	holdGain       = 0.1
	defaultHold    = 1.0
)

// Endpoint is one back end as this instance sees it.
type Endpoint struct {
	Presence
	Ejection
	// Address is the host and port.
	Address string
	// Accelerators is the number of accelerators behind the endpoint.
	Accelerators float64
	// Loading is set while the model of the pool is not yet loaded.
	Loading bool
	// Report is the latest load report.
	Report LoadReport

	secondsPerToken float64
	holdSeconds     float64
	inFlight        int
	waitingOwn      int
	recent          []dispatched
	cacheEpoch      uint32
}

// dispatched is a request sent after the latest report was made.
type dispatched struct {
	at     time.Time
	tokens int
}

// maxRecent bounds the requests remembered between two reports.
const maxRecent = 256

// NewEndpoint returns an endpoint of which only the address is known.
func NewEndpoint(address string, now time.Time) *Endpoint {
	e := &Endpoint{Address: address, Accelerators: 1, holdSeconds: defaultHold}
	e.Report.Slots = defaultSlots
	e.HeardAt = now
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
	if r.At.Before(e.Report.At) {
		return
	}
	if r.Slots <= 0 {
		r.Slots = e.Report.Slots
	}
	e.Report = r
	kept := e.recent[:0]
	for _, d := range e.recent {
		if d.at.After(r.At) {
			kept = append(kept, d)
		}
	}
	e.recent = kept
}

// OnRestart forgets what was learnt of an earlier life at the address.
func (e *Endpoint) OnRestart() {
	e.Report = LoadReport{Slots: e.Report.Slots, At: e.Report.At}
	e.recent = nil
	e.Ejection = Ejection{}
	e.ForgetCache()
}

// ForgetCache makes the view of the endpoint's prefix cache unknown, as after a
// gap in its cache events.
func (e *Endpoint) ForgetCache() {
	e.cacheEpoch++
}

// OnDispatch counts a request as sent, before any report can show it.
func (e *Endpoint) OnDispatch(tokens int, now time.Time) {
	e.inFlight++
	e.waitingOwn += tokens
	if len(e.recent) < maxRecent {
		e.recent = append(e.recent, dispatched{at: now, tokens: tokens})
	}
}

// OnFirstToken learns the speed from the time that the first token took, given
// the prompt tokens that were ahead of the request and its own.
func (e *Endpoint) OnFirstToken(tokens, ahead int, took time.Duration) {
	e.waitingOwn -= tokens
	sample := took.Seconds() / float64(tokens+ahead+overheadTokens)
	if e.secondsPerToken == 0 {
		e.secondsPerToken = sample
		return
	}
	e.secondsPerToken += speedGain * (sample - e.secondsPerToken)
}

// OnEnd counts a request as finished. Tokens are those of a request that never
// gave a first token, else 0. Took is the time that it held a slot.
func (e *Endpoint) OnEnd(tokens int, took time.Duration) {
	e.inFlight--
	e.waitingOwn -= tokens
	if tokens == 0 {
		e.holdSeconds += holdGain * (took.Seconds() - e.holdSeconds)
	}
}

// Ahead estimates the prompt tokens that wait at the endpoint: the report less
// what was worked off since, and what this instance sent since.
func (e *Endpoint) Ahead(now time.Time) int {
	reported := float64(e.Report.WaitingTokens)
	if reported > 0 {
		reported = max(0, reported-now.Sub(e.Report.At).Seconds()/e.SecondsPerToken())
	}
	for _, d := range e.recent {
		reported += float64(d.tokens)
	}
	if e.Report.At.IsZero() {
		return e.waitingOwn
	}
	return max(int(reported), 0)
}

// Occupied estimates the requests that hold or wait for a slot.
func (e *Endpoint) Occupied() int {
	if e.Report.At.IsZero() {
		return e.inFlight
	}
	return max(e.Report.Running+e.Report.Waiting+len(e.recent), e.inFlight)
}

// SlotWait estimates the time until a slot is free.
func (e *Endpoint) SlotWait() float64 {
	over := e.Occupied() - e.Report.Slots + 1
	if over <= 0 {
		return 0
	}
	return float64(over) * e.holdSeconds / float64(e.Report.Slots)
}

// Free returns the number of slots believed free.
func (e *Endpoint) Free() int {
	return max(0, e.Report.Slots-e.Occupied())
}
