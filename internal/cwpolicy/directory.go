package cwpolicy

import (
	"slices"
	"time"
)

const (
	// DirectoryResponseTTL is how long callers may cache a response of the directory.
	// A longer time keeps stopped instances in use; a shorter one causes more queries.
	DirectoryResponseTTL = 2 * time.Second
	// minDomainInstances is how many usable instances a domain must have for its callers
	// to use only these, if the region has usable instances in other domains too.
	minDomainInstances = 2
	// minRelativeSize is the fraction of the mean size below which an instance is
	// omitted, because callers choose uniformly among the addresses.
	minRelativeSize = 0.5
)

// DirectoryQuery is a caller's query for instance addresses.
type DirectoryQuery struct {
	// Region and Domain are the caller's location.
	Region, Domain string
	// HomeRegions are the home regions of the requests that the query may be about, or
	// of most of them; empty if these requests have none.
	HomeRegions []string
}

// SelectDirectoryAddresses returns the addresses that a caller should use: those
// in its domain, else in its region, else in the home regions of its requests,
// else all. Members that are leaving, unresponsive, not yet contacted, without a caller
// address or much smaller than the others are omitted.
func SelectDirectoryAddresses(members []Member, query DirectoryQuery, now time.Time) []string {
	var inDomain, inRegion, atHome, all []Member
	for _, m := range members {
		if !m.IsUsable(now, MemberContactTimeout) || m.CallerAddress == "" || m.Incarnation == 0 {
			continue
		}
		all = append(all, m)
		if m.Region == query.Region {
			inRegion = append(inRegion, m)
		}
		if m.Domain == query.Domain {
			inDomain = append(inDomain, m)
		}
		if slices.Contains(query.HomeRegions, m.Region) {
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

// listCallerAddresses returns the sorted caller addresses of the members that are
// not too small.
func listCallerAddresses(members []Member) []string {
	total := 0.0
	for _, m := range members {
		total += m.Size
	}
	minSize := minRelativeSize * total / float64(max(len(members), 1))
	var result []string
	for _, m := range members {
		if m.Size >= minSize {
			result = append(result, m.CallerAddress)
		}
	}
	slices.Sort(result)
	return result
}
