package cwplacement

// Exclusion is what excludes a place for a request; empty if nothing does.
type Exclusion string

const (
	// ExcludedTried is a place at which the request was tried before.
	ExcludedTried Exclusion = "tried"
	// ExcludedRegion is a place in a region where the request may not be served.
	ExcludedRegion Exclusion = "region"
	// ExcludedDraining is an endpoint that takes no new requests.
	ExcludedDraining Exclusion = "draining"
	// ExcludedEvacuated is a place in an evacuated domain.
	ExcludedEvacuated Exclusion = "evacuated"
	// ExcludedEjected is an endpoint that could not be reached.
	ExcludedEjected Exclusion = "ejected"
	// ExcludedPaused is an endpoint in a pause.
	ExcludedPaused Exclusion = "paused"
	// ExcludedCold is a cold endpoint that takes no request of this instance now.
	ExcludedCold Exclusion = "cold"
	// ExcludedRateLimit is an endpoint at the rate limit that it names.
	ExcludedRateLimit Exclusion = "rateLimit"
	// ExcludedFull is a brittle endpoint without a free slot of this instance.
	ExcludedFull Exclusion = "full"
	// ExcludedNoCapacity is a domain without endpoints.
	ExcludedNoCapacity Exclusion = "noCapacity"
	// ExcludedStale is a domain whose capacity summary is too old.
	ExcludedStale Exclusion = "stale"
	// ExcludedRelayed is a domain for a request that was relayed to this instance.
	ExcludedRelayed Exclusion = "relayed"
	// ExcludedNoExit is a domain without an instance that takes relayed requests.
	ExcludedNoExit Exclusion = "noExit"
	// Costlier counts candidates that nothing excludes, but that an explanation omits.
	Costlier Exclusion = "costlier"
)
