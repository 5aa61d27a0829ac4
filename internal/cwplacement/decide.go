package cwplacement

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	// relayGain is how much better another region must be before a request leaves.
	relayGain = 0.95
	// comfortable is the share of the target up to which a request stays without a
	// look at other regions. Predictions are rough, and a region that is filled to
	// its target has no room for what it doesn't foresee.
	comfortable = 0.6
	// inTime is the share of the target up to which a request counts as in time.
	inTime = 0.85
	// leftShare is the part of the time left within which the first byte of a late
	// answer must come, so that the rest of it fits too.
	leftShare = 0.7
	// wholeShare is the part of the time to the deadline within which a late answer
	// must be whole: one that is cut off has taken capacity for nothing.
	wholeShare = 0.85
	// minRetryAfter and maxRetryAfter bound when a refused caller is asked back.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 6 * time.Second
	// returnSpread spreads the callers that come back.
	returnSpread = 0.5
	// noPlaceRetry is when to come back if no endpoint is in reach at all.
	noPlaceRetry = 4000 * time.Millisecond
	// startingRetry is when to come back to an instance that does not know the places of
	// other regions yet: it asks them within some exchanges of its start.
	startingRetry = time.Second
)

// Ask is a request that needs a place.
type Ask struct {
	Demand
	// Priority is that of the route; 0 is the most urgent.
	Priority int
	// Tried reports whether an endpoint had the request before.
	Tried func(id string) bool
	// Here is set if the request may be served in this region.
	Here bool
	// Rooms are the permitted other regions.
	Rooms []cwpolicy.DomainRoom
	// Relayed is set if another instance sent the request: it goes no further.
	Relayed bool
	// Starting is set while this instance may not know all other regions yet.
	Starting bool
	// Avoid are domains that turned the request back.
	Avoid func(domain string) bool
}

// option is a place for a request with what is expected there.
type option struct {
	endpoint *Endpoint
	room     *cwpolicy.DomainRoom
	band     Band
	forecast prediction
	// cost is the time to the first byte and the weighed time to read shared parts again.
	cost float64
}

// Decide finds a place for a request, and counts it there: in the region that holds the
// shared parts of its prompt, else in this region in time, else in another region in
// time, else late with what the requests in time leave.
func (p *Pool) Decide(a *Ask, now time.Time) Decision {
	d := Decision{Local: -1, Away: -1}
	band := bandOf(a.Priority)
	var local, away option
	if a.Here {
		local = p.bestLocal(a, band, now)
	}
	if local.endpoint != nil {
		d.Local = seconds(local.forecast.first)
	}
	holder := p.holder(a, now)
	if held := p.heldAway(a, &local, holder, now); held.room != nil {
		d.Away = seconds(held.forecast.first)
		return p.relay(d, held, "held")
	}
	if local.endpoint != nil && a.within(comfortable, local.forecast.first) && !local.endpoint.isGrey(now) {
		return p.send(d, a, local, "local", now)
	}
	away = p.bestRoom(a, "", holder, now)
	if away.room != nil {
		d.Away = seconds(away.forecast.first)
		if p.leaves(a, &local, &away, now) {
			return p.relay(d, away, "away")
		}
	}
	if local.endpoint != nil {
		return p.sendLate(d, a, local, now)
	}
	if a.Starting {
		return p.refuse(d, startingRetry, "noPlace")
	}
	return p.refuse(d, noPlaceRetry, "noPlace")
}

// within reports whether a request that takes so many more seconds to its first byte
// uses at most a share of its target.
func (a *Ask) within(share, first float64) bool {
	return a.Elapsed.Seconds()+first <= share*a.Target.Seconds()
}

// bearable reports whether a late answer is still of use: its first byte comes before
// the caller leaves, and its last one before the deadline.
func (a *Ask) bearable(f prediction) bool {
	return f.first <= leftShare*a.Left.Seconds() && a.fits(f)
}

// fits reports whether the whole answer is expected before the deadline.
func (a *Ask) fits(f prediction) bool {
	return a.Whole == 0 || f.first+f.rest <= wholeShare*a.Whole.Seconds()
}

