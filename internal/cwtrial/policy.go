package cwtrial

// Policy names a way to place requests.
type Policy string

const (
	// Gateway is cwpolicy as the gateway runs it.
	Gateway Policy = "clementinewell"
	// NoPrefixes is the same without knowledge of prefixes.
	NoPrefixes Policy = "- without prefixes"
	// NoSpillover is the same without sending anything away.
	NoSpillover Policy = "- without spill"
	// Random draws a local endpoint.
	Random Policy = "random"
	// RoundRobin takes the next local endpoint.
	RoundRobin Policy = "round robin"
	// LeastInFlight takes the local endpoint with the fewest requests of the
	// instance.
	LeastInFlight Policy = "least in flight"
	// LeastLoaded takes the endpoint of any region with the lowest load by the
	// lagging reports.
	LeastLoaded Policy = "least loaded anywhere"
)

// Policies returns all policies, the gateway first.
func Policies() []Policy {
	return []Policy{Gateway, NoPrefixes, NoSpillover, Random, RoundRobin, LeastInFlight, LeastLoaded}
}

func (p Policy) isGateway() bool {
	return p == Gateway || p == NoPrefixes || p == NoSpillover
}
