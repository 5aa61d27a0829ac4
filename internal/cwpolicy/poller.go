package cwpolicy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// IsPoller reports whether the instance with the peer address self is the one in its
// domain that polls the endpoint: the usable instance with the highest hash of both
// addresses. The members are the other instances.
func IsPoller(self, domain, endpoint string, members []Member, now time.Time) bool {
	ownHash := hashPoller(self, endpoint)
	for i := range members {
		m := &members[i]
		if m.Domain == domain && m.IsUsable(now, MemberContactTimeout) && hashPoller(m.PeerAddress, endpoint) > ownHash {
			return false
		}
	}
	return true
}

func hashPoller(instance, endpoint string) uint64 {
	return xxhash.Sum64String(instance + endpoint)
}
