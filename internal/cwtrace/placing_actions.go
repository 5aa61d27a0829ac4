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
	e.Heard(s.Incarnation, s.Leaving, now)
	e.OnReport(cwpolicy.LoadReport{At: now, Running: s.Running, Slots: s.Slots, WaitingTokens: s.WaitingTokens})
	return ""
}

func endpointFailed(_ *world, i *instance, s *Step, now time.Time) string {
	e := i.station.Endpoint(s.Endpoint)
	e.Failed(now)
	e.OnFailure(now, 0)
	return ""
}

func room(_ *world, i *instance, s *Step, now time.Time) string {
	fresh := cwpolicy.DomainRoom{
		Room:   cwpolicy.Room{Endpoints: 1, Slots: s.Slots, Free: s.Slots - s.Running, SecondsPerToken: 1.0 / 4000},
		Domain: s.Domain, Region: s.Region, At: now, RoundTrip: 160 * time.Millisecond,
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
	d := &cwpolicy.Demand{
		Tokens: max(s.Tokens, 1), Target: time.Duration(s.TargetMillis) * time.Millisecond,
		Weights: cwservice.Weights{Tail: 1},
	}
	a := &cwpolicy.Arrival{
		Demand: d, Deadline: deadline, Region: s.Region, Places: cwpolicy.NewPlaces(s.Places, s.Home), Domains: i.rooms,
	}
	decision := i.station.Place(a, now, i.rng)
	switch decision.Verdict {
	case cwpolicy.Dispatch:
		return "dispatch " + decision.Choice.Endpoint.Address
	case cwpolicy.Forward:
		return "forward " + i.rooms[decision.Domain].Domain
	case cwpolicy.Wait:
		i.station.Queue.Push(cwpolicy.Waiting[string]{Value: s.Note, Class: cwservice.Interactive, Deadline: deadline, At: now, Demand: d})
		return "wait"
	case cwpolicy.Refuse:
		return "refuse"
	}
	return "noRoute"
}

// next asks what happens to the request at the head of the queue.
func next(_ *world, i *instance, _ *Step, now time.Time) string {
	_, decision, ok := i.station.Next(now, i.rng)
	if !ok {
		return "wait"
	}
	if decision.Verdict == cwpolicy.Refuse {
		return "refuse"
	}
	return "dispatch " + decision.Choice.Endpoint.Address
}

func places(_ *world, _ *instance, s *Step, _ time.Time) string {
	return strings.Join(cwpolicy.NewPlaces(s.Places, s.Home), ",")
}

// hop passes a request on and tells whether the budget allows it.
func hop(_ *world, i *instance, s *Step, _ time.Time) string {
	h := cwpolicy.NewHop(incarnationOf(i.name))
	if s.Hop != "" {
		var err error
		if h, err = cwpolicy.ParseHop(s.Hop); err != nil {
			return "malformed"
		}
	}
	kind := cwpolicy.HopServe
	if s.Kind == "ticket" {
		kind = cwpolicy.HopTicket
	}
	if _, err := h.Next(kind, incarnationOf(s.Member)); err != nil {
		return "stopped"
	}
	return "passed"
}
