package cwplacement

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	// roomMaxAge is the age at which the summary of another domain is no longer
	// believed.
	roomMaxAge = 4 * time.Second
	// roomAgeCost is added to the wait for each second of a summary's age.
	roomAgeCost = 0.1
)

// roomFirst predicts the seconds to the first byte of a request that is relayed to
// a domain and has so many tokens to process there. Sent is the work that this instance relayed there since the summary.
func roomFirst(r *cwpolicy.DomainRoom, d *Demand, tokens float64, sent Work, now time.Time) float64 {
	s := r.WaitSeconds + r.RoundTrip.Seconds() + roomAgeCost*now.Sub(r.At).Seconds()
	if d.Tokens == 0 {
		return s + startHold.Seconds()
	}
	tokens += sent.Queued[Normal] / float64(max(r.Endpoints, 1))
	return s + answerOverhead.Seconds() + tokens*r.SecondsPerToken
}

const (
	// heldShare is the part of the shared parts of a prompt that is taken to be in a
	// cache of the region that holds them: some are asked for the first time.
	heldShare = 0.9
	// awayShare is that in another region: the parts that most prompts begin with.
	awayShare = 0.4
)

// awayTokens returns the tokens that another region has to process for a request.
func awayTokens(d *Demand, held bool) float64 {
	share := awayShare
	if held {
		share = heldShare
	}
	return float64(d.Tokens) - share*float64(d.sharedTokens())
}

// believable reports whether a summary may be acted on.
func believable(r *cwpolicy.DomainRoom, now time.Time) bool {
	return r.Endpoints > 0 && now.Sub(r.At) < roomMaxAge
}
