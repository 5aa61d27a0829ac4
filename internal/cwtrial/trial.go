package cwtrial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	arrivalPeriod = 150 * time.Second
	// drainPeriod is how long the trial runs on after the last arrival, so that
	// requests can end.
	drainPeriod            = 30 * time.Second
	reportInterval         = 500 * time.Millisecond
	summaryInterval        = 5 * time.Second
	queueInterval          = 10 * time.Millisecond
	maxAttempts            = 3
	connectionRefusedDelay = time.Millisecond
	// maxSpeedRatio is the speed of the fastest endpoint relative to the slowest.
	maxSpeedRatio        = 10.0
	localRoundTrip       = time.Millisecond
	partitionDialTimeout = 2 * time.Second
)

// trial is one simulation of a deployment under one policy and scenario.
type trial struct {
	*Deployment
	scenario  Scenario
	policy    Policy
	loop      *eventLoop
	startedAt time.Time
	rng       *rand.Rand
	endpoints []*fakeEndpoint
	instances []*instance
	result    *Result
}

// Run runs one trial. With the same seed, every policy gets the same arrivals.
func Run(d Deployment, scenario Scenario, policy Policy, seed uint64) *Result {
	t := &trial{
		Deployment: &d, scenario: scenario, policy: policy, loop: newEventLoop(),
		rng: rand.New(rand.NewPCG(seed, 1)), result: newResult(),
	}
	t.startedAt = t.loop.now
	t.build(seed)
	t.scheduleArrivals(rand.New(rand.NewPCG(seed, 2)))
	t.scheduleReports()
	t.scheduleFaults()
	t.loop.runUntil(t.startedAt.Add(arrivalPeriod + drainPeriod))
	for _, e := range t.endpoints {
		t.result.AcceleratorSeconds += e.acceleratorSeconds
	}
	if scenario.OutageTo > 0 {
		t.result.measureRecovery(scenario.OutageFrom, scenario.OutageTo)
	}
	return t.result
}

func (t *trial) build(seed uint64) {
	for region := range t.Regions {
		for n := range t.EndpointsPerRegion {
			t.endpoints = append(t.endpoints, &fakeEndpoint{
				loop: t.loop, address: fmt.Sprintf("10.%d.%d.%d:90", region, n/200, n%200), domain: region,
				slots: t.Slots, promptTokensPerSecond: t.PromptTokensPerSecond * t.relativeSpeed(n), tokenInterval: t.TokenInterval, maxCachedPrefixes: t.MaxCachedPrefixes, runningTasks: make(map[*task]bool),
			})
		}
	}
	for region := range t.Regions {
		for n := range t.InstancesPerRegion {
			t.instances = append(t.instances, newInstance(t, region, seed+uint64(region*100+n)))
		}
	}
}

// relativeSpeed returns the speed of a region's n-th endpoint relative to the mean.
// Uneven speeds rise linearly from the slowest to the fastest endpoint.
func (t *trial) relativeSpeed(n int) float64 {
	if !t.scenario.HasUnevenSpeeds {
		return 1
	}
	const slowest = 2 / (1 + maxSpeedRatio)
	if t.EndpointsPerRegion == 1 {
		return 1
	}
	return slowest * (1 + (maxSpeedRatio-1)*float64(n)/float64(t.EndpointsPerRegion-1))
}

func (t *trial) elapsed() time.Duration {
	return t.loop.now.Sub(t.startedAt)
}

// scheduleArrivals schedules a Poisson process of arrivals for each region.
func (t *trial) scheduleArrivals(rng *rand.Rand) {
	for region := range t.Regions {
		for at := time.Duration(0); at < arrivalPeriod; {
			rate := t.Workload.arrivalRate(region, t.Regions, at) * t.scenario.LoadFactor
			if region == 0 {
				rate *= t.scenario.FirstRegionLoadFactor
			}
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			t.loop.schedule(at, func() { t.handleArrival(t.Workload.newRequest(rng, region, t.loop.now)) })
		}
	}
}

func (t *trial) handleArrival(r *request) {
	t.result.Requests++
	t.place(r)
}

// place passes a request to a random instance of its region, or of another region
// during an outage of its own.
func (t *trial) place(r *request) {
	region := r.region
	if t.hasOutage(region) {
		region = (region + 1 + t.rng.IntN(max(t.Regions-1, 1))) % t.Regions
	}
	index := region*t.InstancesPerRegion + t.rng.IntN(t.InstancesPerRegion)
	t.instances[index].place(r)
}

func (t *trial) hasOutage(region int) bool {
	return region == 0 && t.scenario.OutageTo > 0 && t.elapsed() >= t.scenario.OutageFrom && t.elapsed() < t.scenario.OutageTo
}

