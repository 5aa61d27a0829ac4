package cwplacement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// TestOverloadKeepsCapacityOnTime guards against late work that delays other work under
// overload. Half more requests arrive than the engines can process. At least four fifths
// of what they can process must be served on time, and more than without bands.
func TestOverloadKeepsCapacityOnTime(t *testing.T) {
	is := is.New(t)
	overload := func(withoutBands bool) *emulator {
		m := newEmulator(2, 50_000, 50_000, 50_000, 50_000)
		m.withoutBands = withoutBands
		m.run(20, 5*time.Second, m.sharedPromptRequests(8)) // fills the caches and measures the speeds
		m.onTime, m.late, m.refused = 0, 0, 0
		m.run(100, 10*time.Second, m.sharedPromptRequests(8))
		return m
	}
	withBands, withoutBands := overload(false), overload(true)
	// 4 engines process 200,000 tokens per second: 66 requests of 3,000 uncached tokens.
	capacity := 66 * 10
	is.True(withBands.onTime >= capacity*8/10)
	is.True(withBands.onTime > withoutBands.onTime)
}

// TestSharedPromptsAreProcessedOnce guards against shared parts that are processed at
// every engine. At low load they are processed about once, although three instances
// place requests independently.
func TestSharedPromptsAreProcessedOnce(t *testing.T) {
	is := is.New(t)
	m := newEmulator(3, 30_000, 50_000, 80_000, 50_000, 50_000)
	const prompts = 40
	m.run(25, 30*time.Second, m.sharedPromptRequests(prompts))
	once := prompts*3500 + 4*2500*len(m.engines)
	atEachEngine := prompts*3500*len(m.engines) + 4*2500*len(m.engines)
	is.True(m.processedSharedTokens < 2*once)
	is.True(m.processedSharedTokens < atEachEngine/2)
	is.True(m.onTime > 9*m.late)
}

// TestDegradedEndpointIsAvoided guards against an engine that fails half of its requests
// but would pass its health checks. The failed requests alone must move the load away,
// because health checks are not used.
func TestDegradedEndpointIsAvoided(t *testing.T) {
	is := is.New(t)
	m := newEmulator(3, 50_000, 50_000, 50_000, 50_000)
	m.run(20, 5*time.Second, m.sharedPromptRequests(8))
	degraded := m.engines["engine-0"]
	degraded.failureRate = 0.5
	m.run(20, 2*time.Second, m.sharedPromptRequests(8))
	before := degraded.requests
	m.run(20, 5*time.Second, m.sharedPromptRequests(8))
	is.True(degraded.requests-before < 20*5/10) // less than a tenth; an even share is a quarter
	degraded.failureRate, before = 0, degraded.requests
	m.run(60, 10*time.Second, m.sharedPromptRequests(8))
	is.True(degraded.requests-before > 20) // back in use once it has recovered and is needed
}

// TestUnresponsiveEndpointIsAvoided guards against an engine that never answers half of
// its requests and answers the rest normally. Callers abandon the unanswered requests
// only after seconds; the overdue first bytes must move the load away sooner.
func TestUnresponsiveEndpointIsAvoided(t *testing.T) {
	is := is.New(t)
	m := newEmulator(3, 50_000, 50_000, 50_000, 50_000)
	m.run(20, 5*time.Second, m.sharedPromptRequests(8))
	unresponsive := m.engines["engine-0"]
	unresponsive.unansweredShare = 0.5
	m.run(20, 2*time.Second, m.sharedPromptRequests(8))
	before := unresponsive.requests
	m.run(20, 5*time.Second, m.sharedPromptRequests(8))
	is.True(unresponsive.requests-before < 20*5/10) // less than a tenth; an even share is a quarter
}

// TestPausesCostOnlyTheirCapacity guards against requests that are spent on engines in a pause, and against
// a rush when it ends. Half of the engines ask for a pause again and again, and one leaves; the others
// can serve the whole load.
func TestPausesCostOnlyTheirCapacity(t *testing.T) {
	is := is.New(t)
	const instances, pauses, pause, load = 3, 4, 2 * time.Second, 8.0
	m := newEmulator(instances, 50_000, 50_000, 50_000, 50_000, 50_000)
	m.run(load, 5*time.Second, m.sharedPromptRequests(8))
	m.onTime, m.late, m.refused, m.rejected = 0, 0, 0, 0
	leaving := m.engines["engine-4"]
	leaving.isLeaving = true
	for range pauses {
		for _, id := range []string{"engine-0", "engine-1"} {
			m.engines[id].pausedUntil = m.now.Add(pause)
		}
		m.run(load, pause+500*time.Millisecond, m.sharedPromptRequests(8))
	}
	t.Logf("%d on time, %d late, %d refused, %d rejected, %d at the one that leaves", m.onTime, m.late, m.refused, m.rejected, leaving.requests)
	is.True(m.rejected <= 2*pauses*instances)  // one for each engine, pause and instance
	is.True(m.onTime >= 19*(m.late+m.refused)) // rejected ones are sent elsewhere
	before := leaving.requests
	m.run(load, 5*time.Second, m.sharedPromptRequests(8))
	is.True(leaving.requests-before <= instances) // each instance is told by a response of its own
	before = m.engines["engine-0"].requests
	m.run(4*load, 5*time.Second, m.sharedPromptRequests(8))
	is.True(m.engines["engine-0"].requests-before >= 10) // in use again under load
}

