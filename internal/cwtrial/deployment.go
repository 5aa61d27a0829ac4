package cwtrial

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// Deployment is one user's endpoints, instances and load.
type Deployment struct {
	// Name identifies the deployment in the tables.
	Name string
	// Regions, InstancesPer and EndpointsPer give the size.
	Regions, InstancesPer, EndpointsPer int
	// Slots, Speed and Interval describe an endpoint: requests at once, prompt
	// tokens per second, time between tokens.
	Slots    int
	Speed    float64
	Interval time.Duration
	// CachedPrefixes is the size of an endpoint's prefix cache.
	CachedPrefixes int
	// RoundTrip is that between regions.
	RoundTrip time.Duration
	// Load describes the arrivals.
	Load Load
	// Target, Deadline and Weights are those of the service.
	Target, Deadline time.Duration
	Weights          cwservice.Weights
}

// Deployments returns both users at today's size and one domain at the two-year
// size.
func Deployments() []Deployment {
	day := 2 * time.Minute
	return []Deployment{
		{
			Name: "prairie crew-assist", Regions: 3, InstancesPer: 2, EndpointsPer: 4,
			Slots: 16, Speed: 6000, Interval: 25 * time.Millisecond, CachedPrefixes: 20, RoundTrip: 160 * time.Millisecond,
			Load:   Load{PerSecond: 8, Swing: 0.5, Period: day, Prefixes: 200, SharedTokens: 1500, OwnTokens: 200, Output: 100},
			Target: 510 * time.Millisecond, Deadline: 10 * time.Second,
			Weights: cwservice.Weights{Cost: 0.2, Tail: 5, Away: 0.5},
		},
		{
			Name: "myrtle student-chat", Regions: 3, InstancesPer: 2, EndpointsPer: 3,
			Slots: 16, Speed: 4000, Interval: 30 * time.Millisecond, CachedPrefixes: 20, RoundTrip: 160 * time.Millisecond,
			Load:   Load{PerSecond: 4, Swing: 0.5, Period: day, Prefixes: 200, SharedTokens: 1500, OwnTokens: 200, Output: 150},
			Target: 3 * time.Second, Deadline: 30 * time.Second,
			Weights: cwservice.Weights{Cost: 5, Tail: 0.5, Away: 2},
		},
		{
			Name: "two-year domain", Regions: 1, InstancesPer: 2, EndpointsPer: 65,
			Slots: 16, Speed: 6000, Interval: 25 * time.Millisecond, CachedPrefixes: 20, RoundTrip: 160 * time.Millisecond,
			Load:   Load{PerSecond: 145, Prefixes: 2000, SharedTokens: 1500, OwnTokens: 200, Output: 100},
			Target: 510 * time.Millisecond, Deadline: 10 * time.Second,
			Weights: cwservice.Weights{Cost: 0.2, Tail: 5, Away: 0.5},
		},
	}
}
