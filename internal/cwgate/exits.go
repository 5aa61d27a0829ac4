package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// exitKeepAlive tells another instance how long it may keep an idle connection for
// relayed requests. It is below the time after which instances close such connections.
const exitKeepAlive = "timeout=20"

// syncExitAddresses picks the instance of each other domain that relayed requests go to. It
// stays the same while it is usable: a connection that is open already saves a round
// trip, and the instances' picks differ. The caller holds mu.
func (g *Gate) syncExitAddresses(now time.Time) {
	clear(g.exitAddresses)
	best := make(map[string]*cwpolicy.Member)
	for i := range g.snapshot.Members {
		m := &g.snapshot.Members[i]
		if m.Domain == g.site.Domain || m.Incarnation == 0 || !m.IsUsable(now, cwpolicy.MemberContactTimeout) {
			continue
		}
		if other := best[m.Domain]; other == nil || g.isPreferredExit(m, other) {
			best[m.Domain] = m
		}
	}
	for domain, m := range best {
		g.exitAddresses[domain] = g.site.RelayAddressOf(m.PeerAddress)
	}
}

// isPreferredExit reports whether relayed requests go to a rather than to b: to one that
// answers, and else to the one that ranks higher for this instance.
func (g *Gate) isPreferredExit(a, b *cwpolicy.Member) bool {
	if answers := a.ContactFailedAt.IsZero(); answers != b.ContactFailedAt.IsZero() {
		return answers
	}
	self := g.snapshot.Self.PeerAddress
	return rendezvousScore(a.PeerAddress, self) > rendezvousScore(b.PeerAddress, self)
}
