package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// isStoreSilent reports whether no entry can be read in this instance's failure domain: as many of its
// instances as watch the store fail to read it, or all if there are fewer.
func isStoreSilent(snapshot *cwcontrol.Snapshot, now time.Time) bool {
	instances, failing := 1, 0
	if snapshot.Self.IsStoreUnreachable {
		failing++
	}
	for i := range snapshot.Members {
		m := &snapshot.Members[i]
		if m.Domain != snapshot.Self.Domain || !m.IsUsable(now, cwpolicy.MemberContactTimeout) {
			continue
		}
		instances++
		if m.IsStoreUnreachable {
			failing++
		}
	}
	return failing >= min(cwpolicy.StoreReadersPerDomain, instances)
}
