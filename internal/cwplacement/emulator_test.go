package cwplacement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// emulator runs a load on engines in virtual time: each engine processes prompts one
// after the other by band and caches shared parts, and the instances exchange reports
// of their work at the engines.
type emulator struct {
	now          time.Time
	rng          *rand.Rand
	engines      map[string]*engine
	instances    []*cwplacement.Pool
	running      []*emulatedRequest
	unanswered   []*emulatedRequest
	nextExchange time.Time
	// exchangeInterval is the time between two exchanges of all instances.
	exchangeInterval time.Duration
	// heardShare is the share of the other instances whose reports an instance hears in an
	// exchange.
	heardShare float64
	// withoutBands makes engines process all requests in order of arrival, as a
	// baseline.
	withoutBands bool
	// onTime, late, refused, failed and rejected count requests by their result. Those rejected
	// had no room at their engine.
	onTime, late, refused, failed, rejected int
	// eventInterval is the time between two events of a stream; with 0 responses end with their
	// first byte. disturbed is the number of streams that met the processing of a long prompt.
	eventInterval time.Duration
	disturbed     int
	// lateByTarget counts late requests by their target.
	lateByTarget map[time.Duration]int
	// processedSharedTokens is the number of processed tokens of shared parts, and
	// processedTokens that of all parts.
	processedSharedTokens, processedTokens int
}

// engine is an emulated endpoint with a model engine.
type engine struct {
	tokensPerSecond float64
	// failureRate is the share of requests that fail at once.
	failureRate float64
	// unansweredShare is the share of requests that get no response.
	unansweredShare float64
	// pausedUntil is the time until which it rejects all requests and asks for a pause.
	pausedUntil time.Time
	// isLeaving is set while its responses state that it is leaving.
	isLeaving bool
	// room is the number of requests that may run or wait; 0 means no limit.
	room      int
	running   int
	queue     []*emulatedRequest
	busyUntil time.Time
	cache     map[uint64]bool
	requests  int
}

type emulatedRequest struct {
	placement    *cwplacement.Placement
	requirements cwplacement.Requirements
	arrivedAt    time.Time
	// firstAt is when the first byte is due, and doneAt the last one.
	firstAt, doneAt time.Time
	hasFirst        bool
	isDisturbed     bool
	engine          *engine
}

const (
	emulatorStep            = 5 * time.Millisecond
	defaultExchangeInterval = 300 * time.Millisecond
	// emulatedEventTokens is the number of output tokens in one event of a stream.
	emulatedEventTokens = 6
	// longPromptTokens is the number of processed tokens from which a prompt holds up streams.
	longPromptTokens = 6000
)

func newEmulator(instances int, speeds ...float64) *emulator {
	m := &emulator{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2)), engines: make(map[string]*engine), exchangeInterval: defaultExchangeInterval, heardShare: 1, lateByTarget: make(map[time.Duration]int)}
	service := cwroute.Service{Name: "m", Engine: &cwroute.Engine{Slots: 64, MemoryTokens: 300_000, EventTokens: emulatedEventTokens}}
	for range instances {
		m.instances = append(m.instances, cwplacement.NewPool(service, "a", rand.New(rand.NewPCG(3, uint64(len(m.instances))))))
	}
	for i, speed := range speeds {
		id := fmt.Sprintf("engine-%d", i)
		m.engines[id] = &engine{tokensPerSecond: speed, cache: make(map[uint64]bool)}
		for _, p := range m.instances {
			p.Register(cwroute.Endpoint{ID: id, Service: "m", Domain: "a", Slots: 64}, "north", true, m.now, m.now)
		}
	}
	return m
}

// arrive places a request at a random instance, with the remote capacities of the
// optional second argument, and queues it at the chosen engine.
func (m *emulator) arrive(rs cwplacement.Requirements, remotes ...cwplacement.Request) cwplacement.Decision {
	p := m.instances[m.rng.IntN(len(m.instances))]
	req := &cwplacement.Request{Requirements: rs, Priority: 1, IsLocalAllowed: true, WasTried: never, WasDomainTried: never}
	if len(remotes) > 0 {
		req.RemoteCapacities = remotes[0].RemoteCapacities
	}
	decision := p.Decide(req, m.now)
	switch decision.Action {
	case cwplacement.ActionRefuse:
		m.refused++
	case cwplacement.ActionSend:
		e := m.engines[decision.Placement.Endpoint.ID]
		m.enqueue(e, &emulatedRequest{placement: decision.Placement, requirements: rs, arrivedAt: m.now, engine: e})
	}
	return decision
}

