package cwplacement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// TestRegionPeakIsDividedAmongIdleRegions guards against instances that all relay to the domain
// which looks best in the summaries that they share. Their region has no endpoint left, two other
// regions are idle, one of them with twice as many endpoints. Within one summary interval each
// domain must get no more than it processes within the target, and both together all requests.
func TestRegionPeakIsDividedAmongIdleRegions(t *testing.T) {
	is := is.New(t)
	const (
		instances, requestsEach = 60, 1
		promptTokens            = 9000
		tokensPerSecond         = 40_000
		target                  = 2 * time.Second
	)
	m := newEmulator(instances)
	capacities := []cwpolicy.DomainCapacity{
		{Domain: "b", Region: "south", ReportedAt: m.now, RoundTrip: 160 * time.Millisecond},
		{Domain: "c", Region: "west", ReportedAt: m.now, RoundTrip: 161 * time.Millisecond},
	}
	endpoints := map[string]int{"b": 6, "c": 12}
	for i := range capacities {
		n := endpoints[capacities[i].Domain]
		capacities[i].PoolCapacity = cwpolicy.PoolCapacity{Endpoints: n, Slots: 64 * n, FreeSlots: 64 * n, SecondsPerToken: 1.0 / tokensPerSecond}
	}
	relayed := make(map[string]int)
	for range requestsEach {
		for _, p := range m.instances {
			d := p.Decide(&cwplacement.Request{
				Requirements:     cwplacement.Requirements{PromptTokens: promptTokens, OutputTokens: 50, FirstByteTarget: target, FirstByteTimeout: 8 * time.Second},
				RemoteCapacities: capacities, RelayingInstances: instances, WasTried: never, WasDomainTried: never,
			}, m.now)
			is.Equal(d.Action, cwplacement.ActionRelay)
			relayed[d.Domain]++
		}
	}
	t.Logf("relayed: %v", relayed)
	for domain, n := range relayed {
		seconds := float64(n*promptTokens) / float64(endpoints[domain]*tokensPerSecond)
		is.True(seconds < target.Seconds())
	}
	is.True(relayed["c"] > relayed["b"]) // in proportion to their endpoints
}
