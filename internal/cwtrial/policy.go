package cwtrial

// Policy is the name of a placement policy.
type Policy string

const (
	// Gateway places requests by cwpolicy, as the gateway does.
	Gateway Policy = "clementinewell"
	// NoPrefixes is Gateway without prefix affinity.
	NoPrefixes Policy = "- without prefixes"
	// NoSpillover is Gateway without forwarding to other domains.
	NoSpillover Policy = "- without spill"
	// Random takes a random local endpoint.
	Random Policy = "random"
	// RoundRobin takes the local endpoints in turn.
	RoundRobin Policy = "round robin"
	// LeastInFlight takes the local endpoint with the fewest requests in flight
	// from this instance.
	LeastInFlight Policy = "least in flight"
	// LeastLoaded takes the endpoint of any region with the lowest load by its
	// last report, which is older by the lag.
	LeastLoaded Policy = "least loaded anywhere"
)

// Policies returns all policies, Gateway first.
func Policies() []Policy {
	return []Policy{Gateway, NoPrefixes, NoSpillover, Random, RoundRobin, LeastInFlight, LeastLoaded}
}

func (p Policy) isGateway() bool {
	return p == Gateway || p == NoPrefixes || p == NoSpillover
}
