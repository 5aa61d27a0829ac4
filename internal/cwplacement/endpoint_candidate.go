package cwplacement

// EndpointCandidate is an endpoint of this region in an Explanation.
type EndpointCandidate struct {
	// ID and Domain identify the endpoint and its failure domain.
	ID     string `json:"id"`
	Domain string `json:"domain"`
	// Exclusion is what excludes the endpoint; empty if nothing does. The fields below except
	// EntryAgeSeconds and PeerReportAgeSeconds are predicted only then.
	Exclusion Exclusion `json:"exclusion,omitempty"`
	// FirstByteSeconds is the predicted time to the first byte, WaitSeconds the part of it before
	// the prompt is processed, and RestSeconds the time from the first byte to the last.
	FirstByteSeconds float64 `json:"firstByteSeconds"`
	WaitSeconds      float64 `json:"waitSeconds"`
	RestSeconds      float64 `json:"restSeconds"`
	// UncachedTokens are the tokens to process, and RecomputedTokens those of them that other
	// requests may share.
	UncachedTokens   int `json:"uncachedTokens"`
	RecomputedTokens int `json:"recomputedTokens"`
	// Band is the rank of the request at the engine; lower ones go first.
	Band Band `json:"band"`
	// Cost is what the endpoints are compared by, in weighted seconds, without the random share.
	Cost float64 `json:"cost"`
	// IsSimilar is set if the random share of the cost may decide for the endpoint.
	IsSimilar bool `json:"similar"`
	// IsAffinity is set for the endpoint on which all instances agree for the shared parts, and
	// IsDegraded for one whose failure rate is high.
	IsAffinity bool `json:"affinity"`
	IsDegraded bool `json:"degraded"`
	// EntryAgeSeconds is the time since the endpoint's entry was read, and PeerReportAgeSeconds
	// that since the latest peer report; null if there is none.
	EntryAgeSeconds      float64  `json:"entryAgeSeconds"`
	PeerReportAgeSeconds *float64 `json:"peerReportAgeSeconds"`
}
