package cwtrace

import (
	"strings"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

func applyLoadReport(_ *replayState, i *instanceState, s *Step, now time.Time) string {
	e := i.scheduler.Endpoint(s.Endpoint)
	if e == nil {
		e = cwpolicy.NewEndpoint(s.Endpoint, now)
		i.scheduler.Add(e)
	}
	e.RecordContact(s.Incarnation, s.IsLeaving, now)
	e.OnReport(cwpolicy.LoadReport{ReportedAt: now, RunningRequests: s.RunningRequests, Slots: s.Slots, WaitingTokens: s.WaitingTokens})
	return ""
}

func recordEndpointFailure(_ *replayState, i *instanceState, s *Step, now time.Time) string {
	e := i.scheduler.Endpoint(s.Endpoint)
	e.RecordContactFailure(now)
	e.OnFailure(now, 0)
	return ""
}

func applyDomainCapacity(_ *replayState, i *instanceState, s *Step, now time.Time) string {
	updated := cwpolicy.DomainCapacity{
		PoolCapacity: cwpolicy.PoolCapacity{Endpoints: 1, Slots: s.Slots, FreeSlots: s.Slots - s.RunningRequests, SecondsPerToken: 1.0 / 4000},
		Domain:       s.Domain, Region: s.Region, ReportedAt: now, RoundTrip: 160 * time.Millisecond,
	}
	for n := range i.remoteCapacities {
		if i.remoteCapacities[n].Domain == s.Domain {
			i.remoteCapacities[n] = updated
			return ""
		}
	}
	i.remoteCapacities = append(i.remoteCapacities, updated)
	return ""
}

func placeRequest(_ *replayState, i *instanceState, s *Step, now time.Time) string {
	deadline := now.Add(time.Duration(s.TimeoutMillis) * time.Millisecond)
	requirements := &cwpolicy.Requirements{
		PromptTokens: max(s.PromptTokens, 1), FirstTokenTarget: time.Duration(s.FirstTokenTargetMillis) * time.Millisecond,
		Weights: cwservice.Weights{Tail: 1},
	}
	incoming := &cwpolicy.IncomingRequest{
		Requirements: requirements, Deadline: deadline, Region: s.Region, AllowedRegions: cwpolicy.NewAllowedRegions(s.AllowedRegions, s.Home), Domains: i.remoteCapacities,
	}
	decision := i.scheduler.Place(incoming, now, i.rng)
	switch decision.Action {
	case cwpolicy.ActionDispatch:
		return "dispatch " + decision.Choice.Endpoint.Address
	case cwpolicy.ActionForward:
		return "forward " + i.remoteCapacities[decision.Domain].Domain
	case cwpolicy.ActionEnqueue:
		i.scheduler.Queue.Push(cwpolicy.QueuedRequest[string]{Value: s.Note, Class: cwservice.Interactive, Deadline: deadline, ArrivedAt: now, Requirements: requirements})
		return "wait"
	case cwpolicy.ActionRefuse:
		return "refuse"
	}
	return "noRoute"
}

// placeNextQueued makes the placement decision for the request at the head of the queue.
func placeNextQueued(_ *replayState, i *instanceState, _ *Step, now time.Time) string {
	_, decision, ok := i.scheduler.PlaceNext(now, i.rng)
	if !ok {
		return "wait"
	}
	if decision.Action == cwpolicy.ActionRefuse {
		return "refuse"
	}
	return "dispatch " + decision.Choice.Endpoint.Address
}

func listAllowedRegions(_ *replayState, _ *instanceState, s *Step, _ time.Time) string {
	return strings.Join(cwpolicy.NewAllowedRegions(s.AllowedRegions, s.Home), ",")
}

// spendHop forwards a request to a member and returns whether its hop budget allows
// that.
func spendHop(_ *replayState, i *instanceState, s *Step, _ time.Time) string {
	budget := cwpolicy.NewHopBudget(incarnationOf(i.name))
	if s.HopBudget != "" {
		var err error
		if budget, err = cwpolicy.ParseHopBudget(s.HopBudget); err != nil {
			return "malformed"
		}
	}
	kind := cwpolicy.HopServe
	if s.HopKind == "ticket" {
		kind = cwpolicy.HopTicket
	}
	if _, err := budget.Spend(kind, incarnationOf(s.Member)); err != nil {
		return "stopped"
	}
	return "passed"
}
