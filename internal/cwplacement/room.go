package cwplacement

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	// summaryMaxAge is the age at which the summary of another domain is no longer
	// believed.
	summaryMaxAge = 4 * time.Second
	// summaryAgeCost is added to the wait for each second of a summary's age.
	summaryAgeCost = 0.1
)

// remoteFirstByteSeconds predicts the seconds to the first byte of a request that is relayed to
// a domain and has so many tokens to process there. Sent is the work that this instance relayed there since the summary.
func remoteFirstByteSeconds(r *cwpolicy.DomainCapacity, d *Requirements, tokens float64, sent Work, now time.Time) float64 {
	s := r.WaitSeconds + r.RoundTrip.Seconds() + summaryAgeCost*now.Sub(r.ReportedAt).Seconds()
	if d.PromptTokens == 0 {
		return s + initialServiceTime.Seconds()
	}
	tokens += sent.QueuedTokens[Normal] / float64(max(r.Endpoints, 1))
	return s + firstTokenOverhead.Seconds() + tokens*r.SecondsPerToken
}

const (
	// affinityRegionCachedShare is the part of the shared parts of a prompt that is taken to be in a
	// cache of the region that holds them: some are asked for the first time.
	affinityRegionCachedShare = 0.9
	// otherRegionCachedShare is that in another region: the parts that most prompts begin with.
	otherRegionCachedShare = 0.4
)

// remoteUncachedTokens returns the tokens that another region has to process for a request.
func remoteUncachedTokens(d *Requirements, held bool) float64 {
	share := otherRegionCachedShare
	if held {
		share = affinityRegionCachedShare
	}
	return float64(d.PromptTokens) - share*float64(d.sharedTokens())
}

// isRemoteUsable reports whether a summary may be acted on.
func isRemoteUsable(r *cwpolicy.DomainCapacity, now time.Time) bool {
	return r.Endpoints > 0 && now.Sub(r.ReportedAt) < summaryMaxAge
}
