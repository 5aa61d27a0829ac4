package cwplacement

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	// relayGain is how much better another region must be before a request that
	// would be in time here leaves.
	relayGain = 0.6
	// inTime is the share of the target that a prediction may use up and still
	// count as in time; predictions are rough.
	inTime = 0.85
	// lateBound is the multiple of the target up to which a late answer is still
	// worth its work. Beyond it a request would take capacity from others.
	lateBound = 2.0
	// leftShare is the part of the time left within which the first byte must
	// come, so that the rest of the answer fits too.
	leftShare = 0.7
	// minRetryAfter and maxRetryAfter bound when a refused caller is asked back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// returnSpread spreads the callers that come back.
	returnSpread = 0.5
	// noPlaceRetry is when to come back if no endpoint is in reach at all.
	noPlaceRetry = 500 * time.Millisecond
)

// Ask is a request that needs a place.
type Ask struct {
	Demand
	// Tried reports whether an endpoint had the request before.
	Tried func(id string) bool
	// Here is set if the request may be served in this region.
	Here bool
	// Rooms are the permitted other regions.
	Rooms []cwpolicy.DomainRoom
	// Relayed is set if another instance sent the request: it goes no further.
	Relayed bool
	// Avoid are domains that turned the request back.
	Avoid func(domain string) bool
}

// Decide finds a place for a request, and counts it there.
func (p *Pool) Decide(a *Ask, now time.Time) Decision {
	var local *Endpoint
	var f prediction
	if a.Here {
		local, f = p.best(&a.Demand, a.Tried, now)
	}
	away, awayFirst := p.bestRoom(a, now)
	d := Decision{Local: -1, Away: -1}
	if local != nil {
		d.Local = seconds(f.first)
	}
	if away != nil {
		d.Away = seconds(awayFirst)
	}
	if local == nil && away == nil {
		return p.refuse(d, noPlaceRetry, "noPlace")
	}
	if local == nil || away != nil && p.leave(a, local, f, away, awayFirst, now) {
		if awayFirst > p.bound(a) {
			return p.refuse(d, seconds(awayFirst)-a.Target/2, "overload")
		}
		return p.relay(d, a, away)
	}
	if f.first > p.bound(a) {
		return p.refuse(d, seconds(f.first)-a.Target/2, "overload")
	}
	d.Verdict, d.Reason = Send, "local"
	d.Ticket = local.place(&a.Demand, f, now)
	return d
}

// leave decides whether a request that could be served here goes to another
// region.
func (p *Pool) leave(a *Ask, local *Endpoint, f prediction, away *cwpolicy.DomainRoom, awayFirst float64, now time.Time) bool {
	if local.grey(now) && away.Failures < greyShare {
		return true
	}
	if f.first+a.Elapsed.Seconds() <= inTime*a.Target.Seconds() {
		return false
	}
	return awayFirst < relayGain*f.first
}

// bound is the longest predicted time to the first byte with which a request is
// still sent, in seconds.
func (p *Pool) bound(a *Ask) float64 {
	return min(lateBound*a.Target.Seconds(), leftShare*a.Left.Seconds())
}

func (p *Pool) bestRoom(a *Ask, now time.Time) (*cwpolicy.DomainRoom, float64) {
	if a.Relayed {
		return nil, 0
	}
	var best *cwpolicy.DomainRoom
	lowest := 0.0
	for i := range a.Rooms {
		r := &a.Rooms[i]
		if !believable(r, now) || a.Avoid(r.Domain) {
			continue
		}
		first := roomFirst(r, &a.Demand, p.sentSince(r), now)
		if best == nil || first < lowest {
			best, lowest = r, first
		}
	}
	return best, lowest
}

func (p *Pool) sentSince(r *cwpolicy.DomainRoom) Work {
	if s := p.sent[r.Domain]; s.at.Equal(r.At) {
		return s.work
	}
	return Work{}
}

func (p *Pool) relay(d Decision, a *Ask, r *cwpolicy.DomainRoom) Decision {
	work := p.sentSince(r).Add(Work{Queued: float64(a.Tokens), InFlight: 1})
	p.sent[r.Domain] = sentWork{work: work, at: r.At}
	d.Verdict, d.Domain, d.Reason = Relay, r.Domain, "away"
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
