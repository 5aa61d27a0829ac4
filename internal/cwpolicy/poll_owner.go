package cwpolicy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// OwnsPoll reports whether the instance is the one of its domain that polls the
// endpoint: the usable one with the highest hash of both addresses.
func OwnsPoll(self, domain, endpoint string, members []Member, now time.Time) bool {
	own := pollScore(self, endpoint)
	for i := range members {
		m := &members[i]
		if m.Domain == domain && m.Usable(now, MemberSilence) && pollScore(m.Address, endpoint) > own {
			return false
		}
	}
	return true
}

func pollScore(instance, endpoint string) uint64 {
	return xxhash.Sum64String(instance + endpoint)
}
