package cwpolicy

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	// InstanceListTTL is how long callers may cache a list of instances.
	InstanceListTTL = 10 * time.Second
	// minHeadroom keeps the weight of a fully loaded instance above zero.
	minHeadroom = 0.05
	// sameRegionFactor and otherRegionFactor scale weights by proximity.
	sameRegionFactor  = 1.0
	otherRegionFactor = 0.01
)

// RankInstances returns the instances that callers in the region should use,
// highest weight first. Weights are proportional to size and headroom, and lower in
// other regions. Members that are unresponsive or outside the allowed regions are
// omitted; nil regions allow all. If that leaves none, all regions are allowed and
// only members that have been unresponsive for MemberRetention are omitted. Members
// that are leaving are always omitted.
func RankInstances(members []Member, region string, regions AllowedRegions, now time.Time) []cwanswer.Instance {
	list := rankUsable(members, region, regions, now, MemberContactTimeout)
	if len(list) == 0 {
		list = rankUsable(members, region, nil, now, MemberRetention)
	}
	return list
}

func rankUsable(members []Member, region string, regions AllowedRegions, now time.Time, contactTimeout time.Duration) []cwanswer.Instance {
	var list []cwanswer.Instance
	for i := range members {
		m := &members[i]
		if !m.IsUsable(now, contactTimeout) || m.CallerAddress == "" {
			continue
		}
		if regions != nil && !regions.Contains(m.Region) {
			continue
		}
		list = append(list, cwanswer.Instance{Address: m.CallerAddress, Region: m.Region, Weight: computeInstanceWeight(m, region)})
	}
	slices.SortFunc(list, func(a, b cwanswer.Instance) int {
		if c := cmp.Compare(b.Weight, a.Weight); c != 0 {
			return c
		}
		return cmp.Compare(a.Address, b.Address)
	})
	return list
}

func computeInstanceWeight(m *Member, region string) float64 {
	factor := otherRegionFactor
	if m.Region == region {
		factor = sameRegionFactor
	}
	return factor * m.Size * max(1-m.Load, minHeadroom)
}