func (t *trial) isPartitioned(a, b int) bool {
	return a != b && t.scenario.PartitionTo > 0 && t.elapsed() >= t.scenario.PartitionFrom && t.elapsed() < t.scenario.PartitionTo
}

func (t *trial) scheduleReports() {
	var report func()
	report = func() {
		for _, e := range t.endpoints {
			if e.isDown {
				continue
			}
			r := e.loadReport()
			t.loop.schedule(t.scenario.ReportLag, func() {
				for _, i := range t.instances {
					i.onReport(e, r)
				}
			})
		}
		if t.elapsed() < arrivalPeriod+drainPeriod {
			t.loop.schedule(reportInterval, report)
		}
	}
	t.loop.schedule(0, report)
	for _, i := range t.instances {
		i.scheduleSummaries()
	}
}

func (t *trial) scheduleFaults() {
	if t.scenario.OutageTo == 0 {
		return
	}
	t.loop.schedule(t.scenario.OutageFrom, func() {
		for _, e := range t.endpoints {
			if e.domain == 0 {
				e.crash()
			}
		}
	})
	t.loop.schedule(t.scenario.OutageTo, func() {
		for _, e := range t.endpoints {
			e.isDown = false
		}
	})
}

// send sends a request to an endpoint and tracks it until it ends. It calls the
// functions of the observer when the sender would see the event.
func (t *trial) send(r *request, from int, e *fakeEndpoint, observer attemptObserver) {
	roundTrip := t.roundTripBetween(from, e.domain)
	if t.isPartitioned(from, e.domain) {
		t.loop.schedule(partitionDialTimeout, func() { observer.onFailure(); t.retry(r) })
		return
	}
	t.loop.schedule(roundTrip/2, func() {
		if e.isDown {
			t.loop.schedule(connectionRefusedDelay, func() { observer.onFailure(); t.retry(r) })
			return
		}
		t.submit(r, e, roundTrip, observer)
	})
}

// attemptObserver receives the events of one attempt that an instance sent.
type attemptObserver struct {
	onFirstToken func()
	onEnd        func()
	onFailure    func()
}

func (t *trial) submit(r *request, e *fakeEndpoint, roundTrip time.Duration, observer attemptObserver) {
	hasFirstToken := false
	e.submit(&task{
		req: r,
		onFirstToken: func() {
			hasFirstToken = true
			t.loop.schedule(roundTrip/2, func() {
				observer.onFirstToken()
				t.result.recordFirstToken(r.arrivedAt.Sub(t.startedAt), t.loop.now.Sub(r.arrivedAt))
			})
		},
		onEnd: func(ok bool) {
			if !ok {
				observer.onFailure()
				t.handleFailure(r, hasFirstToken)
				return
			}
			t.loop.schedule(roundTrip/2, func() { observer.onEnd(); t.recordServed(r, e) })
		},
	})
}

func (t *trial) handleFailure(r *request, hasFirstToken bool) {
	if hasFirstToken {
		t.result.Failed++
		return
	}
	t.retry(r)
}

func (t *trial) roundTripBetween(from, to int) time.Duration {
	if from == to {
		return localRoundTrip
	}
	return t.RoundTrip
}

func (t *trial) recordServed(r *request, e *fakeEndpoint) {
	t.result.Served++
	if e.domain != r.region {
		t.result.ServedRemotely++
	}
	if t.loop.now.Sub(r.arrivedAt) > t.RequestTimeout {
		t.result.Late++
		return
	}
	t.result.UsefulTokens += r.outputTokens
}

func (t *trial) retry(r *request) {
	r.attempts++
	if r.attempts >= maxAttempts || t.loop.now.Sub(r.arrivedAt) > t.RequestTimeout {
		t.result.Failed++
		return
	}
	t.result.Retries++
	t.place(r)
}

func (t *trial) recordRefusal() {
	t.result.Refused++
}

func (t *trial) requirementsOf(r *request) *cwpolicy.Requirements {
	return &cwpolicy.Requirements{
		PromptTokens: r.promptTokens, PrefixHashes: t.prefixHashesOf(r), FirstTokenTarget: t.FirstTokenTarget, Weights: t.Weights,
	}
}

// prefixHashesOf returns the block hashes of the shared hashes of a request. Without
// hashes affinity it returns none.
func (t *trial) prefixHashesOf(r *request) []uint64 {
	if t.policy == NoPrefixes {
		return nil
	}
	blocks := r.sharedTokens * cwpolicy.BytesPerToken / cwpolicy.PrefixBlockBytes
	hashes := make([]uint64, blocks)
	for i := range hashes {
		hashes[i] = (uint64(r.prefixID)<<8 | uint64(i)) * 0x9e3779b97f4a7c15
	}
	return hashes
}