// leaves decides whether a request that would be late here goes to another region.
func (p *Pool) leaves(a *Ask, local, away *option, now time.Time) bool {
	if local.endpoint == nil {
		return a.bearable(away.forecast)
	}
	if local.endpoint.isGrey(now) && away.room.Failures < greyShare {
		return true
	}
	return a.within(inTime, away.forecast.first) && away.cost < relayGain*local.cost
}

// sendLate sends a request that can't be in time, unless even that is of no use.
func (p *Pool) sendLate(d Decision, a *Ask, local option, now time.Time) Decision {
	if a.within(inTime, local.forecast.first) {
		return p.send(d, a, local, "local", now)
	}
	late := p.bestLocal(a, Late, now)
	if !a.bearable(late.forecast) {
		return p.refuse(d, seconds(local.forecast.first)-a.Target/2, "overload")
	}
	d.Local = seconds(late.forecast.first)
	return p.send(d, a, late, "late", now)
}

func (p *Pool) bestLocal(a *Ask, band Band, now time.Time) option {
	e, f := p.best(&a.Demand, band, a.Tried, now)
	o := option{endpoint: e, band: band, forecast: f}
	if e != nil {
		o.cost = f.first + rereadCost*float64(f.reread)/e.speed.rate
	}
	return o
}

func (p *Pool) send(d Decision, a *Ask, o option, reason string, now time.Time) Decision {
	d.Verdict, d.Reason, d.Rest = Send, reason, seconds(o.forecast.rest)
	d.Ticket = o.endpoint.place(&a.Demand, o.band, o.forecast, now)
	return d
}

// heldAway returns the place of the request in the region that holds the shared parts
// of its prompt, if that is another one, does not fail much, and saves more than it costs.
func (p *Pool) heldAway(a *Ask, local *option, holder string, now time.Time) option {
	if local.endpoint == nil || local.forecast.reread == 0 || holder == "" || holder == local.endpoint.Region {
		return option{}
	}
	away := p.bestRoom(a, holder, holder, now)
	if away.room == nil || away.room.Failures >= greyShare || !a.within(inTime, away.forecast.first) || away.forecast.first > local.cost {
		return option{}
	}
	return away
}

// bestRoom returns the room with the lowest cost, of one region or, if that is empty, of
// all. Holder is the region that has the shared parts.
func (p *Pool) bestRoom(a *Ask, region, holder string, now time.Time) option {
	var best option
	if a.Relayed {
		return best
	}
	for i := range a.Rooms {
		r := &a.Rooms[i]
		if region != "" && r.Region != region || !believable(r, now) || a.Avoid(r.Domain) {
			continue
		}
		tokens := awayTokens(&a.Demand, r.Region == holder)
		first := roomFirst(r, &a.Demand, tokens, p.sentSince(r), now)
		reread := tokens - float64(a.Tokens-a.sharedTokens())
		cost := first + rereadCost*reread*r.SecondsPerToken
		if best.room == nil || cost < best.cost {
			best.room, best.cost, best.forecast.first, best.forecast.uncached = r, cost, first, int(tokens)
		}
	}
	return best
}

func (p *Pool) sentSince(r *cwpolicy.DomainRoom) Work {
	if s := p.sent[r.Domain]; s.at.Equal(r.At) {
		return s.work
	}
	return Work{}
}

func (p *Pool) relay(d Decision, o option, reason string) Decision {
	r := o.room
	work := Work{InFlight: 1}
	work.Queued[Normal] = float64(o.forecast.uncached)
	work = p.sentSince(r).Add(work)
	p.sent[r.Domain] = sentWork{work: work, at: r.At}
	d.Verdict, d.Domain, d.Reason = Relay, r.Domain, reason
	return d
}

func (p *Pool) refuse(d Decision, after time.Duration, reason string) Decision {
	d.Verdict, d.Reason = Refuse, reason
	d.RetryAfter = RetryAfter(after, p.rng.Float64())
	return d
}

// RetryAfter returns when a refused caller should come back. The spread in [0,1)
// keeps refused callers from returning together.
func RetryAfter(after time.Duration, spread float64) time.Duration {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return after + time.Duration(returnSpread*spread*float64(after))
}
