package cwpeer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// selectRemoteDomains returns the other domains that this instance exchanges with:
// those of its own region first, then a fixed choice by hash. The choice differs
// between instances, so that news still reaches every domain.
func selectRemoteDomains(s *cwcontrol.Snapshot, byDomain map[string][]cwpolicy.Member, most int) []string {
	domains := make([]string, 0, len(byDomain))
	for domain := range byDomain {
		domains = append(domains, domain)
	}
	key := func(domain string) (int, uint64) {
		far := 1
		if byDomain[domain][0].Region == s.Self.Region {
			far = 0
		}
		return far, xxhash.Sum64String(s.Self.PeerAddress + " " + domain)
	}
	slices.SortFunc(domains, func(a, b string) int {
		farA, hashA := key(a)
		farB, hashB := key(b)
		return cmp.Or(cmp.Compare(farA, farB), cmp.Compare(hashA, hashB))
	})
	return domains[:min(len(domains), most)]
}
