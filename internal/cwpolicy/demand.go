package cwpolicy

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// Demand is what a request needs, as far as the choice of an endpoint goes.
type Demand struct {
	// Tokens is the estimated number of prompt tokens, at least 1.
	Tokens int
	// Prefix are the chained hashes of the leading blocks of the prompt.
	Prefix []uint64
	// Target is the service's time to the first token.
	Target time.Duration
	// Weights decide between cost and latency.
	Weights cwservice.Weights
}