func never(string) bool { return false }

func (m *emulator) enqueue(e *engine, r *emulatedRequest) {
	e.requests++
	if m.rng.Float64() < e.failureRate {
		m.failed++
		r.placement.OnEnd(cwplacement.Failed, m.now)
		return
	}
	if m.rng.Float64() < e.unansweredShare {
		m.unanswered = append(m.unanswered, r)
		return
	}
	if m.now.Before(e.pausedUntil) {
		m.rejected++
		r.placement.Endpoint.AnnouncePause(e.pausedUntil.Sub(m.now), m.now)
		r.placement.OnEnd(cwplacement.Rejected, m.now)
		return
	}
	if e.room > 0 && len(e.queue)+e.running >= e.room {
		m.rejected++
		r.placement.OnEnd(cwplacement.Rejected, m.now)
		return
	}
	e.queue = append(e.queue, r)
	if !m.withoutBands {
		slices.SortStableFunc(e.queue, func(a, b *emulatedRequest) int { return int(a.placement.Band - b.placement.Band) })
	}
}

// step advances the time by one step.
func (m *emulator) step() {
	m.now = m.now.Add(emulatorStep)
	for _, e := range m.engines {
		for len(e.queue) > 0 && !e.busyUntil.After(m.now) {
			m.begin(e)
		}
	}
	m.running = slices.DeleteFunc(m.running, func(r *emulatedRequest) bool { return m.finish(r) })
	m.unanswered = slices.DeleteFunc(m.unanswered, func(r *emulatedRequest) bool { return m.abandonOverdue(r) })
	if m.now.After(m.nextExchange) {
		m.nextExchange = m.now.Add(m.exchangeInterval)
		m.exchange()
	}
}

// begin starts to process the first request of the queue.
func (m *emulator) begin(e *engine) {
	r := e.queue[0]
	e.queue = e.queue[1:]
	uncached, missed := 0, false
	for i, part := range r.requirements.PromptParts {
		if missed = missed || !e.cache[part.ID]; missed {
			uncached += part.Tokens
			if i < len(r.requirements.PromptParts)-1 {
				m.processedSharedTokens += part.Tokens
			}
		}
		e.cache[part.ID] = true
	}
	m.processedTokens += uncached
	start := e.busyUntil
	if start.Before(m.now) {
		start = m.now
	}
	e.busyUntil = start.Add(time.Duration(float64(uncached) / e.tokensPerSecond * float64(time.Second)))
	r.firstAt = e.busyUntil
	r.doneAt = r.firstAt.Add(time.Duration(r.requirements.OutputTokens/emulatedEventTokens) * m.eventInterval)
	if uncached >= longPromptTokens {
		m.disturbStreams(e)
	}
	e.running++
	m.running = append(m.running, r)
}

// disturbStreams counts the streams at an engine that a long prompt holds up for the first time.
func (m *emulator) disturbStreams(e *engine) {
	for _, r := range m.running {
		if r.engine == e && r.hasFirst && !r.isDisturbed {
			r.isDisturbed = true
			m.disturbed++
		}
	}
}

// finish ends a request whose processing is done, and reports whether it did.
func (m *emulator) finish(r *emulatedRequest) bool {
	if !r.hasFirst && !r.firstAt.After(m.now) {
		r.hasFirst = true
		r.placement.OnFirstByte(m.now)
		if m.now.Sub(r.arrivedAt) <= r.requirements.FirstByteTarget {
			m.onTime++
		} else {
			m.late++
			m.lateByTarget[r.requirements.FirstByteTarget]++
		}
	}
	if r.doneAt.After(m.now) {
		return false
	}
	r.engine.running--
	r.placement.Endpoint.EndReturn(r.arrivedAt)
	if r.engine.isLeaving {
		r.placement.Endpoint.AnnounceLeaving()
	}
	r.placement.OnEnd(cwplacement.Served, m.now)
	return true
}

// abandonOverdue records an overdue first byte, and abandons a request whose caller has
// waited too long for it. It reports whether the request is abandoned.
func (m *emulator) abandonOverdue(r *emulatedRequest) bool {
	waited := m.now.Sub(r.arrivedAt)
	if waited > max(r.requirements.FirstByteTarget, 3*r.placement.PredictedFirstByte) {
		r.placement.OnOverdue(m.now)
	}
	if waited < r.requirements.FirstByteTimeout {
		return false
	}
	m.failed++
	r.placement.OnEnd(cwplacement.Abandoned, m.now)
	return true
}

