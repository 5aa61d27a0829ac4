package cwroute

import (
	"slices"
	"strings"
)

// Config is one published configuration.
type Config struct {
	// Version increases with every change.
	Version uint64
	// Routes and Services are all routes and services; Services is keyed by name.
	Routes   []Route
	Services map[string]Service
	// Limits bound the requests of callers.
	Limits Limits

	routesByHost map[string][]*Route
}

// NewConfig returns a configuration that is indexed for Match and HomesOf.
func NewConfig(version uint64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{Version: version, Routes: routes, Services: make(map[string]Service, len(services)), Limits: limits}
	c.routesByHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	return c
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// HomesOf returns the regions that the most routes of the host list as homes; empty if
// no route of the host has homes.
func (c *Config) HomesOf(host string) []string {
	routeCounts := make(map[string]int)
	highest := 0
	for _, r := range c.routesByHost[host] {
		for _, region := range r.Homes {
			routeCounts[region]++
			highest = max(highest, routeCounts[region])
		}
	}
	var homes []string
	for region, n := range routeCounts {
		if n == highest {
			homes = append(homes, region)
		}
	}
	slices.Sort(homes)
	return homes
}
