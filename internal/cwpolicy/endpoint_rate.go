package cwpolicy

// An endpoint that names a rate limit tolerates half of what the limit allows in four
// seconds, and five requests, above it. The bursts of all shares use baseEndpointBurst
// requests of this and what the limit allows in endpointBurstSeconds. The rest is for the
// time in which the instances have different knowledge of each other.
const (
	baseEndpointBurst    = 3
	endpointBurstSeconds = 0.5
)

// EndpointProbesPerSecond is the least rate, in requests per second, at which an endpoint
// is used. An endpoint that gets no requests can't state that it accepts more.
const EndpointProbesPerSecond = 0.1

// MaxEndpointBurst returns the number of requests that all shares of an endpoint's rate
// limit together may accumulate. The limit is in requests per second.
func MaxEndpointBurst(limit float64) float64 {
	return baseEndpointBurst + endpointBurstSeconds*limit
}
