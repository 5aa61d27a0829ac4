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
// a domain. Sent is the work that this instance relayed there since the summary.
func roomFirst(r *cwpolicy.DomainRoom, d *Demand, sent Work, now time.Time) float64 {
	s := r.WaitSeconds + r.RoundTrip.Seconds() + roomAgeCost*now.Sub(r.At).Seconds()
	if d.Tokens == 0 {
		return s + startHold.Seconds()
	}
	tokens := awayTokens(d) + sent.Queued[Normal]/float64(max(r.Endpoints, 1))
	return s + answerOverhead.Seconds() + tokens*r.SecondsPerToken
}

// awayShare is the part of the shared parts of a prompt that is taken to be in a cache
// of another region: what is asked here is mostly asked there too.
const awayShare = 0.6

// awayTokens returns the tokens that another region has to process for a request.
func awayTokens(d *Demand) float64 {
	return float64(d.Tokens) - awayShare*float64(d.sharedTokens())
}

// believable reports whether a summary may be acted on.
func believable(r *cwpolicy.DomainRoom, now time.Time) bool {
	return r.Endpoints > 0 && now.Sub(r.At) < roomMaxAge
}
