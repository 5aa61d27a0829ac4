package cwpolicy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// IsPoller reports whether the instance is the one of its domain that polls the
// endpoint: the usable one with the highest hash of both addresses.
func IsPoller(self, domain, endpoint string, members []Member, now time.Time) bool {
	own := hashPoller(self, endpoint)
	for i := range members {
		m := &members[i]
		if m.Domain == domain && m.IsUsable(now, MemberContactTimeout) && hashPoller(m.PeerAddress, endpoint) > own {
			return false
		}
	}
	return true
}

func hashPoller(instance, endpoint string) uint64 {
	return xxhash.Sum64String(instance + endpoint)
}
