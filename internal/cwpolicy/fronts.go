package cwpolicy

import (
	"slices"
	"time"
)

const (
	// FrontHold is how long callers may keep an answer of the directory. A caller
	// that keeps it must not meet a stopped instance for long; shorter answers cost
	// more questions.
	FrontHold = 2 * time.Second
	// minDomainFronts is the number of instances of one domain that suffice for its
	// callers.
	minDomainFronts = 2
	// smallShare is the share of the mean size below which an instance is left out:
	// callers choose evenly.
	smallShare = 0.5
)

// FrontAsk is a caller's question for instances.
type FrontAsk struct {
	// Region and Domain say where the caller is.
	Region, Domain string
	// Homes are the regions in which all of the requests may be served that the
	// caller may mean; empty if all regions may.
	Homes []string
}

// Fronts returns the addresses that a caller should use: those of its domain, else
// of its region, else of the regions in which its requests are at home, else all.
// Members that leave or are silent are left out.
func Fronts(members []Member, ask FrontAsk, now time.Time) []string {
	var inDomain, inRegion, atHome, all []Member
	for _, m := range members {
		if !m.Usable(now, MemberSilence) || m.CallerAddress == "" || m.Incarnation == 0 {
			continue
		}
		all = append(all, m)
		if m.Region == ask.Region {
			inRegion = append(inRegion, m)
		}
		if m.Domain == ask.Domain {
			inDomain = append(inDomain, m)
		}
		if slices.Contains(ask.Homes, m.Region) {
			atHome = append(atHome, m)
		}
	}
	switch {
	case len(inDomain) >= minDomainFronts || len(inDomain) > 0 && len(inRegion) == len(inDomain):
		return addresses(inDomain)
	case len(inRegion) > 0:
		return addresses(inRegion)
	case len(atHome) > 0:
		return addresses(atHome)
	}
	return addresses(all)
}

// addresses returns the addresses of the members that are large enough.
func addresses(members []Member) []string {
	total := 0.0
	for _, m := range members {
		total += m.Size
	}
	least := smallShare * total / float64(max(len(members), 1))
	var list []string
	for _, m := range members {
		if m.Size >= least {
			list = append(list, m.CallerAddress)
		}
	}
	slices.Sort(list)
	return list
}
