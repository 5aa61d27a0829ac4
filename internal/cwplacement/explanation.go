package cwplacement

// Explanation is where a request would go, and why. Random choices are left out: places that
// are marked as similar may be chosen as well.
type Explanation struct {
	// Action is "send", "relay" or "refuse", and Reason the reason of the decision.
	Action string `json:"action"`
	Reason string `json:"reason"`
	// Place is the endpoint or the domain; empty for a refusal.
	Place string `json:"place"`
	// RetryAfterSeconds is the time to the retry of a refused caller, without the random share.
	RetryAfterSeconds float64 `json:"retryAfterSeconds"`
	// IsAwaited is set if the request waits for an endpoint that is silent no longer than a sound
	// one may be, before it is refused.
	IsAwaited bool `json:"awaited"`
	// LocalFirstByteSeconds and RemoteFirstByteSeconds are the predicted times to the first byte
	// in this region and in another one; null if that was not considered or is not possible.
	LocalFirstByteSeconds  *float64 `json:"localFirstByteSeconds"`
	RemoteFirstByteSeconds *float64 `json:"remoteFirstByteSeconds"`
	// AffinityRegion is the region that caches the shared parts of the prompt.
	AffinityRegion string `json:"affinityRegion"`
	// Endpoints and Domains are the candidates by cost, the excluded ones last.
	Endpoints []EndpointCandidate `json:"endpoints"`
	Domains   []DomainCandidate   `json:"domains"`
	// OtherEndpoints and OtherDomains count the candidates that Limit has omitted.
	OtherEndpoints map[Exclusion]int `json:"otherEndpoints"`
	OtherDomains   map[Exclusion]int `json:"otherDomains"`
}

// Limit omits all but the first n endpoints and domains, and counts the others by exclusion.
func (x *Explanation) Limit(n int) {
	kept := min(n, len(x.Endpoints))
	x.OtherEndpoints = countExclusions(x.Endpoints[kept:], func(c *EndpointCandidate) Exclusion { return c.Exclusion })
	x.Endpoints = x.Endpoints[:kept]
	kept = min(n, len(x.Domains))
	x.OtherDomains = countExclusions(x.Domains[kept:], func(c *DomainCandidate) Exclusion { return c.Exclusion })
	x.Domains = x.Domains[:kept]
}

func countExclusions[C any](candidates []C, exclusionOf func(c *C) Exclusion) map[Exclusion]int {
	counts := make(map[Exclusion]int)
	for i := range candidates {
		exclusion := exclusionOf(&candidates[i])
		if exclusion == "" {
			exclusion = Costlier
		}
		counts[exclusion]++
	}
	return counts
}
