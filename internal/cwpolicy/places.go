package cwpolicy

import "slices"

// Places are the regions in which a request may be served.
type Places []string

// NewPlaces returns the regions that both the service and the account's home
// allow. An empty home sets no bound.
func NewPlaces(service []string, home string) Places {
	if home == "" {
		return service
	}
	if slices.Contains(service, home) {
		return Places{home}
	}
	return nil
}

// Allows reports whether the region is one of the places.
func (p Places) Allows(region string) bool {
	return slices.Contains(p, region)
}
