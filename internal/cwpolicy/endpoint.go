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
	// startReach is the number of requests for which a prefix is taken to stay in
	// the cache until something else is learnt; reachGrowth lets it rise again.
	startReach  = 64
	reachGrowth = 0.05
	reachGain   = 0.2
	// reachEdge is the part of the reach beyond which a hit widens it.
	reachEdge = 0.8
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
	history         ownHistory
	others          othersWork
	cacheEpoch      uint32
	dispatches      uint32
	cacheReach      float64
	// answeredStart is the latest start among the requests that got a first token.
	answeredStart time.Time
}

// othersWork is the work of other instances at an endpoint: as the latest report
// shows it, and on average over the reports.
type othersWork struct {
	waiting, running         float64
	meanWaiting, meanRunning float64
}

const (
	// waitingMemory is the age at which a report of waiting tokens has lost most
	// of its worth.
	waitingMemory = 0.3
	othersGain    = 0.1
)

// NewEndpoint returns an endpoint of which only the address is known.
func NewEndpoint(address string, now time.Time) *Endpoint {
	e := &Endpoint{Address: address, Accelerators: 1, holdSeconds: defaultHold, cacheReach: startReach}
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
	own := e.history.at(r.At)
	o := &e.others
	o.waiting = float64(max(r.WaitingTokens-own.waiting, 0))
	o.running = float64(max(r.Running+r.Waiting-own.inFlight, 0))
	o.meanWaiting += othersGain * (o.waiting - o.meanWaiting)
	o.meanRunning += othersGain * (o.running - o.meanRunning)
}

// OnRestart forgets what was learnt of an earlier life at the address.
func (e *Endpoint) OnRestart() {
	e.Report = LoadReport{Slots: e.Report.Slots, At: e.Report.At}
	e.others = othersWork{}
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
	e.dispatches++
	e.cacheReach += reachGrowth
	e.history.note(now, e.waitingOwn, e.inFlight)
}

// AnsweredLaterThan reports whether the endpoint has answered a request that
// began after the given time. A request from before that is still without an
// answer then waits on a dead connection, not on a slow endpoint.
func (e *Endpoint) AnsweredLaterThan(start time.Time) bool {
	return e.answeredStart.After(start)
}

// OnFirstToken learns from the time that the first token took: the speed, and
// whether the prefix was still in the endpoint's cache.
func (e *Endpoint) OnFirstToken(c *Choice, took time.Duration, now time.Time) {
	if start := now.Add(-took); start.After(e.answeredStart) {
		e.answeredStart = start
	}
	e.waitingOwn -= c.Uncached
	e.history.note(now, e.waitingOwn, e.inFlight)
	tokens := c.Uncached + c.Ahead + overheadTokens
	if c.Cached > 0 && e.learnReach(c, took, tokens) {
		tokens += c.Cached
	}
	sample := took.Seconds() / float64(tokens)
	if e.secondsPerToken == 0 {
		e.secondsPerToken = sample
		return
	}
	e.secondsPerToken += speedGain * (sample - e.secondsPerToken)
}

// learnReach learns after how many other requests a prefix has left the cache. It
// returns true if this one had.
func (e *Endpoint) learnReach(c *Choice, took time.Duration, tokens int) bool {
	distance := float64(c.Distance)
	missed := took.Seconds() > e.SecondsPerToken()*(float64(tokens)+float64(c.Cached)/2)
	if missed && distance < e.cacheReach {
		e.cacheReach += reachGain * (distance - e.cacheReach)
	}
	if !missed && distance > reachEdge*e.cacheReach {
		e.cacheReach += reachGain * (distance/reachEdge - e.cacheReach)
	}
	return missed
}

// OnEnd counts a request as finished. Tokens are those of a request that never
// gave a first token, else 0. Took is the time that it held a slot.
func (e *Endpoint) OnEnd(tokens int, took time.Duration, now time.Time) {
	e.inFlight--
	e.waitingOwn -= tokens
	e.history.note(now, e.waitingOwn, e.inFlight)
	if tokens == 0 {
		e.holdSeconds += holdGain * (took.Seconds() - e.holdSeconds)
	}
}

// Work is what an endpoint is believed to have to do.
type Work struct {
	// Ahead is the number of prompt tokens that wait.
	Ahead int
	// Occupied is the number of requests that hold or wait for a slot.
	Occupied int
}

// Work estimates the work at the endpoint: what this instance sent there is
// known, and the work of others is believed less, and their average more, the
// older the report is.
func (e *Endpoint) Work(now time.Time) Work {
	age := now.Sub(e.Report.At).Seconds()
	w, o := fade(age, waitingMemory), &e.others
	waiting := w*o.waiting + (1-w)*o.meanWaiting
	w = fade(age, e.holdSeconds)
	running := w*o.running + (1-w)*o.meanRunning
	return Work{Ahead: e.waitingOwn + int(waiting), Occupied: e.inFlight + int(running+0.5)}
}

// fade returns the worth of a belief of an age, from 1 down to 0.
func fade(ageSeconds, memorySeconds float64) float64 {
	x := ageSeconds / memorySeconds
	// A rational curve is as good as an exponential one here, and cheaper.
	return 1 / (1 + x*x)
}

// SlotWait estimates the seconds until a slot is free.
func (e *Endpoint) SlotWait(w Work) float64 {
	over := w.Occupied - e.Report.Slots + 1
	if over <= 0 {
		return 0
	}
	return float64(over) * e.holdSeconds / float64(e.Report.Slots)
}

// Free returns the number of slots believed free.
func (e *Endpoint) Free(w Work) int {
	return max(0, e.Report.Slots-w.Occupied)
}
