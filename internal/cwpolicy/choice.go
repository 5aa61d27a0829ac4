package cwpolicy

import "time"

// EndpointChoice is an endpoint for a request, with what was predicted for it.
type EndpointChoice struct {
	// Endpoint is the one chosen.
	Endpoint *Endpoint
	// PredictedFirstToken is the predicted time to the first token.
	PredictedFirstToken time.Duration
	// UncachedTokens is the number of prompt tokens that the endpoint must process.
	UncachedTokens int
	// CachedTokens is the number of prompt tokens that are believed to be in its cache,
	// and Distance how many requests ago they came there.
	CachedTokens        int
	RequestsSinceCached uint32
	// WaitingTokens is the number of prompt tokens that wait there before the request.
	WaitingTokens int
	// MeanSlotTime is the mean time that a request holds a slot there.
	MeanSlotTime time.Duration
	// HasFreeSlot tells whether a slot is believed free.
	HasFreeSlot bool
}