// TestDifferentSpeedsAreMeasured guards against slow engines that get as much load as
// fast ones. Engines differ by a factor of ten, and at half of their capacity at least
// 19 of 20 requests must be on time.
func TestDifferentSpeedsAreMeasured(t *testing.T) {
	is := is.New(t)
	m := newEmulator(2, 10_000, 20_000, 100_000, 100_000)
	m.run(15, 10*time.Second, m.sharedPromptRequests(4))
	m.onTime, m.late, m.refused = 0, 0, 0
	m.run(38, 10*time.Second, m.sharedPromptRequests(4))
	is.True(m.onTime >= 19*(m.late+m.refused))
}

// TestLocalOverloadIsRelayed guards against requests that are late here while another
// region has free capacity, and against needless relays. Requests stay local while they
// are on time, and also when that region is no better or its capacity summary is too old.
func TestLocalOverloadIsRelayed(t *testing.T) {
	is := is.New(t)
	m := newEmulator(1, 50_000)
	remote := cwpolicy.DomainCapacity{Domain: "b", Region: "south", ReportedAt: m.now, RoundTrip: 160 * time.Millisecond}
	remote.PoolCapacity = cwpolicy.PoolCapacity{Endpoints: 4, Slots: 256, FreeSlots: 256, SecondsPerToken: 1.0 / 50_000}
	withRemote := func() cwplacement.Request {
		return cwplacement.Request{RemoteCapacities: []cwpolicy.DomainCapacity{remote}}
	}
	next := m.unsharedRequests()
	is.Equal(m.arrive(next(), withRemote()).Action, cwplacement.ActionSend)
	relayed := 0
	for range 30 {
		d := m.arrive(next(), withRemote())
		if d.Action != cwplacement.ActionRelay {
			continue
		}
		relayed++
		is.True(d.RemoteFirstByte < d.LocalFirstByte)     // it is earlier there
		is.True(d.RemoteFirstByte < 800*time.Millisecond) // and on time
	}
	is.True(relayed > 0)
	remote.WaitSeconds = 30
	is.True(m.arrive(next(), withRemote()).Action != cwplacement.ActionRelay)
	remote.WaitSeconds, remote.ReportedAt = 0, m.now.Add(-time.Minute) // too old
	is.True(m.arrive(next(), withRemote()).Action != cwplacement.ActionRelay)
}

// TestSharedPromptsAreCachedInOneRegion guards against shared prompts that are processed
// in every region. Two regions get requests for the same shared prompts. Both must pick
// the same region for a prompt, in proportion to their engines, while that region has
// free capacity.
func TestSharedPromptsAreCachedInOneRegion(t *testing.T) {
	is := is.New(t)
	const prompts = 200
	north, south := newEmulator(1, 50_000), newEmulator(1, 50_000, 50_000, 50_000, 50_000)
	north.setDomain("north", "a")
	south.setDomain("south", "b")
	southCapacity, northCapacity := south.capacity(), north.capacity()
	domainOf := func(m *emulator, rs cwplacement.Requirements, remote cwpolicy.DomainCapacity) string {
		decision := m.arrive(rs, cwplacement.Request{RemoteCapacities: []cwpolicy.DomainCapacity{remote}})
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
		fromNorth, fromSouth := domainOf(north, north.sharedPromptRequest(n), southCapacity), domainOf(south, south.sharedPromptRequest(n), northCapacity)
		is.Equal(fromNorth, fromSouth)
		if fromSouth == "a" {
			inNorth++
		}
		north.endQueued()
		south.endQueued()
		// The newer summaries include the relayed requests, which have ended.
		southCapacity.ReportedAt = southCapacity.ReportedAt.Add(time.Millisecond)
		northCapacity.ReportedAt = southCapacity.ReportedAt
	}
	is.True(inNorth > prompts/5/2 && inNorth < prompts/5*2) // the north has one engine of five
	// A region in which every endpoint has a high failure rate gets none of them.
	southCapacity.FailureRate = 0.4
	for n := range uint64(prompts) {
		is.Equal(domainOf(north, north.sharedPromptRequest(n), southCapacity), "a")
		north.endQueued()
	}
	southCapacity.FailureRate = 0
	// A busy region gets only requests that are on time there.
	southCapacity.WaitSeconds = 0.5
	for n := range uint64(prompts) {
		is.Equal(domainOf(north, north.sharedPromptRequest(n), southCapacity), "a")
		north.endQueued()
	}
}

