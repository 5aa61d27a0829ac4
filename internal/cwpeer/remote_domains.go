package cwpeer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// selectRemoteDomains returns at most limit other domains to exchange with. Those of
// this instance's region come first, then those of other regions, both ordered by a hash
// of the domain and this instance's address. The selection differs between instances, so
// that together they reach every domain.
func selectRemoteDomains(s *cwcontrol.Snapshot, byDomain map[string][]cwpolicy.Member, limit int) []string {
	domains := make([]string, 0, len(byDomain))
	for domain := range byDomain {
		domains = append(domains, domain)
	}
	sortKey := func(domain string) (int, uint64) {
		distance := 1
		if byDomain[domain][0].Region == s.Self.Region {
			distance = 0
		}
		return distance, xxhash.Sum64String(s.Self.PeerAddress + " " + domain)
	}
	slices.SortFunc(domains, func(a, b string) int {
		distanceA, hashA := sortKey(a)
		distanceB, hashB := sortKey(b)
		return cmp.Or(cmp.Compare(distanceA, distanceB), cmp.Compare(hashA, hashB))
	})
	return domains[:min(len(domains), limit)]
}
