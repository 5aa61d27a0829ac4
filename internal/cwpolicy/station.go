package cwpolicy

import (
	"math/rand/v2"
	"time"
)

// PoolScheduler decides for one pool where its requests go: to an endpoint now, to
// another domain, into the queue, or back to the caller. T is what the queue
// holds for its user.
type PoolScheduler[T any] struct {
	*Pool
	// Queue holds the requests that wait for a free slot.
	Queue *Queue[T]
	// Spillover decides what leaves the domain.
	Spillover *SpilloverPolicy
}

// NewPoolScheduler returns a station without endpoints.
func NewPoolScheduler[T any]() *PoolScheduler[T] {
	return &PoolScheduler[T]{Pool: NewPool(), Queue: NewQueue[T](), Spillover: NewSpilloverPolicy()}
}

// Action says what happens to a request.
type Action int

const (
	// ActionDispatch sends it to the endpoint of the choice.
	ActionDispatch Action = iota
	// ActionForward sends it to the chosen domain.
	ActionForward
	// ActionEnqueue puts it into the queue.
	ActionEnqueue
	// ActionRefuse gives it up because its deadline can't be met.
	ActionRefuse
	// ActionNoRoute gives it up because no permitted place is reachable.
	ActionNoRoute
)

// Decision is a verdict with its choice.
type Decision struct {
	// Action says what happens.
	Action Action
	// Choice is set for Dispatch.
	Choice EndpointChoice
	// Domain is the index of the domain for Forward.
	Domain int
}

// IncomingRequest is a request that needs a place.
type IncomingRequest struct {
	// Requirements is what it needs.
	Requirements *Requirements
	// ExcludedAddress is an endpoint that failed it before.
	ExcludedAddress string
	// Deadline is when an answer is of no more use.
	Deadline time.Time
	// Region is that of this domain, and Places the permitted ones.
	Region         string
	AllowedRegions AllowedRegions
	// Domains are the other domains that it may go to; none if no hop is left.
	Domains []DomainCapacity
}

// Place decides on a request that has arrived, and counts a dispatch at its
// endpoint.
func (s *PoolScheduler[T]) Place(a *IncomingRequest, now time.Time, rng *rand.Rand) Decision {
	decision := s.Decide(a, now, rng)
	if decision.Action == ActionDispatch {
		s.OnDispatch(decision.Choice, a.Requirements, now)
	}
	return decision
}

// Decide is Place without counting anything.
func (s *PoolScheduler[T]) Decide(a *IncomingRequest, now time.Time, rng *rand.Rand) Decision {
	home := a.AllowedRegions.Contains(a.Region)
	choice, found := EndpointChoice{}, false
	if home {
		choice, found = s.Choose(a.Requirements, a.ExcludedAddress, now, rng)
	}
	in := &SpilloverInput{
		Requirements:     a.Requirements,
		IsLocalAllowed:   home,
		HasLocalEndpoint: found,
		LocalFirstToken:  choice.PredictedFirstToken + s.Queue.PredictWait(),
		Region:           a.Region,
		AllowedRegions:   a.AllowedRegions,
		Domains:          a.Domains,
	}
	if domain := s.Spillover.ChooseDomain(in, now, rng); domain >= 0 {
		return Decision{Action: ActionForward, Domain: domain}
	}
	if !found {
		return Decision{Action: ActionNoRoute}
	}
	if choice.HasFreeSlot && s.Queue.Len() == 0 {
		return Decision{Action: ActionDispatch, Choice: choice}
	}
	if !s.Queue.CanAdmit(a.Deadline.Add(-choice.PredictedFirstToken-computeResponseReserve(choice, a.Deadline, now)), now) {
		return Decision{Action: ActionRefuse}
	}
	return Decision{Action: ActionEnqueue}
}

// reservedSlotTimes is the number of mean holding times that must be left when a
// request is admitted to the queue, since holding times vary.
const reservedSlotTimes = 2

// computeResponseReserve returns the time to keep for the answer itself, at most half of what
// is left.
func computeResponseReserve(c EndpointChoice, deadline, now time.Time) time.Duration {
	return min(reservedSlotTimes*c.MeanSlotTime, deadline.Sub(now)/2)
}

// PlaceNext takes the next waiting request that can be decided, or returns false if
// all must go on waiting. The verdict is Dispatch or Refuse.
func (s *PoolScheduler[T]) PlaceNext(now time.Time, rng *rand.Rand) (T, Decision, bool) {
	var none T
	next, ok := s.Queue.Peek(now)
	if !ok {
		return none, Decision{}, false
	}
	choice, found := s.Choose(next.Requirements, next.ExcludedAddress, now, rng)
	late := !now.Add(choice.PredictedFirstToken+choice.MeanSlotTime).Before(next.Deadline) &&
		!now.Add(choice.PredictedFirstToken+next.Deadline.Sub(next.ArrivedAt)/2).Before(next.Deadline)
	hopeless := !found && s.Capacity(now).Endpoints == 0
	if !late && !hopeless && !(found && choice.HasFreeSlot) {
		return none, Decision{}, false
	}
	s.Queue.Pop(now)
	if late || hopeless {
		return next.Value, Decision{Action: ActionRefuse}, true
	}
	s.OnDispatch(choice, next.Requirements, now)
	return next.Value, Decision{Action: ActionDispatch, Choice: choice}, true
}