// TestCachedPromptStaysLocal guards against a request that is relayed from a busy region
// although its prompt is cached there. It is relayed only if the gain outweighs
// processing the prompt again elsewhere.
func TestCachedPromptStaysLocal(t *testing.T) {
	is := is.New(t)
	m := newEmulator(1, 40_000)
	m.setDomain("north", "a")
	remote := cwpolicy.DomainCapacity{Domain: "b", Region: "south", ReportedAt: m.now, RoundTrip: 160 * time.Millisecond}
	remote.PoolCapacity = cwpolicy.PoolCapacity{Endpoints: 1, Slots: 64, FreeSlots: 64, SecondsPerToken: 1.0 / 40_000}
	withRemote := cwplacement.Request{RemoteCapacities: []cwpolicy.DomainCapacity{remote}}
	is.Equal(m.arrive(m.sharedPromptRequest(1)).Action, cwplacement.ActionSend) // fills the cache
	for range 6 {
		m.arrive(cwplacement.Requirements{PromptTokens: 3000, OutputTokens: 1, FirstByteTarget: time.Minute, FirstByteTimeout: time.Minute})
	}
	// With 24,000 tokens queued, the first byte takes 0.65 s here and 0.29 s there, of
	// which 0.075 s process cached parts again.
	is.Equal(m.arrive(m.sharedPromptRequest(1), withRemote).Action, cwplacement.ActionSend)
	for range 8 {
		m.arrive(cwplacement.Requirements{PromptTokens: 5000, OutputTokens: 1, FirstByteTarget: time.Minute, FirstByteTimeout: time.Minute})
	}
	is.Equal(m.arrive(m.sharedPromptRequest(1), withRemote).Action, cwplacement.ActionRelay) // it would be too late here
}

// TestFrequentExchangesSpreadLoad guards against load that piles up at some engines
// because the instances learn too late of each other's work. Thirteen instances of a
// domain place requests at twelve engines, at 0.85 of the engines' capacity. Four
// exchanges of reports per second must keep more requests on time than two.
func TestFrequentExchangesSpreadLoad(t *testing.T) {
	is := is.New(t)
	countLate := func(exchangeInterval time.Duration) int {
		speeds := make([]float64, 12)
		for i := range speeds {
			speeds[i] = 50_000
		}
		m := newEmulator(13, speeds...)
		m.exchangeInterval = exchangeInterval
		m.run(80, 5*time.Second, m.sharedPromptRequests(60))
		m.onTime, m.late, m.refused = 0, 0, 0
		m.run(170, 20*time.Second, m.sharedPromptRequests(60))
		return m.late + m.refused
	}
	frequent := countLate(250 * time.Millisecond)
	is.True(frequent < countLate(500*time.Millisecond))
	is.True(frequent < 170*20/20) // 95 in 100 are on time
}

// TestOverloadIsRefusedAtOnce guards against requests that wait although they can't be
// served. They are refused by the decision itself, with a time to retry.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	m := newEmulator(1, 10_000)
	next := m.sharedPromptRequests(1)
	var last cwplacement.Decision
	for range 60 {
		last = m.arrive(next())
	}
	is.Equal(last.Action, cwplacement.ActionRefuse)
	is.Equal(last.Reason, "overload")
	is.True(last.RetryAfter > 0)
}

// TestUnreachableEndpointCountsAsCold guards against full load on an endpoint that has
// restarted but whose new entry has not arrived. An endpoint that could not be reached
// gets only its cold rate until a newer entry shows that it is not cold.
func TestUnreachableEndpointCountsAsCold(t *testing.T) {
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
		if m.arrive(m.sharedPromptRequests(1)()).Action == cwplacement.ActionSend {
			sent++
		}
	}
	is.Equal(sent, 1)
	m.now = m.now.Add(time.Second)
	register()
	is.Equal(m.arrive(m.sharedPromptRequests(1)()).Action, cwplacement.ActionSend)
	is.Equal(m.arrive(m.sharedPromptRequests(1)()).Action, cwplacement.ActionSend)
}

// TestPartlyHeardWorkIsExtrapolated guards against requests that engines reject for lack of room while
// others have some, because an instance of a large region hears only a third of the others within
// the age of a report, and takes the engines with shared parts for nearly idle.
func TestPartlyHeardWorkIsExtrapolated(t *testing.T) {
	is := is.New(t)
	run := func(heardShare float64) *emulator {
		speeds := make([]float64, 24)
		for n := range speeds {
			speeds[n] = 56_600
		}
		m := newEmulator(98, speeds...)
		m.heardShare = heardShare
		for _, e := range m.engines {
			e.room = 12
		}
		m.run(100, 2*time.Second, m.sharedPromptRequests(40)) // fills the caches
		m.onTime, m.late, m.refused, m.rejected = 0, 0, 0, 0
		// 24 engines process 1,358,400 tokens a second: 452 requests of 3,000 uncached tokens.
		m.run(420, 4*time.Second, m.sharedPromptRequests(40))
		t.Logf("heard %.2f: on time %d, late %d, refused %d, rejected %d", heardShare, m.onTime, m.late, m.refused, m.rejected)
		return m
	}
	all, third := run(1), run(0.33)
	// What is not heard costs at most a tenth of the requests on time.
	is.True(third.onTime >= all.onTime*9/10)
	is.True(third.rejected <= all.rejected+4*420/100)
}
