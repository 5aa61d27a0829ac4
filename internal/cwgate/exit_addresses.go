package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// exitKeepAlive is the Keep-Alive field in responses to relayed requests: the time in
// seconds for which the relaying instance may keep the idle connection. It is shorter
// than the idle timeout after which instances close such connections.
const exitKeepAlive = "timeout=20"

// syncExitAddresses selects the instance of each domain to which requests are relayed, by rendezvous hashing. The selection rarely changes while the selected instance
// is usable, so that open connections are reused, which saves a round trip. The selections
// of different instances spread over the domain. The caller holds mu.
func (g *Gate) syncExitAddresses(now time.Time) {
	clear(g.exitAddresses)
	best := make(map[string]*cwpolicy.Member)
	for i := range g.snapshot.Members {
		m := &g.snapshot.Members[i]
		if !g.isPossibleExit(m, now) {
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

// isExitReturnExpected reports whether an instance is only silent, for no longer than a sound
// one may be. Its latest contact may be older than the contact timeout when the silence begins,
// since exchanges between domains are rare.
func (g *Gate) isExitReturnExpected(m *cwpolicy.Member, now time.Time) bool {
	since, isSilent := g.exitsSilentSince[m.PeerAddress]
	if isSilent && m.LastContactAt.After(since) {
		delete(g.exitsSilentSince, m.PeerAddress)
		return false
	}
	return isSilent && !m.IsLeaving && now.Sub(since) < cwplacement.MaxSoundSilence
}

// isPreferredExit reports whether requests are relayed to a rather than to b. A member
// without a failed contact is preferred, then the one with the higher rendezvous score
// for this instance.
func (g *Gate) isPreferredExit(a, b *cwpolicy.Member) bool {
	if isReachable := a.ContactFailedAt.IsZero(); isReachable != b.ContactFailedAt.IsZero() {
		return isReachable
	}
	selfAddress := g.snapshot.Self.PeerAddress
	return rendezvousScore(a.PeerAddress, selfAddress) > rendezvousScore(b.PeerAddress, selfAddress)
}
