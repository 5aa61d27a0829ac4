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
	Regions, InstancesPerRegion, EndpointsPerRegion int
	// Slots, Speed and Interval describe an endpoint: requests at once, prompt
	// tokens per second, time between tokens.
	Slots                 int
	PromptTokensPerSecond float64
	TokenInterval         time.Duration
	// MaxCachedPrefixes is the size of an endpoint's prefix cache.
	MaxCachedPrefixes int
	// RoundTrip is that between regions.
	RoundTrip time.Duration
	// Workload describes the arrivals.
	Workload Workload
	// FirstTokenTarget, Deadline and Weights are those of the service.
	FirstTokenTarget, RequestTimeout time.Duration
	Weights                          cwservice.Weights
}

// Deployments returns both users at today's size and one domain at the two-year
// size.
func Deployments() []Deployment {
	day := 2 * time.Minute
	return []Deployment{
		{
			Name: "prairie crew-assist", Regions: 3, InstancesPerRegion: 2, EndpointsPerRegion: 4,
			Slots: 16, PromptTokensPerSecond: 6000, TokenInterval: 25 * time.Millisecond, MaxCachedPrefixes: 20, RoundTrip: 160 * time.Millisecond,
			Workload:         Workload{RequestsPerSecond: 8, DailyAmplitude: 0.5, DayLength: day, SharedPrefixes: 200, SharedTokens: 1500, MeanUniqueTokens: 200, MeanOutputTokens: 100},
			FirstTokenTarget: 510 * time.Millisecond, RequestTimeout: 10 * time.Second,
			Weights: cwservice.Weights{Cost: 0.2, Tail: 5, Away: 0.5},
		},
		{
			Name: "myrtle student-chat", Regions: 3, InstancesPerRegion: 2, EndpointsPerRegion: 3,
			Slots: 16, PromptTokensPerSecond: 4000, TokenInterval: 30 * time.Millisecond, MaxCachedPrefixes: 20, RoundTrip: 160 * time.Millisecond,
			Workload:         Workload{RequestsPerSecond: 4, DailyAmplitude: 0.5, DayLength: day, SharedPrefixes: 200, SharedTokens: 1500, MeanUniqueTokens: 200, MeanOutputTokens: 150},
			FirstTokenTarget: 3 * time.Second, RequestTimeout: 30 * time.Second,
			Weights: cwservice.Weights{Cost: 5, Tail: 0.5, Away: 2},
		},
		{
			Name: "two-year domain", Regions: 1, InstancesPerRegion: 2, EndpointsPerRegion: 65,
			Slots: 16, PromptTokensPerSecond: 6000, TokenInterval: 25 * time.Millisecond, MaxCachedPrefixes: 20, RoundTrip: 160 * time.Millisecond,
			Workload:         Workload{RequestsPerSecond: 145, SharedPrefixes: 2000, SharedTokens: 1500, MeanUniqueTokens: 200, MeanOutputTokens: 100},
			FirstTokenTarget: 510 * time.Millisecond, RequestTimeout: 10 * time.Second,
			Weights: cwservice.Weights{Cost: 0.2, Tail: 5, Away: 0.5},
		},
	}
}
