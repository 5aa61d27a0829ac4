// Package cwroute holds the published configuration of routes as plain values:
// which requests there are, where they may go and what is expected of them.
package cwroute

import (
	"slices"
	"time"
)

// Route says what happens to the requests below a path of a host.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string
	// Host and Prefix select the requests; the prefix begins and ends with a slash.
	Host, Prefix string
	// Kind says what may be repeated.
	Kind Kind
	// IsResumable streams may go on at another endpoint.
	IsResumable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// FirstByteTarget is the time to the first byte that callers expect.
	FirstByteTarget time.Duration
	// MaxEventGap is the longest time between two events that callers expect.
	MaxEventGap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the endpoints that may run one request.
	MaxAttempts int
	// Homes are the regions in which requests may be served; empty allows all.
	Homes []string
	// Shares are the services behind the route.
	Shares []Share
}

// Share is the part of a route's requests that one service gets.
type Share struct {
	// Service names the service; Weight is relative to the other shares.
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

// PickService returns the service for a draw in [0,1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := draw * total
	for _, s := range r.Shares {
		left -= s.Weight
		if left < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
