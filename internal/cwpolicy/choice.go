package cwpolicy

import "time"

// Choice is an endpoint for a request, with what was predicted for it.
type Choice struct {
	// Endpoint is the one chosen.
	Endpoint *Endpoint
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// Uncached is the number of prompt tokens that the endpoint must process.
	Uncached int
	// Cached is the number of prompt tokens that are believed to be in its cache,
	// and Distance how many requests ago they came there.
	Cached   int
	Distance uint32
	// Ahead is the number of prompt tokens that wait there before the request.
	Ahead int
	// Hold is the mean time that a request holds a slot there.
	Hold time.Duration
	// Free tells whether a slot is believed free.
	Free bool
}
