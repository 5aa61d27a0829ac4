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
