package cwplacement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewell/clementinewell/internal/cwroute"
)

const (
	// startSpeed is the prompt tokens per second of an engine of which nothing is
	// known yet; it is about that of one accelerator with a mid-sized model.
	startSpeed = 40_000
	// minSpeed and maxSpeed bound what is learnt from one answer.
	minSpeed, maxSpeed = 4_000, 400_000
	// speedInertia and paceInertia are the times in seconds that a rate so far weighs
	// against new measurements: a prompt or two, and a few events.
	speedInertia, paceInertia = 0.15, 0.2
	// startPace is the events per second of a stream until that is learnt.
	startPace = 20
	// answerOverhead is the time to a first token beside the prompt: a step of the
	// batch and the way there and back.
	answerOverhead = 25 * time.Millisecond
	// minSpeedSample is the least prompt from which a speed is learnt; the overhead
	// hides the speed in shorter ones.
	minSpeedSample = 500
	// startHold is how long a plain request keeps its slot until that is learnt.
	startHold = 80 * time.Millisecond
	holdGain  = 0.1
	// cacheShare is the part of an engine's memory that is taken to be cache.
	cacheShare = 0.85
	// othersMaxAge is the age at which the work of other instances is no longer
	// believed: most of it is done by then.
	othersMaxAge = 1500 * time.Millisecond
)

// Endpoint is one endpoint as this instance sees it.
type Endpoint struct {
	cwroute.Endpoint
	// Region is the region of its domain.
	Region string
	// ColdUntil is when it stops being cold.
	ColdUntil time.Time
	// Drains is set once it gets nothing new; Evacuated while its domain is emptied.
	Drains, Evacuated bool

	health
	suspicion
	// hash is that of the identifier.
	hash uint64
	// readAt is when the entry was read.
	readAt   time.Time
	engine   *cwroute.Engine
	cold     coldGate
	coldRate float64
	owned    bool
	cache    *promptCache
	recent   recentParts
	// othersFailures is the highest share of failures that another instance saw.
	othersFailures float64
	own            Work
	others         Work
	othersAt       time.Time
	// speed is in prompt tokens per second, and pace in events of a stream.
	speed, pace meter
	// hold is in seconds per plain request.
	hold float64
}

// newEndpoint returns an endpoint of which nothing is known but its entry.
func newEndpoint(entry cwroute.Endpoint, service cwroute.Service, speed float64) *Endpoint {
	e := &Endpoint{Endpoint: entry, hash: xxhash.Sum64String(entry.ID), engine: service.Engine, coldRate: service.ColdRate, speed: newMeter(speed, speedInertia), pace: newMeter(startPace, paceInertia), hold: startHold.Seconds()}
	if service.Engine != nil {
		e.cache = newPromptCache(int(cacheShare * float64(service.Engine.MemoryTokens)))
	}
	return e
}

// Own returns the work that this instance has there.
func (e *Endpoint) Own() Work {
	return e.own
}

// Recent returns the shared parts of prompts that were sent there lately.
func (e *Endpoint) Recent(now time.Time) []Part {
	return e.recent.list(now)
}

// Others is what the other instances of the region tell of an endpoint.
type Others struct {
	// Work is the sum of what they have there.
	Work Work
	// Failures is the highest share of failures that one of them saw.
	Failures float64
	// Speed is in prompt tokens, and Pace in events of streams.
	Speed, Pace Measured
	// At is when the latest of them said so.
	At time.Time
}

// SetOthers takes in what the other instances tell.
func (e *Endpoint) SetOthers(o Others, now time.Time) {
	e.others, e.othersFailures, e.othersAt = o.Work, o.Failures, o.At
	e.speed.heard(o.Speed, now)
	e.pace.heard(o.Pace, now)
}

// Measured returns what this instance lately saw of the endpoint's speed, in prompt
// tokens, and of its pace, in events of streams.
func (e *Endpoint) Measured(now time.Time) (speed, pace Measured) {
	return e.speed.recent(now), e.pace.recent(now)
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

// Lost notes that no new connection to the endpoint could be opened.
func (e *Endpoint) Lost(now time.Time) {
	e.unreachable(now)
	e.suspect(now)
}

// Learn takes in the parts of prompts that another instance sent there.
func (e *Endpoint) Learn(parts []Part) {
	if e.cache != nil {
		e.cache.use(parts)
	}
}

// failing returns the share of failures that this or another instance sees.
func (e *Endpoint) failing(now time.Time) float64 {
	own := e.share(now)
	if now.Sub(e.othersAt) > othersMaxAge {
		return own
	}
	return max(own, e.othersFailures)
}

// isGrey reports whether the endpoint fails too much to be preferred.
func (e *Endpoint) isGrey(now time.Time) bool {
	return e.failing(now) > greyShare
}

// Failures returns the share of failures that this instance sees.
func (e *Endpoint) Failures(now time.Time) float64 {
	return e.share(now)
}

// work returns the work of all instances.
func (e *Endpoint) work(now time.Time) Work {
	if now.Sub(e.othersAt) > othersMaxAge {
		return e.own
	}
	return e.own.Add(e.others)
}

// IsCold reports whether the endpoint bears a limited rate only.
func (e *Endpoint) IsCold(now time.Time) bool {
	return e.coldRate > 0 && (now.Before(e.ColdUntil) || e.suspected(e.readAt, now))
}

// Usable reports whether new work may go there.
func (e *Endpoint) Usable(now time.Time) bool {
	if e.Drains || e.Evacuated || e.out(now) {
		return false
	}
	return !e.IsCold(now) || e.owned && e.cold.ready(e.coldRate, now)
}

// Speed returns the learnt speed in prompt tokens per second.
func (e *Endpoint) Speed() float64 {
	return e.speed.rate
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
	// first is the time to the first byte, in seconds, and wait the part of it
	// before the request's own prompt.
	first, wait float64
	// uncached and reread are the tokens to process, and those of them that other
	// requests share.
	uncached, reread int
	// rest is the time from the first byte to the last, in seconds.
	rest float64
	// full is set if neither slots nor memory have room.
	full bool
}

// predict estimates how a request of the band would fare.
func (e *Endpoint) predict(d *Demand, band Band, now time.Time) prediction {
	w := e.work(now)
	over := w.InFlight + 1 - e.slots()
	p := prediction{full: over > 0}
	if over > 0 {
		p.wait = float64(over) / float64(e.slots()) * e.hold
	}
	if e.engine == nil {
		p.first = p.wait + e.hold
		return p
	}
	cached := e.cache.cached(d.Parts)
	p.uncached = max(d.Tokens-cached, 0)
	p.reread = max(d.sharedTokens()-cached, 0)
	p.wait += w.ahead(band) / e.speed.rate
	if held := w.Held + float64(d.Tokens+d.Output); held > float64(e.engine.MemoryTokens) {
		// Requests over the memory are processed a second time later on.
		p.wait += (held - float64(e.engine.MemoryTokens)) / e.speed.rate
		p.full = true
	}
	p.first = p.wait + float64(p.uncached)/e.speed.rate + answerOverhead.Seconds()
	p.rest = float64(d.Output) / float64(max(e.engine.EventTokens, 1)) / e.pace.rate
	return p
}
