package cwplacement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// TestBurstOfReviews: half more arrives than the engines can process. What they can
// process is served in time: late work must not make other work late.
func TestBurstOfReviews(t *testing.T) {
	is := is.New(t)
	burst := func(flat bool) *emulator {
		m := newEmulator(2, 50_000, 50_000, 50_000, 50_000)
		m.flat = flat
		m.play(20, 5*time.Second, m.reviews(8)) // caches and speeds are learnt
		m.inTime, m.late, m.refused = 0, 0, 0
		m.play(100, 10*time.Second, m.reviews(8))
		return m
	}
	banded, flat := burst(false), burst(true)
	// 4 engines process 200,000 tokens a second: 66 requests of 3,000 uncached tokens.
	capacity := 66 * 10
	is.True(banded.inTime >= capacity*8/10)
	is.True(banded.inTime > flat.inTime)
}

// TestSharedPromptsAreReadOnce: on a calm day shared parts are read about once, and
// not once at each engine, although three instances place requests.
func TestSharedPromptsAreReadOnce(t *testing.T) {
	is := is.New(t)
	m := newEmulator(3, 30_000, 50_000, 80_000, 50_000, 50_000)
	const prompts = 40
	m.play(25, 30*time.Second, m.reviews(prompts))
	once := prompts*3500 + 4*2500*len(m.engines)
	everywhere := prompts*3500*len(m.engines) + 4*2500*len(m.engines)
	is.True(m.reread < 2*once)
	is.True(m.reread < everywhere/2)
	is.True(m.inTime > 9*m.late)
}

// TestGreyEndpointIsAvoided: an engine fails half of its requests and none of its
// health checks, which nobody asks.
func TestGreyEndpointIsAvoided(t *testing.T) {
	is := is.New(t)
	m := newEmulator(3, 50_000, 50_000, 50_000, 50_000)
	m.play(20, 5*time.Second, m.reviews(8))
	grey := m.engines["engine-0"]
	grey.failing = 0.5
	m.play(20, 2*time.Second, m.reviews(8))
	before := grey.served
	m.play(20, 5*time.Second, m.reviews(8))
	is.True(grey.served-before < 20*5/10) // less than a tenth, where an even share is a quarter
	grey.failing, before = 0, grey.served
	m.play(60, 10*time.Second, m.reviews(8))
	is.True(grey.served-before > 20) // back in use once it is well and needed
}

// TestMuteEndpointIsAvoided: an engine swallows half of its requests and answers the
// rest well. The callers of those leave after seconds; it is known sooner.
func TestMuteEndpointIsAvoided(t *testing.T) {
	is := is.New(t)
	m := newEmulator(3, 50_000, 50_000, 50_000, 50_000)
	m.play(20, 5*time.Second, m.reviews(8))
	mute := m.engines["engine-0"]
	mute.mute = 0.5
	m.play(20, 2*time.Second, m.reviews(8))
	before := mute.served
	m.play(20, 5*time.Second, m.reviews(8))
	is.True(mute.served-before < 20*5/10) // less than a tenth, where an even share is a quarter
}

// TestDifferentSpeedsAreLearnt: engines differ by a factor of ten, and all requests
// are in time at half of the load that they can take.
func TestDifferentSpeedsAreLearnt(t *testing.T) {
	is := is.New(t)
	m := newEmulator(2, 10_000, 20_000, 100_000, 100_000)
	m.play(15, 10*time.Second, m.reviews(4))
	m.inTime, m.late, m.refused = 0, 0, 0
	m.play(38, 10*time.Second, m.reviews(4))
	is.True(m.inTime >= 19*(m.late+m.refused))
}

// TestPeakInSmallRegion: requests stay while they are in time, go to the region that
// has room when they would be late, and stay again when that is no better.
func TestPeakInSmallRegion(t *testing.T) {
	is := is.New(t)
	m := newEmulator(1, 50_000)
	room := cwpolicy.DomainCapacity{Domain: "b", Region: "south", ReportedAt: m.now, RoundTrip: 160 * time.Millisecond}
	room.PoolCapacity = cwpolicy.PoolCapacity{Endpoints: 4, Slots: 256, FreeSlots: 256, SecondsPerToken: 1.0 / 50_000}
	ask := func() cwplacement.Request {
		return cwplacement.Request{RemoteCapacities: []cwpolicy.DomainCapacity{room}}
	}
	demand := m.unshared()
	is.Equal(m.arrive(demand(), ask()).Action, cwplacement.ActionSend)
	relayed := 0
	for range 30 {
		d := m.arrive(demand(), ask())
		if d.Action != cwplacement.ActionRelay {
			continue
		}
		relayed++
		is.True(d.RemoteFirstByte < d.LocalFirstByte)     // better there
		is.True(d.RemoteFirstByte < 800*time.Millisecond) // and in time
	}
	is.True(relayed > 0)
	room.WaitSeconds = 30
	is.True(m.arrive(demand(), ask()).Action != cwplacement.ActionRelay)
	room.WaitSeconds, room.ReportedAt = 0, m.now.Add(-time.Minute) // too old to believe
	is.True(m.arrive(demand(), ask()).Action != cwplacement.ActionRelay)
}

