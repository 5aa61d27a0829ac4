package cwpolicy

import (
	"math/rand/v2"
	"time"
)

// Station decides for one pool where its requests go: to an endpoint now, to
// another domain, into the queue, or back to the caller. T is what the queue
// holds for its user.
type Station[T any] struct {
	*Pool
	// Queue holds the requests that wait for a free slot.
	Queue *Queue[T]
	// Spill decides what leaves the domain.
	Spill *Spill
}

// NewStation returns a station without endpoints.
func NewStation[T any]() *Station[T] {
	return &Station[T]{Pool: NewPool(), Queue: NewQueue[T](), Spill: NewSpill()}
}

// Verdict says what happens to a request.
type Verdict int

const (
	// Dispatch sends it to the endpoint of the choice.
	Dispatch Verdict = iota
	// Forward sends it to the chosen domain.
	Forward
	// Wait puts it into the queue.
	Wait
	// Refuse gives it up because its deadline can't be met.
	Refuse
	// NoRoute gives it up because no permitted place is reachable.
	NoRoute
)

// Decision is a verdict with its choice.
type Decision struct {
	// Verdict says what happens.
	Verdict Verdict
	// Choice is set for Dispatch.
	Choice Choice
	// Domain is the index of the domain for Forward.
	Domain int
}

// Arrival is a request that needs a place.
type Arrival struct {
	// Demand is what it needs.
	Demand *Demand
	// Avoid is an endpoint that failed it before.
	Avoid string
	// Deadline is when an answer is of no more use.
	Deadline time.Time
	// Region is that of this domain, and Places the permitted ones.
	Region string
	Places Places
	// Domains are the other domains that it may go to; none if no hop is left.
	Domains []DomainRoom
}

// Place decides on a request that has arrived, and counts a dispatch at its
// endpoint.
func (s *Station[T]) Place(a *Arrival, now time.Time, rng *rand.Rand) Decision {
	decision := s.Decide(a, now, rng)
	if decision.Verdict == Dispatch {
		s.OnDispatch(decision.Choice, a.Demand, now)
	}
	return decision
}

// Decide is Place without counting anything.
func (s *Station[T]) Decide(a *Arrival, now time.Time, rng *rand.Rand) Decision {
	home := a.Places.Allows(a.Region)
	choice, found := Choice{}, false
	if home {
		choice, found = s.Choose(a.Demand, a.Avoid, now, rng)
	}
	in := &SpillInput{
		Demand:   a.Demand,
		Home:     home,
		HasLocal: found,
		Local:    choice.FirstToken + s.Queue.Wait(),
		Region:   a.Region,
		Places:   a.Places,
		Domains:  a.Domains,
	}
	if domain := s.Spill.Decide(in, now, rng); domain >= 0 {
		return Decision{Verdict: Forward, Domain: domain}
	}
	if !found {
		return Decision{Verdict: NoRoute}
	}
	if choice.Free && s.Queue.Len() == 0 {
		return Decision{Verdict: Dispatch, Choice: choice}
	}
	if !s.Queue.Admit(a.Deadline.Add(-choice.FirstToken-reserve(choice, a.Deadline, now)), now) {
		return Decision{Verdict: Refuse}
	}
	return Decision{Verdict: Wait}
}

// reserveHolds is the number of mean holding times that must be left when a
// request is admitted to the queue, since holding times vary.
const reserveHolds = 2

// reserve returns the time to keep for the answer itself, at most half of what
// is left.
func reserve(c Choice, deadline, now time.Time) time.Duration {
	return min(reserveHolds*c.Hold, deadline.Sub(now)/2)
}

// Next takes the next waiting request that can be decided, or returns false if
// all must go on waiting. The verdict is Dispatch or Refuse.
func (s *Station[T]) Next(now time.Time, rng *rand.Rand) (T, Decision, bool) {
	var none T
	next, ok := s.Queue.Peek(now)
	if !ok {
		return none, Decision{}, false
	}
	choice, found := s.Choose(next.Demand, next.Avoid, now, rng)
	late := !now.Add(choice.FirstToken+choice.Hold).Before(next.Deadline) &&
		!now.Add(choice.FirstToken+next.Deadline.Sub(next.At)/2).Before(next.Deadline)
	hopeless := !found && s.Room(now).Endpoints == 0
	if !late && !hopeless && !(found && choice.Free) {
		return none, Decision{}, false
	}
	s.Queue.Pop(now)
	if late || hopeless {
		return next.Value, Decision{Verdict: Refuse}, true
	}
	s.OnDispatch(choice, next.Demand, now)
	return next.Value, Decision{Verdict: Dispatch, Choice: choice}, true
}
