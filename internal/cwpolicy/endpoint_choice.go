package cwpolicy

import "time"

// EndpointChoice is the endpoint selected for a request, with the predictions
// made for it.
type EndpointChoice struct {
	// Endpoint is the selected endpoint.
	Endpoint *Endpoint
	// PredictedFirstToken is the predicted time to the first token.
	PredictedFirstToken time.Duration
	// UncachedTokens is the number of prompt tokens that the endpoint must process.
	UncachedTokens int
	// CachedTokens is the estimated number of prompt tokens in the endpoint's cache,
	// and RequestsSinceCached the number of requests sent to it since the least recent of
	// them were sent.
	CachedTokens        int
	RequestsSinceCached uint32
	// WaitingTokens is the number of prompt tokens queued at the endpoint ahead of
	// the request.
	WaitingTokens int
	// MeanSlotTime is the mean time that a request occupies a slot of the endpoint.
	MeanSlotTime time.Duration
	// HasFreeSlot is set if the endpoint is estimated to have a free slot.
	HasFreeSlot bool
}
