package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// peerAge returns the time since the latest contact with an instance that reaches the store, or
// since the start of this one if there was none.
func (g *Gate) peerAge(now time.Time) time.Duration {
	latest := g.startedAt
	members := g.control.Snapshot().Members
	for i := range members {
		m := &members[i]
		if !m.IsStoreUnreachable && m.IsUsable(now, cwpolicy.MemberContactTimeout) && m.LastContactAt.After(latest) {
			latest = m.LastContactAt
		}
	}
	return now.Sub(latest)
}

const (
	// maxContactAge is the time after which a configuration counts as uncertain if neither the
	// store nor an instance that reaches it was in contact: the 4 s within which an acknowledged
	// change must be in force.
	maxContactAge = 4 * time.Second
	// reasonConfigUncertain is the reason of refusals that a newer configuration might not cause.
	reasonConfigUncertain = "configUncertain"
)

// isConfigUncertain reports whether there is evidence that a newer configuration may be in force:
// this instance has lacked an offered revision for longer than the ordinary delay, or has had no
// contact for too long with anybody who could offer one.
func (g *Gate) isConfigUncertain(now time.Time) bool {
	lag := g.state.Lag()
	return lag.IsLate() || min(lag.StoreAge, g.peerAge(now)) > maxContactAge
}

// newUncertainRefusal returns the refusal of a request that a newer configuration may accept: the
// caller may retry, which a final refusal would keep it from.
func newUncertainRefusal() *Refusal {
	refusal := newNotRunRefusal(reasonConfigUncertain, configRetryAfter)
	return &refusal
}
