// Package cwroute defines the published configuration as plain values: the routes, with
// their permitted regions and their targets, the services and the endpoints.
package cwroute

import (
	"slices"
	"time"
)

// Route configures the requests below a path of a host.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string
	// Host and Prefix select the requests; the prefix begins and ends with a slash.
	Host, Prefix string
	// Kind is how requests may be retried.
	Kind Kind
	// IsResumable is set if another endpoint may continue a broken stream.
	IsResumable bool
	// Timeout is the maximum time in which a request must be answered; 0 means no limit.
	Timeout time.Duration
	// FirstByteTarget is the time to the first byte that callers expect.
	FirstByteTarget time.Duration
	// MaxEventGap is the longest time between two events of a stream that callers
	// expect.
	MaxEventGap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of attempts that may run one idempotent request;
	// 0 means 1.
	MaxAttempts int
	// IsPublic is set if requests need no key, even if the configuration has accounts.
	IsPublic bool
	// Homes are the regions in which requests may be served; empty allows all.
	Homes []string
	// Shares divide the requests between the services of the route.
	Shares []Share
}

// Share is the part of a route's requests that one service gets.
type Share struct {
	// Service is the name of the service; Weight is relative to the other shares.
	Service string
	Weight  float64
}

// IsIdempotent reports whether a request may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.IsResumable
}

// AllowsRegion reports whether requests may be served in the region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// LeadsTo reports whether the route sends requests to the service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// SoleService returns the service to which the route sends all requests; empty if there are several.
func (r *Route) SoleService() string {
	sole := ""
	for _, s := range r.Shares {
		if s.Weight <= 0 {
			continue
		}
		if sole != "" && s.Service != sole {
			return ""
		}
		sole = s.Service
	}
	return sole
}

// PickService returns the service for a random number in [0,1), by weight; empty if the
// route has no services.
func (r *Route) PickService(random float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := random * total
	for _, s := range r.Shares {
		remaining -= s.Weight
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
