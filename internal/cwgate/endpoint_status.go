package cwgate

import (
	"cmp"
	"slices"
	"time"
)

// EndpointStatus is what an instance believes of one endpoint of its region.
type EndpointStatus struct {
	// ID, Address, Service and Domain say which.
	ID      string `json:"id"`
	Address string `json:"address"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Usable is set if a request may go there now; Drains, Evacuated and Cold say
	// why it may not.
	Usable    bool `json:"usable"`
	Draining  bool `json:"drains"`
	Evacuated bool `json:"evacuated"`
	Cold      bool `json:"cold"`
	// InFlight is the number of this instance's requests there.
	InFlight int `json:"inFlight"`
	// TokensPerSecond is the learnt speed, and Failures the share of failures.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	Failures        float64 `json:"failures"`
}

// EndpointStatuses returns what is believed of each endpoint, by identifier.
func (g *Gate) EndpointStatuses(now time.Time) []EndpointStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(now)
	list := []EndpointStatus{}
	for service, p := range g.pools {
		for id, e := range p.Endpoints() {
			list = append(list, EndpointStatus{
				ID: id, Address: e.Address, Service: service, Domain: e.Domain,
				Usable: e.IsUsable(now), Draining: e.HasStartedDraining, Evacuated: e.IsEvacuated, Cold: e.IsCold(now),
				InFlight: e.OwnWork().InFlight, TokensPerSecond: e.PromptSpeed(), Failures: e.FailureRate(now),
			})
		}
	}
	slices.SortFunc(list, func(a, b EndpointStatus) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
