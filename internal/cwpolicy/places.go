package cwpolicy

import "slices"

// AllowedRegions are the regions in which a request may be served.
type AllowedRegions []string

// NewAllowedRegions returns the regions that both the service and the account's home
// allow. An empty home sets no bound.
func NewAllowedRegions(service []string, home string) AllowedRegions {
	if home == "" {
		return service
	}
	if slices.Contains(service, home) {
		return AllowedRegions{home}
	}
	return nil
}

// Contains reports whether the region is one of the places.
func (p AllowedRegions) Contains(region string) bool {
	return slices.Contains(p, region)
}
