package cwpolicy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PlatformReadersPerDomain is the number of instances of a failure domain that watch
// the platform; the others learn from their peers.
const PlatformReadersPerDomain = 2

// IsReader reports whether the instance at the address is one of the readers of
// its domain, of which there are at most so many. Two instances with different views may both think so; that costs
// a watch and harms nothing.
func IsReader(self, domain string, members []Member, most int, now time.Time) bool {
	own := hashReader(self)
	before := 0
	for i := range members {
		m := &members[i]
		// A member that failed once may be gone. Another reader costs little, and a
		// domain without one misses changes. The same holds for one that the store
		// doesn't answer.
		if m.Domain != domain || !m.IsUsable(now, MemberContactTimeout) || !m.ContactFailedAt.IsZero() || m.IsStoreUnreachable {
			continue
		}
		if hashReader(m.PeerAddress) < own {
			before++
		}
	}
	return before < most
}

func hashReader(address string) uint64 {
	return xxhash.Sum64String("reader " + address)
}
