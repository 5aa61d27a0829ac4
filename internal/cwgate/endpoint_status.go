package cwgate

import (
	"cmp"
	"slices"
	"time"
)

// EndpointStatus is the state of an endpoint of the region, as this instance observes
// it.
type EndpointStatus struct {
	// ID, Address, Service and Domain identify the endpoint.
	ID      string `json:"id"`
	Address string `json:"address"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Usable is set if this instance may send requests to the endpoint now. Draining and
	// Evacuated are reasons against it; while Cold is set, only one instance may.
	Usable    bool `json:"usable"`
	Draining  bool `json:"drains"`
	Evacuated bool `json:"evacuated"`
	Cold      bool `json:"cold"`
	// Leaving is set if the endpoint has stated in a response that it is leaving, and PauseSeconds
	// is the rest of the pause that it asked this instance for.
	Leaving      bool    `json:"leaving"`
	PauseSeconds float64 `json:"pauseSeconds"`
	// RateLimit is the limit that the endpoint names, in requests per second for all
	// instances together; null if it names none.
	RateLimit *float64 `json:"rateLimit"`
	// RateShare is this instance's share of that limit, in requests per second.
	RateShare float64 `json:"rateShare"`
	// InFlight is the number of this instance's requests in progress at the endpoint.
	InFlight int `json:"inFlight"`
	// TokensPerSecond is the estimated prompt speed, and FailureRate the fraction of failed
	// requests.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	FailureRate     float64 `json:"failures"`
}

// EndpointStatuses returns the state of each endpoint of the region, sorted by
// identifier.
func (g *Gate) EndpointStatuses(now time.Time) []EndpointStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(now)
	statuses := []EndpointStatus{}
	for service, p := range g.pools {
		for id, e := range p.Endpoints() {
			var rateLimit *float64
			if l := e.RateLimit(); l.IsNamed {
				rateLimit = &l.PerSecond
			}
			statuses = append(statuses, EndpointStatus{
				ID: id, Address: e.Address, Service: service, Domain: e.Domain,
				Usable: e.IsUsable(now), Draining: e.HasStartedDraining(), Evacuated: e.IsEvacuated, Cold: e.IsCold(now), Leaving: e.IsLeaving(), PauseSeconds: e.PauseLeft(now).Seconds(), RateLimit: rateLimit, RateShare: e.RateShare(),
				InFlight: e.OwnWork().InFlight, TokensPerSecond: e.PromptSpeed(), FailureRate: e.FailureRate(now),
			})
		}
	}
	slices.SortFunc(statuses, func(a, b EndpointStatus) int { return cmp.Compare(a.ID, b.ID) })
	return statuses
}
