package cwtrial

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// instance is one gateway instance that places requests by the policy of the trial.
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

// scheduleSummaries schedules capacity reports from every instance of the other domains,
// each summaryInterval until the last arrival. A report arrives half a round trip after
// it was taken.
func (i *instance) scheduleSummaries() {
	var collect func()
	collect = func() {
		for _, other := range i.instances {
			if other.region == i.region || i.hasOutage(other.region) || i.isPartitioned(i.region, other.region) {
				continue
			}
			capacity := other.scheduler.Capacity(i.loop.now)
			capacity.WaitSeconds += other.scheduler.Queue.PredictWait().Seconds()
			reportedAt := i.loop.now
			i.loop.schedule(i.RoundTrip/2, func() { i.setRemoteCapacity(other.region, capacity, reportedAt) })
		}
		if i.elapsed() < arrivalPeriod {
			i.loop.schedule(summaryInterval, collect)
		}
	}
	i.loop.schedule(time.Duration(i.rng.Int64N(int64(summaryInterval))), collect)
}

func (i *instance) setRemoteCapacity(region int, capacity cwpolicy.PoolCapacity, reportedAt time.Time) {
	name := strconv.Itoa(region)
	updated := cwpolicy.DomainCapacity{PoolCapacity: capacity, Domain: name, Region: name, ReportedAt: reportedAt, RoundTrip: i.RoundTrip}
	for n := range i.remoteCapacities {
		if i.remoteCapacities[n].Domain == name {
			if reportedAt.Sub(i.remoteCapacities[n].ReportedAt) > domainRecoveryGap {
				i.scheduler.Spillover.OnDomainRecovered(name, i.loop.now)
			}
			i.remoteCapacities[n] = updated
			return
		}
	}
	i.remoteCapacities = append(i.remoteCapacities, updated)
}

// domainRecoveryGap is the time without a report after which the next report of a
// domain counts as a recovery.
const domainRecoveryGap = 10 * time.Second

func (i *instance) place(r *request) {
	if !i.policy.isGateway() {
		i.placeBaseline(r)
		return
	}
	i.placeWithScheduler(r, true)
}

// placeWithScheduler places a request as the gateway does. A request that another
// domain forwarded must not be forwarded again: mayForward is false for it.
func (i *instance) placeWithScheduler(r *request, mayForward bool) {
	incoming := &cwpolicy.IncomingRequest{
		Requirements: i.requirementsOf(r), Deadline: r.arrivedAt.Add(i.RequestTimeout), Region: strconv.Itoa(i.region), AllowedRegions: i.allowedRegions(),
	}
	if mayForward && i.policy != NoSpillover {
		incoming.Domains = i.remoteCapacities
	}
	decision := i.scheduler.Place(incoming, i.loop.now, i.rng)
	switch decision.Action {
	case cwpolicy.ActionDispatch:
		i.dispatch(r, decision.Choice)
	case cwpolicy.ActionForward:
		i.forward(r, decision.Domain)
	case cwpolicy.ActionEnqueue:
		i.scheduler.Queue.Push(cwpolicy.QueuedRequest[*request]{
			Value: r, Class: cwservice.Interactive, Account: strconv.Itoa(r.account),
			Deadline: incoming.Deadline, ArrivedAt: i.loop.now, Requirements: incoming.Requirements,
		})
		i.scheduleQueue()
	default:
		i.recordRefusal()
	}
}

func (i *instance) allowedRegions() cwpolicy.AllowedRegions {
	regions := make(cwpolicy.AllowedRegions, i.Regions)
	for n := range regions {
		regions[n] = strconv.Itoa(n)
	}
	return regions
}

// forward sends a request to an instance of another domain. That instance sends it back
// if it has queued requests or too little free capacity for spillover.
func (i *instance) forward(r *request, domainIndex int) {
	i.remoteCapacities[domainIndex].SentSinceReport++
	region, _ := strconv.Atoi(i.remoteCapacities[domainIndex].Domain)
	peer := i.instances[region*i.InstancesPerRegion+i.rng.IntN(i.InstancesPerRegion)]
	if i.hasOutage(region) || i.isPartitioned(i.region, region) {
		i.loop.schedule(partitionDialTimeout, func() { i.remoteCapacities[domainIndex].Endpoints = 0; i.retry(r) })
		return
	}
	i.loop.schedule(i.RoundTrip/2, func() {
		if peer.scheduler.Queue.Len() > 0 || !cwpolicy.AcceptsSpillover(peer.scheduler.Capacity(i.loop.now)) {
			i.loop.schedule(i.RoundTrip/2, func() { i.placeWithScheduler(r, false) })
			return
		}
		peer.placeWithScheduler(r, false)
	})
}

func (i *instance) dispatch(r *request, choice cwpolicy.EndpointChoice) {
	sentAt := i.loop.now
	e := choice.Endpoint
	hasFirstToken := false
	i.send(r, i.region, i.endpointsByAddress[e.Address], attemptObserver{
		onFirstToken: func() {
			hasFirstToken = true
			e.OnFirstToken(&choice, i.loop.now.Sub(sentAt), i.loop.now)
		},
		onEnd: func() {
			e.OnEnd(0, i.loop.now.Sub(sentAt), i.loop.now)
			e.OnSuccess(i.loop.now)
			i.processQueue()
		},
		onFailure: func() {
			if hasFirstToken {
				e.OnEnd(0, i.loop.now.Sub(sentAt), i.loop.now)
			} else {
				e.OnEnd(choice.UncachedTokens, 0, i.loop.now)
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
		r, decision, ok := i.scheduler.PlaceNext(i.loop.now, i.rng)
		if !ok {
			return
		}
		if decision.Action == cwpolicy.ActionDispatch {
			i.dispatch(r, decision.Choice)
			continue
		}
		i.recordRefusal()
	}
}
