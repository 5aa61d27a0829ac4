package cwplacement_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// explainScene is a pool of three endpoints of one region, and a request to it.
type explainScene struct {
	now     time.Time
	pool    *cwplacement.Pool
	request *cwplacement.Request
}

func newExplainScene() *explainScene {
	s := &explainScene{now: time.Unix(1000, 0)}
	service := cwroute.Service{Name: "m", ColdRate: 1, Engine: &cwroute.Engine{Slots: 8, MemoryTokens: 300_000, EventTokens: 4}}
	s.pool = cwplacement.NewPool(service, "a", rand.New(rand.NewPCG(1, 2)))
	for _, id := range []string{"e1", "e2", "e3"} {
		s.register(id, s.now)
	}
	s.request = &cwplacement.Request{
		Requirements: cwplacement.Requirements{
			PromptTokens: 4000, OutputTokens: 100, FirstByteTarget: time.Second, FirstByteTimeout: 4 * time.Second,
			PromptParts: []cwplacement.PromptPart{{ID: 7, Tokens: 3000}, {ID: 8, Tokens: 1000}},
		},
		Priority: 1, IsLocalAllowed: true, WasTried: never, WasDomainTried: never,
	}
	return s
}

func (s *explainScene) register(id string, coldUntil time.Time) {
	s.pool.Register(cwroute.Endpoint{ID: id, Service: "m", Domain: "a", Slots: 8}, "north", true, s.now, coldUntil)
}

// fill sends requests to the endpoints until all of them are busy.
func (s *explainScene) fill(n int) {
	filler := *s.request
	filler.FirstByteTarget, filler.FirstByteTimeout, filler.PromptParts = time.Hour, time.Hour, nil
	for range n {
		s.pool.Decide(&filler, s.now)
	}
}

func (s *explainScene) addDomain(domain string, waitSeconds float64, age time.Duration) {
	s.request.RemoteCapacities = append(s.request.RemoteCapacities, cwpolicy.DomainCapacity{
		PoolCapacity: cwpolicy.PoolCapacity{Endpoints: 2, Slots: 16, FreeSlots: 16, WaitSeconds: waitSeconds, SecondsPerToken: 1.0 / 50_000},
		Domain:       domain, Region: "south", ReportedAt: s.now.Add(-age), RoundTrip: 30 * time.Millisecond,
	})
}

func (s *explainScene) each(do func(e *cwplacement.Endpoint)) {
	for _, e := range s.pool.Endpoints() {
		do(e)
	}
}

// work returns the work of this instance at each endpoint.
func (s *explainScene) work() map[string]cwplacement.Work {
	work := make(map[string]cwplacement.Work)
	s.each(func(e *cwplacement.Endpoint) { work[e.ID] = e.OwnWork() })
	return work
}

// placeOf returns the endpoint or domain of a decision, empty for a refusal.
func placeOf(d cwplacement.Decision) string {
	if d.Placement != nil {
		return d.Placement.EndpointID
	}
	return d.Domain
}

// exclusionsOf returns what excludes each place of an explanation.
func exclusionsOf(x cwplacement.Explanation) map[string]cwplacement.Exclusion {
	exclusions := make(map[string]cwplacement.Exclusion)
	for _, c := range x.Endpoints {
		exclusions[c.ID] = c.Exclusion
	}
	for _, c := range x.Domains {
		exclusions[c.Domain] = c.Exclusion
	}
	return exclusions
}

