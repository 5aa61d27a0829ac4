package cwroute

import "slices"

// Account is a client account.
type Account struct {
	// Name identifies the account to endpoints, in logs and in metrics.
	Name string
	// Keys are the keys that its callers may use.
	Keys []string
	// Priority ranks the requests of the account in place of the route's priority, if
	// HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// Homes are the regions in which its requests may be served; empty allows all.
	Homes []string
	// Quota bounds the requests of the account over all instances.
	Quota Quota
}

// AllowsRegion reports whether requests of the account may be served in the region. Requests
// without an account may be served in all.
func (a *Account) AllowsRegion(region string) bool {
	return a == nil || len(a.Homes) == 0 || slices.Contains(a.Homes, region)
}
