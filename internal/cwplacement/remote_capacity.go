package cwplacement

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	// summaryMaxAge is the age above which the capacity summary of another domain is
	// ignored.
	summaryMaxAge = 4 * time.Second
	// summaryAgeCostFactor is the number of seconds added to the wait per second of a
	// summary's age.
	summaryAgeCostFactor = 0.1
)

// remoteFirstByteSeconds predicts the seconds to the first byte of a request that is
// relayed to a domain and has the given number of tokens to process there. The relayed
// work is what this instance sent there since the summary.
func remoteFirstByteSeconds(r *cwpolicy.DomainCapacity, rs *Requirements, tokens float64, relayed Work, now time.Time) float64 {
	wait := r.WaitSeconds + r.RoundTrip.Seconds() + summaryAgeCostFactor*now.Sub(r.ReportedAt).Seconds()
	if rs.PromptTokens == 0 {
		return wait + initialServiceTime.Seconds()
	}
	tokens += relayed.QueuedTokens[Normal] / float64(max(r.Endpoints, 1))
	return wait + firstTokenOverhead.Seconds() + tokens*r.SecondsPerToken
}

const (
	// affinityRegionCachedShare is the expected share of the shared tokens of a prompt
	// that the affinity region has in a cache. Some parts are requested for the first
	// time.
	affinityRegionCachedShare = 0.9
	// otherRegionCachedShare is the same for any other region: the parts that most
	// prompts begin with.
	otherRegionCachedShare = 0.4
)

// remoteUncachedTokens returns the number of tokens that another region is expected to
// process for a request.
func remoteUncachedTokens(rs *Requirements, isAffinityRegion bool) float64 {
	share := otherRegionCachedShare
	if isAffinityRegion {
		share = affinityRegionCachedShare
	}
	return float64(rs.PromptTokens) - share*float64(rs.sharedTokens())
}

// isRemoteUsable reports whether a domain has endpoints and its capacity summary is
// recent enough.
func isRemoteUsable(r *cwpolicy.DomainCapacity, now time.Time) bool {
	return r.Endpoints > 0 && now.Sub(r.ReportedAt) < summaryMaxAge
}
