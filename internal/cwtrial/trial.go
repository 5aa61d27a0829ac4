package cwtrial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	trialTime     = 150 * time.Second
	drainTime     = 30 * time.Second
	reportEvery   = 500 * time.Millisecond
	summaryEvery  = 5 * time.Second
	pumpEvery     = 10 * time.Millisecond
	maxTries      = 3
	refusedTime   = time.Millisecond
	speedSpread   = 10.0
	instanceHops  = time.Millisecond
	cutDialFailed = 2 * time.Second
)

// trial is one run of one policy.
type trial struct {
	*Deployment
	scenario  Scenario
	policy    Policy
	loop      *eventLoop
	start     time.Time
	rng       *rand.Rand
	endpoints []*fakeEndpoint
	instances []*instance
	result    *Result
}

// Run runs one trial. The same seed gives the same arrivals to every policy.
func Run(d Deployment, scenario Scenario, policy Policy, seed uint64) *Result {
	t := &trial{
		Deployment: &d, scenario: scenario, policy: policy, loop: newEventLoop(),
		rng: rand.New(rand.NewPCG(seed, 1)), result: newResult(),
	}
	t.start = t.loop.now
	t.build(seed)
	t.scheduleArrivals(rand.New(rand.NewPCG(seed, 2)))
	t.scheduleReports()
	t.scheduleFaults()
	t.loop.runUntil(t.start.Add(trialTime + drainTime))
	for _, e := range t.endpoints {
		t.result.BusySeconds += e.busySeconds
	}
	if scenario.LostTo > 0 {
		t.result.findRecovery(scenario.LostFrom, scenario.LostTo)
	}
	return t.result
}

func (t *trial) build(seed uint64) {
	for region := range t.Regions {
		for n := range t.EndpointsPer {
			t.endpoints = append(t.endpoints, &fakeEndpoint{
				loop: t.loop, address: fmt.Sprintf("10.%d.%d.%d:90", region, n/200, n%200), domain: region,
				slots: t.Slots, speed: t.Speed * t.speedOf(n), interval: t.Interval, cacheMax: t.CachedPrefixes, inWork: make(map[*task]bool),
			})
		}
	}
	for region := range t.Regions {
		for n := range t.InstancesPer {
			t.instances = append(t.instances, newInstance(t, region, seed+uint64(region*100+n)))
		}
	}
}

// speedOf spreads the speeds of a region over a factor of ten around the mean.
func (t *trial) speedOf(n int) float64 {
	if !t.scenario.Uneven {
		return 1
	}
	const slowest = 2 / (1 + speedSpread)
	if t.EndpointsPer == 1 {
		return 1
	}
	return slowest * (1 + (speedSpread-1)*float64(n)/float64(t.EndpointsPer-1))
}

func (t *trial) since() time.Duration {
	return t.loop.now.Sub(t.start)
}

// scheduleArrivals draws a Poisson stream for each region.
func (t *trial) scheduleArrivals(rng *rand.Rand) {
	for region := range t.Regions {
		for at := time.Duration(0); at < trialTime; {
			rate := t.Load.rate(region, t.Regions, at) * t.scenario.LoadFactor
			if region == 0 {
				rate *= t.scenario.PeakFactor
			}
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			t.loop.after(at, func() { t.arrive(t.Load.draw(rng, region, t.loop.now)) })
		}
	}
}

func (t *trial) arrive(r *request) {
	t.result.Requests++
	t.place(r)
}

// place gives a request to an instance of its region, or of another one while its
// own is lost.
func (t *trial) place(r *request) {
	region := r.region
	if t.lost(region) {
		region = (region + 1 + t.rng.IntN(max(t.Regions-1, 1))) % t.Regions
	}
	at := region*t.InstancesPer + t.rng.IntN(t.InstancesPer)
	t.instances[at].place(r)
}

func (t *trial) lost(region int) bool {
	return region == 0 && t.scenario.LostTo > 0 && t.since() >= t.scenario.LostFrom && t.since() < t.scenario.LostTo
}

