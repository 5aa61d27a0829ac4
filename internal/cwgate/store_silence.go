package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// isStoreSilent reports whether no entry can be read in this instance's failure domain: as many of its
// instances as watch the store fail to read it, or all if there are fewer. The caller holds mu.
func (g *Gate) isStoreSilent(now time.Time) bool {
	self := &g.snapshot.Self
	instances, failing := 1, 0
	if self.IsStoreUnreachable {
		failing++
	}
	for i := range g.snapshot.Members {
		m := &g.snapshot.Members[i]
		if m.Domain != g.site.Domain || !m.IsUsable(now, cwpolicy.MemberContactTimeout) {
			continue
		}
		instances++
		if m.IsStoreUnreachable {
			failing++
		}
	}
	return failing >= min(cwpolicy.StoreReadersPerDomain, instances)
}
