package cwtrace

import (
	"strings"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

func endpoint(_ *world, i *instance, s *Step, now time.Time) string {
	e := i.station.Endpoint(s.Endpoint)
	if e == nil {
		e = cwpolicy.NewEndpoint(s.Endpoint, now)
		i.station.Add(e)
	}
	e.RecordContact(s.Incarnation, s.Leaving, now)
	e.OnReport(cwpolicy.LoadReport{ReportedAt: now, RunningRequests: s.Running, Slots: s.Slots, WaitingTokens: s.WaitingTokens})
	return ""
}

func endpointFailed(_ *world, i *instance, s *Step, now time.Time) string {
	e := i.station.Endpoint(s.Endpoint)
	e.RecordContactFailure(now)
	e.OnFailure(now, 0)
	return ""
}

func room(_ *world, i *instance, s *Step, now time.Time) string {
	fresh := cwpolicy.DomainCapacity{
		PoolCapacity: cwpolicy.PoolCapacity{Endpoints: 1, Slots: s.Slots, FreeSlots: s.Slots - s.Running, SecondsPerToken: 1.0 / 4000},
		Domain:       s.Domain, Region: s.Region, ReportedAt: now, RoundTrip: 160 * time.Millisecond,
	}
	for n := range i.rooms {
		if i.rooms[n].Domain == s.Domain {
			i.rooms[n] = fresh
			return ""
		}
	}
	i.rooms = append(i.rooms, fresh)
	return ""
}

func place(_ *world, i *instance, s *Step, now time.Time) string {
	deadline := now.Add(time.Duration(s.DeadlineMillis) * time.Millisecond)
	d := &cwpolicy.Requirements{
		PromptTokens: max(s.Tokens, 1), FirstTokenTarget: time.Duration(s.TargetMillis) * time.Millisecond,
		Weights: cwservice.Weights{Tail: 1},
	}
	a := &cwpolicy.IncomingRequest{
		Requirements: d, Deadline: deadline, Region: s.Region, AllowedRegions: cwpolicy.NewAllowedRegions(s.Places, s.Home), Domains: i.rooms,
	}
	decision := i.station.Place(a, now, i.rng)
	switch decision.Action {
	case cwpolicy.ActionDispatch:
		return "dispatch " + decision.Choice.Endpoint.Address
	case cwpolicy.ActionForward:
		return "forward " + i.rooms[decision.Domain].Domain
	case cwpolicy.ActionEnqueue:
		i.station.Queue.Push(cwpolicy.QueuedRequest[string]{Value: s.Note, Class: cwservice.Interactive, Deadline: deadline, ArrivedAt: now, Requirements: d})
		return "wait"
	case cwpolicy.ActionRefuse:
		return "refuse"
	}
	return "noRoute"
}

// next asks what happens to the request at the head of the queue.
func next(_ *world, i *instance, _ *Step, now time.Time) string {
	_, decision, ok := i.station.PlaceNext(now, i.rng)
	if !ok {
		return "wait"
	}
	if decision.Action == cwpolicy.ActionRefuse {
		return "refuse"
	}
	return "dispatch " + decision.Choice.Endpoint.Address
}

func places(_ *world, _ *instance, s *Step, _ time.Time) string {
	return strings.Join(cwpolicy.NewAllowedRegions(s.Places, s.Home), ",")
}

// hop passes a request on and tells whether the budget allows it.
func hop(_ *world, i *instance, s *Step, _ time.Time) string {
	h := cwpolicy.NewHopBudget(incarnationOf(i.name))
	if s.Hop != "" {
		var err error
		if h, err = cwpolicy.ParseHopBudget(s.Hop); err != nil {
			return "malformed"
		}
	}
	kind := cwpolicy.HopServe
	if s.Kind == "ticket" {
		kind = cwpolicy.HopTicket
	}
	if _, err := h.Spend(kind, incarnationOf(s.Member)); err != nil {
		return "stopped"
	}
	return "passed"
}
