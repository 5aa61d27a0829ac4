package cwpolicy

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// Requirements is what a request needs, as far as the choice of an endpoint goes.
type Requirements struct {
	// PromptTokens is the estimated number of prompt tokens, at least 1.
	PromptTokens int
	// PrefixHashes are the chained hashes of the leading blocks of the prompt.
	PrefixHashes []uint64
	// FirstTokenTarget is the service's time to the first token.
	FirstTokenTarget time.Duration
	// Weights decide between cost and latency.
	Weights cwservice.Weights
}
