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
	region             int
	rng                *rand.Rand
	scheduler          *cwpolicy.PoolScheduler[*request]
	endpointsByAddress map[string]*fakeEndpoint
	remoteCapacities   []cwpolicy.DomainCapacity
	roundRobinIndex    int
	inFlight           map[*fakeEndpoint]int
	lastReports        map[*fakeEndpoint]cwpolicy.LoadReport
	excludedUntil      map[*fakeEndpoint]time.Time
	isQueueScheduled   bool
}

func newInstance(t *trial, region int, seed uint64) *instance {
	i := &instance{
		trial: t, region: region, rng: rand.New(rand.NewPCG(seed, 3)),
		scheduler: cwpolicy.NewPoolScheduler[*request](), endpointsByAddress: make(map[string]*fakeEndpoint),
		inFlight: make(map[*fakeEndpoint]int), lastReports: make(map[*fakeEndpoint]cwpolicy.LoadReport), excludedUntil: make(map[*fakeEndpoint]time.Time),
	}
	for _, e := range t.endpoints {
		if e.domain == region {
			i.endpointsByAddress[e.address] = e
			i.scheduler.Add(cwpolicy.NewEndpoint(e.address, t.loop.now))
		}
	}
	return i
}

func (i *instance) onReport(e *fakeEndpoint, r cwpolicy.LoadReport) {
	if i.isPartitioned(i.region, e.domain) {
		return
	}
	i.lastReports[e] = r
	if e.domain != i.region {
		return
	}
	p := i.scheduler.Endpoint(e.address)
	p.RecordContact(1, false, i.loop.now)
	p.OnReport(r)
	i.processQueue()
}

// scheduleSummaries hears from each other domain every two seconds, half a round
// trip late.
func (i *instance) scheduleSummaries() {
	var hear func()
	hear = func() {
		for _, other := range i.instances {
			if other.region == i.region || i.hasOutage(other.region) || i.isPartitioned(i.region, other.region) {
				continue
			}
			room := other.scheduler.Capacity(i.loop.now)
			room.WaitSeconds += other.scheduler.Queue.PredictWait().Seconds()
			at := i.loop.now
			i.loop.schedule(i.RoundTrip/2, func() { i.setRemoteCapacity(other.region, room, at) })
		}
		if i.elapsed() < arrivalPeriod {
			i.loop.schedule(summaryInterval, hear)
		}
	}
	i.loop.schedule(time.Duration(i.rng.Int64N(int64(summaryInterval))), hear)
}

func (i *instance) setRemoteCapacity(region int, room cwpolicy.PoolCapacity, at time.Time) {
	name := strconv.Itoa(region)
	fresh := cwpolicy.DomainCapacity{PoolCapacity: room, Domain: name, Region: name, ReportedAt: at, RoundTrip: i.RoundTrip}
	for n := range i.remoteCapacities {
		if i.remoteCapacities[n].Domain == name {
			if at.Sub(i.remoteCapacities[n].ReportedAt) > domainReturnGap {
				i.scheduler.Spillover.OnDomainRecovered(name, i.loop.now)
			}
			i.remoteCapacities[n] = fresh
			return
		}
	}
	i.remoteCapacities = append(i.remoteCapacities, fresh)
}

// domainReturnGap is the silence after which a domain counts as returned.
const domainReturnGap = 10 * time.Second

func (i *instance) place(r *request) {
	if !i.policy.isGateway() {
		i.placeBaseline(r)
		return
	}
	i.placeWithScheduler(r, true)
}

// placeWithScheduler runs the gateway's decision. A request that was passed on stays.
func (i *instance) placeWithScheduler(r *request, mayLeave bool) {
	a := &cwpolicy.IncomingRequest{
		Requirements: i.requirementsOf(r), Deadline: r.arrivedAt.Add(i.RequestTimeout), Region: strconv.Itoa(i.region), AllowedRegions: i.allowedRegions(),
	}
	if mayLeave && i.policy != NoSpillover {
		a.Domains = i.remoteCapacities
	}
	d := i.scheduler.Place(a, i.loop.now, i.rng)
	switch d.Action {
	case cwpolicy.ActionDispatch:
		i.dispatch(r, d.Choice)
	case cwpolicy.ActionForward:
		i.forward(r, d.Domain)
	case cwpolicy.ActionEnqueue:
		i.scheduler.Queue.Push(cwpolicy.QueuedRequest[*request]{
			Value: r, Class: cwservice.Interactive, Account: strconv.Itoa(r.account),
			Deadline: a.Deadline, ArrivedAt: i.loop.now, Requirements: a.Requirements,
		})
		i.scheduleQueue()
	default:
		i.recordRefusal()
	}
}

func (i *instance) allowedRegions() cwpolicy.AllowedRegions {
	places := make(cwpolicy.AllowedRegions, i.Regions)
	for n := range places {
		places[n] = strconv.Itoa(n)
	}
	return places
}

// forward passes a request on; the other domain may turn it back.
func (i *instance) forward(r *request, domain int) {
	i.remoteCapacities[domain].SentSinceReport++
	region, _ := strconv.Atoi(i.remoteCapacities[domain].Domain)
	exit := i.instances[region*i.InstancesPerRegion+i.rng.IntN(i.InstancesPerRegion)]
	if i.hasOutage(region) || i.isPartitioned(i.region, region) {
		i.loop.schedule(partitionDialTimeout, func() { i.remoteCapacities[domain].Endpoints = 0; i.retry(r) })
		return
	}
	i.loop.schedule(i.RoundTrip/2, func() {
		if exit.scheduler.Queue.Len() > 0 || !cwpolicy.AcceptsSpillover(exit.scheduler.Capacity(i.loop.now)) {
			i.loop.schedule(i.RoundTrip/2, func() { i.placeWithScheduler(r, false) })
			return
		}
		exit.placeWithScheduler(r, false)
	})
}

func (i *instance) dispatch(r *request, c cwpolicy.EndpointChoice) {
	sent := i.loop.now
	e := c.Endpoint
	begun := false
	i.send(r, i.region, i.endpointsByAddress[e.Address], attemptObserver{
		onFirstToken: func() {
			begun = true
			e.OnFirstToken(&c, i.loop.now.Sub(sent), i.loop.now)
		},
		onEnd: func() {
			e.OnEnd(0, i.loop.now.Sub(sent), i.loop.now)
			e.OnSuccess(i.loop.now)
			i.processQueue()
		},
		onFailure: func() {
			if begun {
				e.OnEnd(0, i.loop.now.Sub(sent), i.loop.now)
			} else {
				e.OnEnd(c.UncachedTokens, 0, i.loop.now)
			}
			e.OnFailure(i.loop.now, i.rng.Float64())
			e.RecordContactFailure(i.loop.now)
			i.processQueue()
		},
	})
}

func (i *instance) scheduleQueue() {
	if i.isQueueScheduled {
		return
	}
	i.isQueueScheduled = true
	i.loop.schedule(queueInterval, func() {
		i.isQueueScheduled = false
		i.processQueue()
		if i.scheduler.Queue.Len() > 0 {
			i.scheduleQueue()
		}
	})
}

func (i *instance) processQueue() {
	for {
		r, d, ok := i.scheduler.PlaceNext(i.loop.now, i.rng)
		if !ok {
			return
		}
		if d.Action == cwpolicy.ActionDispatch {
			i.dispatch(r, d.Choice)
			continue
		}
		i.recordRefusal()
	}
}
