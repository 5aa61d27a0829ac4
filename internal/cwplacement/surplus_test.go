package cwplacement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// surplusScene is a region whose only endpoint is busy for longer than requests may wait.
type surplusScene struct {
	now  time.Time
	pool *cwplacement.Pool
}

func newSurplusScene() *surplusScene {
	s := &surplusScene{now: time.Unix(1000, 0)}
	service := cwroute.Service{Name: "m", Engine: &cwroute.Engine{Slots: 64, MemoryTokens: 300_000, EventTokens: 6}}
	s.pool = cwplacement.NewPool(service, "home", rand.New(rand.NewPCG(1, 2)))
	s.pool.Register(cwroute.Endpoint{ID: "busy", Service: "m", Domain: "home", Slots: 64}, "north", true, s.now, s.now)
	s.decide(cwplacement.Requirements{PromptTokens: 80_000, FirstByteTarget: time.Hour, FirstByteTimeout: time.Hour})
	return s
}

func (s *surplusScene) decide(rs cwplacement.Requirements, domains ...cwpolicy.DomainCapacity) cwplacement.Decision {
	d := s.pool.Decide(&cwplacement.Request{Requirements: rs, Priority: 1, IsLocalAllowed: true, WasTried: never, WasDomainTried: never, RemoteCapacities: domains}, s.now)
	s.pool.TakeBackRelay(d)
	return d
}

// domain returns the summary of a domain in a region of its name, with a change if it is not nil.
func (s *surplusScene) domain(name string, change func(c *cwpolicy.DomainCapacity)) cwpolicy.DomainCapacity {
	c := cwpolicy.DomainCapacity{Domain: name, Region: name, ReportedAt: s.now, RoundTrip: 160 * time.Millisecond}
	c.PoolCapacity = cwpolicy.PoolCapacity{Endpoints: 10, Slots: 320, FreeSlots: 320, SecondsPerToken: 1.0 / 40_000}
	if change != nil {
		change(&c)
	}
	return c
}

// TestRelayAvoidsUnfitDomains guards against requests without a place in their region that are relayed
// to a domain which can't take them as well as another one.
func TestRelayAvoidsUnfitDomains(t *testing.T) {
	for _, row := range []struct {
		name string
		// change makes one of two domains differ from the other, and isChosen is set if it gets the
		// requests.
		change   func(c *cwpolicy.DomainCapacity)
		isChosen bool
	}{
		{"no room in time", func(c *cwpolicy.DomainCapacity) { c.WaitSeconds = 1 }, false},
		{"just started", func(c *cwpolicy.DomainCapacity) { c.Endpoints = 0 }, false},
		{"an old summary", func(c *cwpolicy.DomainCapacity) { c.ReportedAt = c.ReportedAt.Add(-5 * time.Second) }, false},
		{"far away", func(c *cwpolicy.DomainCapacity) { c.RoundTrip += 200 * time.Millisecond }, false},
		{"its own region through another instance", func(c *cwpolicy.DomainCapacity) { c.RoundTrip = 2 * time.Millisecond }, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := newSurplusScene()
			chosen := "other"
			if row.isChosen {
				chosen = "changed"
			}
			for i := range uint64(100) {
				parts := []cwplacement.PromptPart{{ID: i, Tokens: 4000}}
				d := s.decide(cwplacement.Requirements{PromptTokens: 4000, PromptParts: parts, FirstByteTarget: time.Second, FirstByteTimeout: 4 * time.Second}, s.domain("changed", row.change), s.domain("other", nil))
				is.Equal(d.Action, cwplacement.ActionRelay)
				is.Equal(d.Domain, chosen)
			}
		})
	}
}

// TestNoSurplusWithoutOtherRegions guards against requests that leave a region which is cut off from
// all others.
func TestNoSurplusWithoutOtherRegions(t *testing.T) {
	is := is.New(t)
	s := newSurplusScene()
	d := s.decide(cwplacement.Requirements{PromptTokens: 4000, FirstByteTarget: time.Second, FirstByteTimeout: 4 * time.Second})
	is.Equal(d.Reason, "late")
	is.Equal(d.Placement.EndpointID, "busy")
}
