package cwpolicy

import (
	"slices"
	"time"
)

const (
	// DirectoryResponseTTL is how long callers may keep an answer of the directory. A caller
	// that keeps it must not meet a stopped instance for long; shorter answers cost
	// more questions.
	DirectoryResponseTTL = 2 * time.Second
	// minDomainInstances is the number of instances of one domain that suffice for its
	// callers.
	minDomainInstances = 2
	// minRelativeSize is the share of the mean size below which an instance is left out:
	// callers choose evenly.
	minRelativeSize = 0.5
)

// DirectoryQuery is a caller's question for instances.
type DirectoryQuery struct {
	// Region and Domain say where the caller is.
	Region, Domain string
	// HomeRegions are the regions in which all of the requests may be served that the
	// caller may mean; empty if all regions may.
	HomeRegions []string
}

// SelectDirectoryAddresses returns the addresses that a caller should use: those of its domain, else
// of its region, else of the regions in which its requests are at home, else all.
// Members that leave or are silent are left out.
func SelectDirectoryAddresses(members []Member, ask DirectoryQuery, now time.Time) []string {
	var inDomain, inRegion, atHome, all []Member
	for _, m := range members {
		if !m.IsUsable(now, MemberContactTimeout) || m.CallerAddress == "" || m.Incarnation == 0 {
			continue
		}
		all = append(all, m)
		if m.Region == ask.Region {
			inRegion = append(inRegion, m)
		}
		if m.Domain == ask.Domain {
			inDomain = append(inDomain, m)
		}
		if slices.Contains(ask.HomeRegions, m.Region) {
			atHome = append(atHome, m)
		}
	}
	switch {
	case len(inDomain) >= minDomainInstances || len(inDomain) > 0 && len(inRegion) == len(inDomain):
		return listCallerAddresses(inDomain)
	case len(inRegion) > 0:
		return listCallerAddresses(inRegion)
	case len(atHome) > 0:
		return listCallerAddresses(atHome)
	}
	return listCallerAddresses(all)
}

// listCallerAddresses returns the addresses of the members that are large enough.
func listCallerAddresses(members []Member) []string {
	total := 0.0
	for _, m := range members {
		total += m.Size
	}
	least := minRelativeSize * total / float64(max(len(members), 1))
	var list []string
	for _, m := range members {
		if m.Size >= least {
			list = append(list, m.CallerAddress)
		}
	}
	slices.Sort(list)
	return list
}
