package cwpolicy

import (
	"math/rand/v2"
	"time"
)

// PoolScheduler decides what happens to the requests of one pool: dispatch to an
// endpoint, forwarding to another domain, queueing or refusal. T is the type of the
// values in the queue.
type PoolScheduler[T any] struct {
	*Pool
	// Queue holds the requests that are waiting for a free slot.
	Queue *Queue[T]
	// Spillover decides which requests are forwarded to other domains.
	Spillover *SpilloverPolicy
}

// NewPoolScheduler returns a scheduler for a pool without endpoints.
func NewPoolScheduler[T any]() *PoolScheduler[T] {
	return &PoolScheduler[T]{Pool: NewPool(), Queue: NewQueue[T](), Spillover: NewSpilloverPolicy()}
}

// Action is the action taken on a request.
type Action int

const (
	// ActionDispatch sends the request to the chosen endpoint.
	ActionDispatch Action = iota
	// ActionForward forwards the request to the chosen domain.
	ActionForward
	// ActionEnqueue adds the request to the queue.
	ActionEnqueue
	// ActionRefuse refuses the request because the queue is full, its deadline cannot
	// be met or, if it was queued, no endpoint is usable any more.
	ActionRefuse
	// ActionNoRoute refuses the request because no endpoint of this domain can be
	// selected and no other domain can take it.
	ActionNoRoute
)

// Decision is an action with its destination.
type Decision struct {
	// Action is the action taken.
	Action Action
	// Choice is the chosen endpoint for ActionDispatch.
	Choice EndpointChoice
	// Domain is the index of the chosen domain for ActionForward.
	Domain int
}

// IncomingRequest is a request that has not been placed yet.
type IncomingRequest struct {
	// Requirements describes the request.
	Requirements *Requirements
	// ExcludedAddress is the address of an endpoint that already failed the request, or
	// empty.
	ExcludedAddress string
	// Deadline is the time after which a response is of no use.
	Deadline time.Time
	// Region is the region of this domain, and AllowedRegions are those in which the
	// request may be served.
	Region         string
	AllowedRegions AllowedRegions
	// Domains are the other domains to which the request may be forwarded; none if no
	// hop is left.
	Domains []DomainCapacity
}

// Place decides on an incoming request. For ActionDispatch it also counts the
// dispatch at the endpoint. For ActionEnqueue the caller adds the request to Queue.
func (s *PoolScheduler[T]) Place(request *IncomingRequest, now time.Time, rng *rand.Rand) Decision {
	decision := s.Decide(request, now, rng)
	if decision.Action == ActionDispatch {
		s.OnDispatch(decision.Choice, request.Requirements, now)
	}
	return decision
}

// Decide decides on an incoming request like Place, but counts no dispatch.
func (s *PoolScheduler[T]) Decide(request *IncomingRequest, now time.Time, rng *rand.Rand) Decision {
	isLocalAllowed := request.AllowedRegions.Contains(request.Region)
	choice, hasEndpoint := EndpointChoice{}, false
	if isLocalAllowed {
		choice, hasEndpoint = s.Choose(request.Requirements, request.ExcludedAddress, now, rng)
	}
	in := &SpilloverInput{
		Requirements:     request.Requirements,
		IsLocalAllowed:   isLocalAllowed,
		HasLocalEndpoint: hasEndpoint,
		LocalFirstToken:  choice.PredictedFirstToken + s.Queue.PredictWait(),
		Region:           request.Region,
		AllowedRegions:   request.AllowedRegions,
		Domains:          request.Domains,
	}
	if domain := s.Spillover.ChooseDomain(in, now, rng); domain >= 0 {
		return Decision{Action: ActionForward, Domain: domain}
	}
	if !hasEndpoint {
		return Decision{Action: ActionNoRoute}
	}
	if choice.HasFreeSlot && s.Queue.Len() == 0 {
		return Decision{Action: ActionDispatch, Choice: choice}
	}
	if !s.Queue.CanAdmit(request.Deadline.Add(-choice.PredictedFirstToken-computeResponseReserve(choice, request.Deadline, now)), now) {
		return Decision{Action: ActionRefuse}
	}
	return Decision{Action: ActionEnqueue}
}

// reservedSlotTimes is the number of mean slot times that must be left when a
// request is admitted to the queue. It is more than one because slot times vary.
const reservedSlotTimes = 2

// computeResponseReserve returns the time to reserve for the response itself, at
// most half of the time to the deadline.
func computeResponseReserve(choice EndpointChoice, deadline, now time.Time) time.Duration {
	return min(reservedSlotTimes*choice.MeanSlotTime, deadline.Sub(now)/2)
}

// PlaceNext removes and decides the next queued request, or returns false if it must
// wait longer or the queue is empty. The action is ActionDispatch or ActionRefuse.
func (s *PoolScheduler[T]) PlaceNext(now time.Time, rng *rand.Rand) (T, Decision, bool) {
	var none T
	next, ok := s.Queue.Peek(now)
	if !ok {
		return none, Decision{}, false
	}
	choice, hasEndpoint := s.Choose(next.Requirements, next.ExcludedAddress, now, rng)
	// At most half of the time from arrival to deadline is reserved for the response.
	isLate := !now.Add(choice.PredictedFirstToken+choice.MeanSlotTime).Before(next.Deadline) &&
		!now.Add(choice.PredictedFirstToken+next.Deadline.Sub(next.ArrivedAt)/2).Before(next.Deadline)
	isUnservable := !hasEndpoint && s.Capacity(now).Endpoints == 0
	if !isLate && !isUnservable && !(hasEndpoint && choice.HasFreeSlot) {
		return none, Decision{}, false
	}
	s.Queue.Pop(now)
	if isLate || isUnservable {
		return next.Value, Decision{Action: ActionRefuse}, true
	}
	s.OnDispatch(choice, next.Requirements, now)
	return next.Value, Decision{Action: ActionDispatch, Choice: choice}, true
}