// TestExplanationAgreesWithDecision guards against an explanation that differs from the decision
// that follows, and against one that changes what is decided: it must place nothing, count nothing
// and spend nothing.
func TestExplanationAgreesWithDecision(t *testing.T) {
	for _, sc := range []struct {
		name       string
		prepare    func(s *explainScene)
		action     string
		reason     string
		exclusions map[string]cwplacement.Exclusion
	}{
		{"free endpoint beside tried ones", func(s *explainScene) {
			s.request.WasTried = func(id string) bool { return id != "e2" }
		}, "send", "local", map[string]cwplacement.Exclusion{"e1": "tried", "e2": "", "e3": "tried"}},
		{"ejected, evacuated and paused", func(s *explainScene) {
			s.pool.Endpoint("e1").MarkUnreachable(s.now)
			s.pool.Endpoint("e2").IsEvacuated = true
			s.pool.Endpoint("e3").AnnouncePause(3*time.Second, s.now)
		}, "refuse", "paused", map[string]cwplacement.Exclusion{"e1": "ejected", "e2": "evacuated", "e3": "paused"}},
		{"cold endpoint whose rate is spent", func(s *explainScene) {
			s.register("e1", s.now.Add(time.Minute))
			only := *s.request
			only.WasTried = func(id string) bool { return id != "e1" }
			s.pool.Decide(&only, s.now)
			s.request.WasTried = func(id string) bool { return id == "e3" }
		}, "send", "local", map[string]cwplacement.Exclusion{"e1": "cold", "e2": "", "e3": "tried"}},
		{"spent rate limits", func(s *explainScene) {
			s.each(func(e *cwplacement.Endpoint) {
				e.ObserveRateLimit(true, 2, s.now, s.now)
				e.SetRateShare(2, 0, s.now)
			})
		}, "refuse", "rateLimit", map[string]cwplacement.Exclusion{"e1": "rateLimit", "e2": "rateLimit", "e3": "rateLimit"}},
		{"rate limits without a share", func(s *explainScene) {
			s.each(func(e *cwplacement.Endpoint) { e.ObserveRateLimit(true, 2, s.now, s.now) })
		}, "refuse", "rateLimit", map[string]cwplacement.Exclusion{"e1": "rateLimit", "e2": "rateLimit", "e3": "rateLimit"}},
		{"brittle without slots", func(s *explainScene) {
			s.pool.RecordBrittle(true, s.now, s.now)
		}, "refuse", "brittle", map[string]cwplacement.Exclusion{"e1": "full", "e2": "full", "e3": "full"}},
		{"busy here, cached elsewhere", func(s *explainScene) {
			s.fill(60)
			s.addDomain("b", 0.1, 0)
		}, "relay", "held", map[string]cwplacement.Exclusion{"e1": "", "e2": "", "e3": "", "b": ""}},
		{"busy here, free elsewhere", func(s *explainScene) {
			s.fill(60)
			s.request.PromptParts = nil
			s.addDomain("b", 0.1, 0)
			s.addDomain("c", 0, time.Minute)
		}, "relay", "away", map[string]cwplacement.Exclusion{"e1": "", "e2": "", "e3": "", "b": "", "c": "stale"}},
		{"domain that was tried", func(s *explainScene) {
			s.request.IsLocalAllowed = false
			s.addDomain("b", 0, 0)
			s.addDomain("c", 0, 0)
			s.request.WasDomainTried = func(domain string) bool { return domain == "b" }
		}, "relay", "away", map[string]cwplacement.Exclusion{"e1": "region", "e2": "region", "e3": "region", "b": "tried", "c": ""}},
		{"late", func(s *explainScene) {
			s.request.WasTried = func(id string) bool { return id != "e3" }
			s.fill(15)
		}, "send", "late", map[string]cwplacement.Exclusion{"e1": "tried", "e2": "tried", "e3": ""}},
		{"overload", func(s *explainScene) { s.fill(2000) }, "refuse", "overload", map[string]cwplacement.Exclusion{"e1": "", "e2": "", "e3": ""}},
		{"no endpoint, just started", func(s *explainScene) {
			s.pool.Retain(func(string) bool { return false })
			s.request.IsStarting = true
		}, "refuse", "noPlace", map[string]cwplacement.Exclusion{}},
		{"relayed to this instance", func(s *explainScene) {
			s.each(func(e *cwplacement.Endpoint) { e.IsEvacuated = true })
			s.addDomain("b", 0, 0)
			s.request.IsRelayed = true
		}, "refuse", "noPlace", map[string]cwplacement.Exclusion{"e1": "evacuated", "e2": "evacuated", "e3": "evacuated", "b": "relayed"}},
	} {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			explained, control := newExplainScene(), newExplainScene()
			sc.prepare(explained)
			sc.prepare(control)
			work, arrivals := explained.work(), explained.pool.ArrivalsPerSecond(explained.now)
			x := explained.pool.Explain(explained.request, explained.now)
			is.Equal(x, explained.pool.Explain(explained.request, explained.now))
			is.Equal(explained.work(), work)
			is.Equal(explained.pool.ArrivalsPerSecond(explained.now), arrivals)
			is.Equal(exclusionsOf(x), sc.exclusions)
			is.Equal(x.Action, sc.action)
			is.Equal(x.Reason, sc.reason)

			d := explained.pool.Decide(explained.request, explained.now)
			is.Equal(d.Reason, x.Reason)
			is.Equal(placeOf(d), x.Place)
			is.True(d.RetryAfter >= time.Duration(x.RetryAfterSeconds*float64(time.Second)))
			// A pool that has explained nothing decides the same, also from then on.
			for range 5 {
				same := control.pool.Decide(control.request, control.now)
				is.Equal(same.Reason, d.Reason)
				is.Equal(placeOf(same), placeOf(d))
				is.Equal(same.RetryAfter, d.RetryAfter)
				d = explained.pool.Decide(explained.request, explained.now)
			}
		})
	}
}

// TestExplanationOrdersCandidates guards against an explanation whose first candidate is not the
// place: candidates come by cost, those that are excluded last.
func TestExplanationOrdersCandidates(t *testing.T) {
	is := is.New(t)
	s := newExplainScene()
	s.pool.Endpoint("e1").IsEvacuated = true
	first := s.pool.Decide(s.request, s.now)
	x := s.pool.Explain(s.request, s.now)
	is.Equal(x.Place, first.Placement.EndpointID) // it has the prompt in its cache
	is.Equal(x.Endpoints[0].ID, x.Place)
	is.Equal(x.Endpoints[2].ID, "e1")
	is.True(x.Endpoints[0].Cost < x.Endpoints[1].Cost)
	is.Equal(x.Endpoints[0].RecomputedTokens, 0)
	is.Equal(x.Endpoints[1].RecomputedTokens, 3000)
	is.True(slices.IsSortedFunc(x.Endpoints[:2], func(a, b cwplacement.EndpointCandidate) int {
		if a.Cost < b.Cost {
			return -1
		}
		return 1
	}))
}

// TestExplanationIsBounded guards against an explanation that grows with the region: the cheapest
// candidates stay and the others are counted by what excludes them.
func TestExplanationIsBounded(t *testing.T) {
	is := is.New(t)
	s := newExplainScene()
	s.pool.Endpoint("e1").IsEvacuated = true
	x := s.pool.Explain(s.request, s.now)
	x.Limit(1)
	is.Equal(len(x.Endpoints), 1)
	is.Equal(x.Endpoints[0].ID, x.Place)
	is.Equal(x.OtherEndpoints, map[cwplacement.Exclusion]int{"costlier": 1, "evacuated": 1})
}
