package cwtrial

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// Deployment describes the endpoints, instances and workload of one user.
type Deployment struct {
	// Name identifies the deployment in the tables.
	Name string
	// Regions, InstancesPerRegion and EndpointsPerRegion are the size.
	Regions, InstancesPerRegion, EndpointsPerRegion int
	// Slots is the number of requests that an endpoint serves concurrently,
	// PromptTokensPerSecond the rate at which it processes prompts, and
	// TokenInterval the time between two response tokens.
	Slots                 int
	PromptTokensPerSecond float64
	TokenInterval         time.Duration
	// MaxCachedPrefixes is the capacity of an endpoint's prefix cache.
	MaxCachedPrefixes int
	// RoundTrip is the round-trip time between regions.
	RoundTrip time.Duration
	// Workload describes the arrivals.
	Workload Workload
	// FirstTokenTarget, RequestTimeout and Weights are the settings of the service.
	FirstTokenTarget, RequestTimeout time.Duration
	Weights                          cwservice.Weights
}

// Deployments returns the deployments of both users at their present size, and one
// domain at the size expected in two years.
func Deployments() []Deployment {
	dayLength := 2 * time.Minute
	return []Deployment{
		{
			Name: "prairie crew-assist", Regions: 3, InstancesPerRegion: 2, EndpointsPerRegion: 4,
			Slots: 16, PromptTokensPerSecond: 6000, TokenInterval: 25 * time.Millisecond, MaxCachedPrefixes: 20, RoundTrip: 160 * time.Millisecond,
			Workload:         Workload{RequestsPerSecond: 8, DailyAmplitude: 0.5, DayLength: dayLength, SharedPrefixes: 200, SharedTokens: 1500, MeanUniqueTokens: 200, MeanOutputTokens: 100},
			FirstTokenTarget: 510 * time.Millisecond, RequestTimeout: 10 * time.Second,
			Weights: cwservice.Weights{Cost: 0.2, Tail: 5, Away: 0.5},
		},
		{
			Name: "myrtle student-chat", Regions: 3, InstancesPerRegion: 2, EndpointsPerRegion: 3,
			Slots: 16, PromptTokensPerSecond: 4000, TokenInterval: 30 * time.Millisecond, MaxCachedPrefixes: 20, RoundTrip: 160 * time.Millisecond,
			Workload:         Workload{RequestsPerSecond: 4, DailyAmplitude: 0.5, DayLength: dayLength, SharedPrefixes: 200, SharedTokens: 1500, MeanUniqueTokens: 200, MeanOutputTokens: 150},
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
