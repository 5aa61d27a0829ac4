package cwpolicy

import "slices"

// AllowedRegions are the regions in which a request may be served.
type AllowedRegions []string

// NewAllowedRegions returns the regions allowed by both the service and the home of
// the account. An empty home allows all regions of the service.
func NewAllowedRegions(serviceRegions []string, home string) AllowedRegions {
	if home == "" {
		return serviceRegions
	}
	if slices.Contains(serviceRegions, home) {
		return AllowedRegions{home}
	}
	return nil
}

// Contains reports whether the region is allowed.
func (a AllowedRegions) Contains(region string) bool {
	return slices.Contains(a, region)
}