// TestSharedPromptsAreHeldInOneRegion: two regions get requests for the same shared
// prompts. Each prompt is read in one of them, in proportion to their engines, while
// that region has room.
func TestSharedPromptsAreHeldInOneRegion(t *testing.T) {
	is := is.New(t)
	const prompts = 200
	north, south := newEmulator(1, 50_000), newEmulator(1, 50_000, 50_000, 50_000, 50_000)
	north.name("north", "a")
	south.name("south", "b")
	toSouth, toNorth := south.room(), north.room()
	placed := func(m *emulator, d cwplacement.Requirements, room cwpolicy.DomainCapacity) string {
		decision := m.arrive(d, cwplacement.Request{RemoteCapacities: []cwpolicy.DomainCapacity{room}})
		if decision.Action == cwplacement.ActionRelay {
			return decision.Domain
		}
		for _, p := range m.instances {
			return p.Domain
		}
		return ""
	}
	inNorth := 0
	for n := range uint64(prompts) {
		from, at := placed(north, north.review(n), toSouth), placed(south, south.review(n), toNorth)
		is.Equal(from, at)
		if at == "a" {
			inNorth++
		}
		north.idle()
		south.idle()
		// A newer summary has what was sent there, and that is done.
		toSouth.ReportedAt = toSouth.ReportedAt.Add(time.Millisecond)
		toNorth.ReportedAt = toSouth.ReportedAt
	}
	is.True(inNorth > prompts/5/2 && inNorth < prompts/5*2) // one engine of five
	// A region in which every endpoint fails gets none of them.
	toSouth.FailureRate = 0.4
	for n := range uint64(prompts) {
		is.Equal(placed(north, north.review(n), toSouth), "a")
		north.idle()
	}
	toSouth.FailureRate = 0
	// A region that is busy gets no more than what is in time there.
	toSouth.WaitSeconds = 0.5
	for n := range uint64(prompts) {
		is.Equal(placed(north, north.review(n), toSouth), "a")
		north.idle()
	}
}

// TestCachedPromptStays: a prompt that is in a cache here leaves a busy region only for
// a gain that is worth reading it again elsewhere.
func TestCachedPromptStays(t *testing.T) {
	is := is.New(t)
	m := newEmulator(1, 40_000)
	m.name("north", "a")
	room := cwpolicy.DomainCapacity{Domain: "b", Region: "south", ReportedAt: m.now, RoundTrip: 160 * time.Millisecond}
	room.PoolCapacity = cwpolicy.PoolCapacity{Endpoints: 1, Slots: 64, FreeSlots: 64, SecondsPerToken: 1.0 / 40_000}
	ask := cwplacement.Request{RemoteCapacities: []cwpolicy.DomainCapacity{room}}
	is.Equal(m.arrive(m.review(1)).Action, cwplacement.ActionSend) // now it is in the cache
	for range 6 {
		m.arrive(cwplacement.Requirements{PromptTokens: 3000, OutputTokens: 1, FirstByteTarget: time.Minute, FirstByteTimeout: time.Minute})
	}
	// 24,000 tokens wait: 0.65 s here against 0.29 s there, of which 0.075 s read again.
	is.Equal(m.arrive(m.review(1), ask).Action, cwplacement.ActionSend)
	for range 8 {
		m.arrive(cwplacement.Requirements{PromptTokens: 5000, OutputTokens: 1, FirstByteTarget: time.Minute, FirstByteTimeout: time.Minute})
	}
	is.Equal(m.arrive(m.review(1), ask).Action, cwplacement.ActionRelay) // too late here
}

// TestFreshNewsSpreadsLoad: thirteen instances of a domain place requests at twelve
// engines at 0.85 of what those can do. What they tell each other four times a second
// keeps more of it in time than what they tell twice a second.
func TestFreshNewsSpreadsLoad(t *testing.T) {
	is := is.New(t)
	late := func(tellEvery time.Duration) int {
		speeds := make([]float64, 12)
		for i := range speeds {
			speeds[i] = 50_000
		}
		m := newEmulator(13, speeds...)
		m.tellEvery = tellEvery
		m.play(80, 5*time.Second, m.reviews(60))
		m.inTime, m.late, m.refused = 0, 0, 0
		m.play(170, 20*time.Second, m.reviews(60))
		return m.late + m.refused
	}
	fresh := late(250 * time.Millisecond)
	is.True(fresh < late(500*time.Millisecond))
	is.True(fresh < 170*20/20) // 95 in 100 are in time
}

// TestNothingIsHeldThatCannotBeServed: a refusal comes at once and names a time.
func TestNothingIsHeldThatCannotBeServed(t *testing.T) {
	is := is.New(t)
	m := newEmulator(1, 10_000)
	demand := m.reviews(1)
	var last cwplacement.Decision
	for range 60 {
		last = m.arrive(demand())
	}
	is.Equal(last.Action, cwplacement.ActionRefuse)
	is.Equal(last.Reason, "overload")
	is.True(last.RetryAfter > 0)
}

// TestLostEndpointCountsAsCold: an endpoint that could not be reached may have
// restarted, and takes its cold rate only until a newer entry says otherwise.
func TestLostEndpointCountsAsCold(t *testing.T) {
	is := is.New(t)
	m := newEmulator(1, 50_000)
	p := m.instances[0]
	p.Service.ColdRate = 2
	e := p.Endpoints()["engine-0"]
	register := func() {
		p.Register(e.Endpoint, "north", true, m.now, m.now)
	}
	register()
	m.now = m.now.Add(time.Second)
	e.MarkUnreachable(m.now)
	m.now = m.now.Add(3 * time.Second) // the ejection is over
	sent := 0
	for range 10 {
		if m.arrive(m.reviews(1)()).Action == cwplacement.ActionSend {
			sent++
		}
	}
	is.Equal(sent, 1)
	m.now = m.now.Add(time.Second)
	register()
	is.Equal(m.arrive(m.reviews(1)()).Action, cwplacement.ActionSend)
	is.Equal(m.arrive(m.reviews(1)()).Action, cwplacement.ActionSend)
}
