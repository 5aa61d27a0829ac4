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

// emulator plays a load on engines in virtual time: prompts are processed one after
// the other by rank, shared parts are cached, and instances tell each other what
// they have at the engines.
type emulator struct {
	now       time.Time
	rng       *rand.Rand
	engines   map[string]*engine
	instances []*cwplacement.Pool
	running   []*emulated
	swallowed []*emulated
	nextTold  time.Time
	// tellEvery is the time between two exchanges of all instances.
	tellEvery time.Duration
	// flat sends everything with one rank, as a baseline.
	flat bool
	// stats.
	inTime, late, refused, failed int
	reread, processed             int
}

type engine struct {
	speed   float64
	failing float64
	// mute is the share of requests that get no answer.
	mute   float64
	queue  []*emulated
	busy   time.Time
	cache  map[uint64]bool
	served int
}

type emulated struct {
	ticket  *cwplacement.Placement
	demand  cwplacement.Requirements
	arrived time.Time
	done    time.Time
	engine  *engine
}

const (
	emulatorStep   = 5 * time.Millisecond
	usualTellEvery = 300 * time.Millisecond
)

func newEmulator(instances int, speeds ...float64) *emulator {
	m := &emulator{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2)), engines: make(map[string]*engine), tellEvery: usualTellEvery}
	service := cwroute.Service{Name: "m", Engine: &cwroute.Engine{Slots: 64, MemoryTokens: 300_000, EventTokens: 6}}
	for range instances {
		m.instances = append(m.instances, cwplacement.NewPool(service, "a", rand.New(rand.NewPCG(3, uint64(len(m.instances))))))
	}
	for i, speed := range speeds {
		id := fmt.Sprintf("engine-%d", i)
		m.engines[id] = &engine{speed: speed, cache: make(map[uint64]bool)}
		for _, p := range m.instances {
			p.Register(cwroute.Endpoint{ID: id, Service: "m", Domain: "a", Slots: 64}, "north", true, m.now, m.now)
		}
	}
	return m
}

// arrive places a request at one of the instances.
func (m *emulator) arrive(d cwplacement.Requirements, rooms ...cwplacement.Request) cwplacement.Decision {
	p := m.instances[m.rng.IntN(len(m.instances))]
	ask := &cwplacement.Request{Requirements: d, Priority: 1, IsLocalAllowed: true, WasTried: never, IsExcluded: never}
	if len(rooms) > 0 {
		ask.RemoteCapacities = rooms[0].RemoteCapacities
	}
	decision := p.Decide(ask, m.now)
	switch decision.Action {
	case cwplacement.ActionRefuse:
		m.refused++
	case cwplacement.ActionSend:
		e := m.engines[decision.Placement.Endpoint.ID]
		m.enqueue(e, &emulated{ticket: decision.Placement, demand: d, arrived: m.now, engine: e})
	}
	return decision
}

func never(string) bool { return false }

func (m *emulator) enqueue(e *engine, r *emulated) {
	e.served++
	if m.rng.Float64() < e.failing {
		m.failed++
		r.ticket.OnEnd(cwplacement.Failed, m.now)
		return
	}
	if m.rng.Float64() < e.mute {
		m.swallowed = append(m.swallowed, r)
		return
	}
	e.queue = append(e.queue, r)
	if !m.flat {
		slices.SortStableFunc(e.queue, func(a, b *emulated) int { return int(a.ticket.Band - b.ticket.Band) })
	}
}

// step lets time pass.
func (m *emulator) step() {
	m.now = m.now.Add(emulatorStep)
	for _, e := range m.engines {
		for len(e.queue) > 0 && !e.busy.After(m.now) {
			m.begin(e)
		}
	}
	m.running = slices.DeleteFunc(m.running, func(r *emulated) bool { return m.finish(r) })
	m.swallowed = slices.DeleteFunc(m.swallowed, func(r *emulated) bool { return m.leave(r) })
	if m.now.After(m.nextTold) {
		m.nextTold = m.now.Add(m.tellEvery)
		m.tell()
	}
}

func (m *emulator) begin(e *engine) {
	r := e.queue[0]
	e.queue = e.queue[1:]
	uncached, missed := 0, false
	for i, part := range r.demand.PromptParts {
		if missed = missed || !e.cache[part.ID]; missed {
			uncached += part.Tokens
			if i < len(r.demand.PromptParts)-1 {
				m.reread += part.Tokens
			}
		}
		e.cache[part.ID] = true
	}
	m.processed += uncached
	start := e.busy
	if start.Before(m.now) {
		start = m.now
	}
	e.busy = start.Add(time.Duration(float64(uncached) / e.speed * float64(time.Second)))
	r.done = e.busy
	m.running = append(m.running, r)
}

