package cwtrial

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// instance is one entry instance under the trial's policy.
type instance struct {
	*trial
	region  int
	rng     *rand.Rand
	station *cwpolicy.PoolScheduler[*request]
	fakes   map[string]*fakeEndpoint
	rooms   []cwpolicy.DomainCapacity
	next    int
	own     map[*fakeEndpoint]int
	seen    map[*fakeEndpoint]cwpolicy.LoadReport
	bad     map[*fakeEndpoint]time.Time
	pumping bool
}

func newInstance(t *trial, region int, seed uint64) *instance {
	i := &instance{
		trial: t, region: region, rng: rand.New(rand.NewPCG(seed, 3)),
		station: cwpolicy.NewPoolScheduler[*request](), fakes: make(map[string]*fakeEndpoint),
		own: make(map[*fakeEndpoint]int), seen: make(map[*fakeEndpoint]cwpolicy.LoadReport), bad: make(map[*fakeEndpoint]time.Time),
	}
	for _, e := range t.endpoints {
		if e.domain == region {
			i.fakes[e.address] = e
			i.station.Add(cwpolicy.NewEndpoint(e.address, t.loop.now))
		}
	}
	return i
}

func (i *instance) onReport(e *fakeEndpoint, r cwpolicy.LoadReport) {
	if i.cut(i.region, e.domain) {
		return
	}
	i.seen[e] = r
	if e.domain != i.region {
		return
	}
	p := i.station.Endpoint(e.address)
	p.RecordContact(1, false, i.loop.now)
	p.OnReport(r)
	i.pump()
}

// scheduleSummaries hears from each other domain every two seconds, half a round
// trip late.
func (i *instance) scheduleSummaries() {
	var hear func()
	hear = func() {
		for _, other := range i.instances {
			if other.region == i.region || i.lost(other.region) || i.cut(i.region, other.region) {
				continue
			}
			room := other.station.Capacity(i.loop.now)
			room.WaitSeconds += other.station.Queue.PredictWait().Seconds()
			at := i.loop.now
			i.loop.after(i.RoundTrip/2, func() { i.setRoom(other.region, room, at) })
		}
		if i.since() < trialTime {
			i.loop.after(summaryEvery, hear)
		}
	}
	i.loop.after(time.Duration(i.rng.Int64N(int64(summaryEvery))), hear)
}

func (i *instance) setRoom(region int, room cwpolicy.PoolCapacity, at time.Time) {
	name := strconv.Itoa(region)
	fresh := cwpolicy.DomainCapacity{PoolCapacity: room, Domain: name, Region: name, ReportedAt: at, RoundTrip: i.RoundTrip}
	for n := range i.rooms {
		if i.rooms[n].Domain == name {
			if at.Sub(i.rooms[n].ReportedAt) > returnGap {
				i.station.Spillover.OnDomainRecovered(name, i.loop.now)
			}
			i.rooms[n] = fresh
			return
		}
	}
	i.rooms = append(i.rooms, fresh)
}

// returnGap is the silence after which a domain counts as returned.
const returnGap = 10 * time.Second

func (i *instance) place(r *request) {
	if !i.policy.isGateway() {
		i.placeBaseline(r)
		return
	}
	i.placeHere(r, true)
}

// placeHere runs the gateway's decision. A request that was passed on stays.
func (i *instance) placeHere(r *request, mayLeave bool) {
	a := &cwpolicy.IncomingRequest{
		Requirements: i.demandOf(r), Deadline: r.arrived.Add(i.Deadline), Region: strconv.Itoa(i.region), AllowedRegions: i.places(),
	}
	if mayLeave && i.policy != NoSpill {
		a.Domains = i.rooms
	}
	d := i.station.Place(a, i.loop.now, i.rng)
	switch d.Action {
	case cwpolicy.ActionDispatch:
		i.dispatch(r, d.Choice)
	case cwpolicy.ActionForward:
		i.forward(r, d.Domain)
	case cwpolicy.ActionEnqueue:
		i.station.Queue.Push(cwpolicy.QueuedRequest[*request]{
			Value: r, Class: cwservice.Interactive, Account: strconv.Itoa(r.account),
			Deadline: a.Deadline, ArrivedAt: i.loop.now, Requirements: a.Requirements,
		})
		i.startPump()
	default:
		i.refuse()
	}
}

func (i *instance) places() cwpolicy.AllowedRegions {
	places := make(cwpolicy.AllowedRegions, i.Regions)
	for n := range places {
		places[n] = strconv.Itoa(n)
	}
	return places
}

// forward passes a request on; the other domain may turn it back.
func (i *instance) forward(r *request, domain int) {
	i.rooms[domain].SentSinceReport++
	region, _ := strconv.Atoi(i.rooms[domain].Domain)
	exit := i.instances[region*i.InstancesPer+i.rng.IntN(i.InstancesPer)]
	if i.lost(region) || i.cut(i.region, region) {
		i.loop.after(cutDialFailed, func() { i.rooms[domain].Endpoints = 0; i.retry(r) })
		return
	}
	i.loop.after(i.RoundTrip/2, func() {
		if exit.station.Queue.Len() > 0 || !cwpolicy.AcceptsSpillover(exit.station.Capacity(i.loop.now)) {
			i.loop.after(i.RoundTrip/2, func() { i.placeHere(r, false) })
			return
		}
		exit.placeHere(r, false)
	})
}

func (i *instance) dispatch(r *request, c cwpolicy.EndpointChoice) {
	sent := i.loop.now
	e := c.Endpoint
	begun := false
	i.send(r, i.region, i.fakes[e.Address], observer{
		first: func() {
			begun = true
			e.OnFirstToken(&c, i.loop.now.Sub(sent), i.loop.now)
		},
		ended: func() {
			e.OnEnd(0, i.loop.now.Sub(sent), i.loop.now)
			e.OnSuccess(i.loop.now)
			i.pump()
		},
		failed: func() {
			if begun {
				e.OnEnd(0, i.loop.now.Sub(sent), i.loop.now)
			} else {
				e.OnEnd(c.UncachedTokens, 0, i.loop.now)
			}
			e.OnFailure(i.loop.now, i.rng.Float64())
			e.RecordContactFailure(i.loop.now)
			i.pump()
		},
	})
}

func (i *instance) startPump() {
	if i.pumping {
		return
	}
	i.pumping = true
	i.loop.after(pumpEvery, func() {
		i.pumping = false
		i.pump()
		if i.station.Queue.Len() > 0 {
			i.startPump()
		}
	})
}

func (i *instance) pump() {
	for {
		r, d, ok := i.station.PlaceNext(i.loop.now, i.rng)
		if !ok {
			return
		}
		if d.Action == cwpolicy.ActionDispatch {
			i.dispatch(r, d.Choice)
			continue
		}
		i.refuse()
	}
}