// exchange gives each instance the reports of the others about the engines.
func (m *emulator) exchange() {
	for i, p := range m.instances {
		heard := m.rng.Perm(len(m.instances))[:int(m.heardShare*float64(len(m.instances)))]
		for id, e := range p.Endpoints() {
			report := cwplacement.PeerReport{At: m.now, Coverage: m.heardShare}
			for _, j := range heard {
				other := m.instances[j]
				if i == j {
					continue
				}
				o := other.Endpoints()[id]
				report.Work = report.Work.Add(o.OwnWork())
				report.FailureRate = max(report.FailureRate, o.FailureRate(m.now))
				promptSpeed, eventRate := o.Measurements(m.now)
				report.PromptSpeed, report.EventRate = report.PromptSpeed.Add(promptSpeed), report.EventRate.Add(eventRate)
				e.AddPeerParts(o.RecentParts(m.now))
			}
			e.SetPeerReport(report, m.now)
		}
	}
}

// run sends requests at a rate for a time.
func (m *emulator) run(requestsPerSecond float64, duration time.Duration, next func() cwplacement.Requirements) {
	due := 0.0
	for end := m.now.Add(duration); m.now.Before(end); m.step() {
		for due += requestsPerSecond * emulatorStep.Seconds(); due >= 1; due-- {
			m.arrive(next())
		}
	}
}

// setDomain puts all engines and instances into one domain of a region.
func (m *emulator) setDomain(region, domain string) {
	for _, p := range m.instances {
		p.Domain = domain
		for _, e := range p.Endpoints() {
			e.Domain, e.Region = domain, region
		}
	}
}

// capacity returns the summary that the instances send to other regions.
func (m *emulator) capacity() cwpolicy.DomainCapacity {
	p := m.instances[0]
	r := cwpolicy.DomainCapacity{PoolCapacity: p.Capacity(p.Domain, m.now), Domain: p.Domain, ReportedAt: m.now, RoundTrip: 160 * time.Millisecond}
	for _, e := range p.Endpoints() {
		r.Region = e.Region
	}
	return r
}

// endQueued ends all queued requests at once.
func (m *emulator) endQueued() {
	for _, e := range m.engines {
		for _, r := range e.queue {
			r.placement.OnEnd(cwplacement.Abandoned, m.now)
		}
		e.queue = nil
	}
}

// unsharedRequests returns a source of requests that share no part of their prompts.
func (m *emulator) unsharedRequests() func() cwplacement.Requirements {
	ownID := uint64(1 << 40)
	return func() cwplacement.Requirements {
		ownID++
		return cwplacement.Requirements{
			PromptTokens: 9000, OutputTokens: 50, PromptParts: []cwplacement.PromptPart{{ID: ownID, Tokens: 9000}},
			FirstByteTarget: 800 * time.Millisecond, FirstByteTimeout: 3200 * time.Millisecond,
		}
	}
}

// sharedPromptRequest returns a request with the shared prompt of that number.
func (m *emulator) sharedPromptRequest(n uint64) cwplacement.Requirements {
	parts := []cwplacement.PromptPart{{ID: 100 + n, Tokens: 5000}, {ID: 1<<50 + m.rng.Uint64N(1<<40), Tokens: 1000}}
	return cwplacement.Requirements{PromptTokens: 6000, OutputTokens: 50, PromptParts: parts, FirstByteTarget: 800 * time.Millisecond, FirstByteTimeout: 3200 * time.Millisecond}
}

// sharedPromptRequests returns a source of requests whose prompts begin with one of a
// number of shared prompts, followed by 3,000 tokens of their own.
func (m *emulator) sharedPromptRequests(prompts int) func() cwplacement.Requirements {
	ownID := uint64(1 << 40)
	return func() cwplacement.Requirements {
		ownID++
		n := uint64(m.rng.IntN(prompts))
		parts := []cwplacement.PromptPart{{ID: 1 + n%4, Tokens: 2500}, {ID: 100 + n, Tokens: 3500}, {ID: ownID, Tokens: 3000}}
		return cwplacement.Requirements{PromptTokens: 9000, OutputTokens: 50, PromptParts: parts, FirstByteTarget: 800 * time.Millisecond, FirstByteTimeout: 3200 * time.Millisecond}
	}
}
