package cwplacement

// DomainCandidate is a domain to which a request may be relayed, in an Explanation: one of another
// region, or of this one if only other instances reach its endpoints.
type DomainCandidate struct {
	// Domain and Region are the failure domain and its region.
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Exclusion is what excludes the domain; empty if nothing does. FirstByteSeconds and Cost are
	// predicted only then.
	Exclusion Exclusion `json:"exclusion,omitempty"`
	// FirstByteSeconds is the predicted time to the first byte.
	FirstByteSeconds float64 `json:"firstByteSeconds"`
	// UncachedTokens are the tokens that are expected to be processed there.
	UncachedTokens int `json:"uncachedTokens"`
	// Cost is what the domains are compared by, in weighted seconds.
	Cost float64 `json:"cost"`
	// SummaryAgeSeconds is the age of the capacity summary, and RoundTripSeconds the measured
	// round trip, 0 if there is none.
	SummaryAgeSeconds float64 `json:"summaryAgeSeconds"`
	RoundTripSeconds  float64 `json:"roundTripSeconds"`
}
