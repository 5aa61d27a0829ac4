package cwpolicy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PlatformReadersPerDomain is the number of instances of a failure domain that watch
// the platform. The others get its changes from their peers, and read it only at the
// fallback interval.
const PlatformReadersPerDomain = 2

// StoreReadersPerDomain is the number of instances of a failure domain that watch the store of
// published state. The store may refuse a third of the instances or not answer them. With three
// readers at least one is served in nearly all cases; otherwise the domain gets changes from other
// domains.
const StoreReadersPerDomain = 3

// IsReader reports whether the instance with the peer address self is one of the
// maxReaders instances of its domain that watch the platform or the store of published
// state. The members are the other instances. Instances with different views of the
// membership may select more readers; that costs an additional watch and is otherwise
// harmless.
func IsReader(self, domain string, members []Member, maxReaders int, now time.Time) bool {
	ownHash := hashReader(self)
	preceding := 0
	for i := range members {
		m := &members[i]
		// A member with a failed contact may have stopped, and one that cannot reach
		// the store misses changes. Neither is counted, because an additional reader
		// costs little, while a domain without a reader misses changes.
		if m.Domain != domain || !m.IsUsable(now, MemberContactTimeout) || !m.ContactFailedAt.IsZero() || m.IsStoreUnreachable {
			continue
		}
		if hashReader(m.PeerAddress) < ownHash {
			preceding++
		}
	}
	return preceding < maxReaders
}

func hashReader(address string) uint64 {
	return xxhash.Sum64String("reader " + address)
}