func (t *trial) cut(a, b int) bool {
	return a != b && t.scenario.CutTo > 0 && t.since() >= t.scenario.CutFrom && t.since() < t.scenario.CutTo
}

func (t *trial) scheduleReports() {
	var report func()
	report = func() {
		for _, e := range t.endpoints {
			if e.down {
				continue
			}
			r := e.report()
			t.loop.after(t.scenario.ReportLag, func() {
				for _, i := range t.instances {
					i.onReport(e, r)
				}
			})
		}
		if t.since() < trialTime+drainTime {
			t.loop.after(reportEvery, report)
		}
	}
	t.loop.after(0, report)
	for _, i := range t.instances {
		i.scheduleSummaries()
	}
}

func (t *trial) scheduleFaults() {
	if t.scenario.LostTo == 0 {
		return
	}
	t.loop.after(t.scenario.LostFrom, func() {
		for _, e := range t.endpoints {
			if e.domain == 0 {
				e.crash()
			}
		}
	})
	t.loop.after(t.scenario.LostTo, func() {
		for _, e := range t.endpoints {
			e.down = false
		}
	})
}

// send gives a request to an endpoint and follows it to its end. Told is called
// with what the sender learns.
func (t *trial) send(r *request, from int, e *fakeEndpoint, told observer) {
	away := t.travel(from, e.domain)
	if t.cut(from, e.domain) {
		t.loop.after(cutDialFailed, func() { told.failed(); t.retry(r) })
		return
	}
	t.loop.after(away/2, func() {
		if e.down {
			t.loop.after(refusedTime, func() { told.failed(); t.retry(r) })
			return
		}
		t.submit(r, e, away, told)
	})
}

// observer is what an instance learns of a request that it sent.
type observer struct {
	first  func()
	ended  func()
	failed func()
}

func (t *trial) submit(r *request, e *fakeEndpoint, away time.Duration, told observer) {
	answered := false
	e.submit(&task{
		req: r,
		onFirst: func() {
			answered = true
			t.loop.after(away/2, func() {
				told.first()
				t.result.observeFirst(r.arrived.Sub(t.start), t.loop.now.Sub(r.arrived))
			})
		},
		onEnd: func(ok bool) {
			if !ok {
				told.failed()
				t.failed(r, answered)
				return
			}
			t.loop.after(away/2, func() { told.ended(); t.served(r, e) })
		},
	})
}

func (t *trial) failed(r *request, answered bool) {
	if answered {
		t.result.Failed++
		return
	}
	t.retry(r)
}

func (t *trial) travel(from, to int) time.Duration {
	if from == to {
		return instanceHops
	}
	return t.RoundTrip
}

func (t *trial) served(r *request, e *fakeEndpoint) {
	t.result.Served++
	if e.domain != r.region {
		t.result.Away++
	}
	if t.loop.now.Sub(r.arrived) > t.Deadline {
		t.result.Late++
		return
	}
	t.result.Tokens += r.output
}

func (t *trial) retry(r *request) {
	r.tries++
	if r.tries >= maxTries || t.loop.now.Sub(r.arrived) > t.Deadline {
		t.result.Failed++
		return
	}
	t.result.Retries++
	t.place(r)
}

func (t *trial) refuse() {
	t.result.Refused++
}

func (t *trial) demandOf(r *request) *cwpolicy.Requirements {
	return &cwpolicy.Requirements{
		PromptTokens: r.tokens, PrefixHashes: t.prefixOf(r), FirstTokenTarget: t.Target, Weights: t.Weights,
	}
}

// prefixOf returns the block hashes of the shared beginning.
func (t *trial) prefixOf(r *request) []uint64 {
	if t.policy == NoPrefix {
		return nil
	}
	blocks := r.shared * cwpolicy.BytesPerToken / cwpolicy.PrefixBlockBytes
	prefix := make([]uint64, blocks)
	for i := range prefix {
		prefix[i] = (uint64(r.prefix)<<8 | uint64(i)) * 0x9e3779b97f4a7c15
	}
	return prefix
}
