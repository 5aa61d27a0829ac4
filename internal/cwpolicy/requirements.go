package cwpolicy

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// Requirements describes a request for the selection of an endpoint.
type Requirements struct {
	// PromptTokens is the estimated number of prompt tokens, at least 1.
	PromptTokens int
	// PrefixHashes are the chained hashes of the leading blocks of the prompt; empty if
	// the service has no prefix cache.
	PrefixHashes []uint64
	// FirstTokenTarget is the service's target for the time to the first token.
	FirstTokenTarget time.Duration
	// Weights balance latency, cost and the use of other regions.
	Weights cwservice.Weights
}