func (m *emulator) finish(r *emulated) bool {
	if r.done.After(m.now) {
		return false
	}
	r.ticket.OnFirstByte(m.now)
	r.ticket.OnEnd(cwplacement.Served, m.now)
	if m.now.Sub(r.arrived) <= r.demand.FirstByteTarget {
		m.inTime++
	} else {
		m.late++
	}
	return true
}

// leave lets the caller of a request without answer go in the end.
func (m *emulator) leave(r *emulated) bool {
	waited := m.now.Sub(r.arrived)
	if waited > max(r.demand.FirstByteTarget, 3*r.ticket.PredictedFirstByte) {
		r.ticket.OnOverdue(m.now)
	}
	if waited < r.demand.FirstByteTimeout {
		return false
	}
	m.failed++
	r.ticket.OnEnd(cwplacement.Abandoned, m.now)
	return true
}

// tell gives each instance what the others have at the engines.
func (m *emulator) tell() {
	for i, p := range m.instances {
		for id, e := range p.Endpoints() {
			others := cwplacement.PeerReport{At: m.now}
			for j, other := range m.instances {
				if i == j {
					continue
				}
				o := other.Endpoints()[id]
				others.Work = others.Work.Add(o.OwnWork())
				others.FailureRate = max(others.FailureRate, o.FailureRate(m.now))
				speed, pace := o.Measurements(m.now)
				others.PromptSpeed, others.EventRate = others.PromptSpeed.Add(speed), others.EventRate.Add(pace)
				e.AddPeerParts(o.RecentParts(m.now))
			}
			e.SetPeerReport(others, m.now)
		}
	}
}

// play sends requests at a rate for a time.
func (m *emulator) play(perSecond float64, lasts time.Duration, demand func() cwplacement.Requirements) {
	due := 0.0
	for end := m.now.Add(lasts); m.now.Before(end); m.step() {
		for due += perSecond * emulatorStep.Seconds(); due >= 1; due-- {
			m.arrive(demand())
		}
	}
}

// name puts all engines and instances into one domain of a region.
func (m *emulator) name(region, domain string) {
	for _, p := range m.instances {
		p.Domain = domain
		for _, e := range p.Endpoints() {
			e.Domain, e.Region = domain, region
		}
	}
}

// room is what the instances tell other regions.
func (m *emulator) room() cwpolicy.DomainCapacity {
	p := m.instances[0]
	r := cwpolicy.DomainCapacity{PoolCapacity: p.Capacity(p.Domain, m.now), Domain: p.Domain, ReportedAt: m.now, RoundTrip: 160 * time.Millisecond}
	for _, e := range p.Endpoints() {
		r.Region = e.Region
	}
	return r
}

// idle lets all requests end, and takes no time for it.
func (m *emulator) idle() {
	for _, e := range m.engines {
		for _, r := range e.queue {
			r.ticket.OnEnd(cwplacement.Abandoned, m.now)
		}
		e.queue = nil
	}
}

// unshared returns requests that share nothing.
func (m *emulator) unshared() func() cwplacement.Requirements {
	own := uint64(1 << 40)
	return func() cwplacement.Requirements {
		own++
		return cwplacement.Requirements{
			PromptTokens: 9000, OutputTokens: 50, PromptParts: []cwplacement.PromptPart{{ID: own, Tokens: 9000}},
			FirstByteTarget: 800 * time.Millisecond, FirstByteTimeout: 3200 * time.Millisecond,
		}
	}
}

// review returns a request with the shared prompt of that number.
func (m *emulator) review(n uint64) cwplacement.Requirements {
	parts := []cwplacement.PromptPart{{ID: 100 + n, Tokens: 5000}, {ID: 1<<50 + m.rng.Uint64N(1<<40), Tokens: 1000}}
	return cwplacement.Requirements{PromptTokens: 6000, OutputTokens: 50, PromptParts: parts, FirstByteTarget: 800 * time.Millisecond, FirstByteTimeout: 3200 * time.Millisecond}
}

// reviews returns requests that share one of a number of prompts, in front of 3,000
// tokens of their own.
func (m *emulator) reviews(prompts int) func() cwplacement.Requirements {
	own := uint64(1 << 40)
	return func() cwplacement.Requirements {
		own++
		n := uint64(m.rng.IntN(prompts))
		parts := []cwplacement.PromptPart{{ID: 1 + n%4, Tokens: 2500}, {ID: 100 + n, Tokens: 3500}, {ID: own, Tokens: 3000}}
		return cwplacement.Requirements{PromptTokens: 9000, OutputTokens: 50, PromptParts: parts, FirstByteTarget: 800 * time.Millisecond, FirstByteTimeout: 3200 * time.Millisecond}
	}
}
