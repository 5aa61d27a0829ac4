package cwroute

import (
	"slices"
	"strings"
)

// Config is one published configuration.
type Config struct {
	// Version rises with every change.
	Version uint64
	// Routes and Services are all that there are.
	Routes   []Route
	Services map[string]Service
	// Limits bound what callers may send.
	Limits Limits

	routesByHost map[string][]*Route
}

// NewConfig returns a configuration that can be searched.
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

// Match returns the route with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// HomesOf returns the regions in which the most home-bound routes of the host may be
// served; empty if no route bounds them.
func (c *Config) HomesOf(host string) []string {
	allowed := make(map[string]int)
	most := 0
	for _, r := range c.routesByHost[host] {
		for _, region := range r.Homes {
			allowed[region]++
			most = max(most, allowed[region])
		}
	}
	var homes []string
	for region, n := range allowed {
		if n == most {
			homes = append(homes, region)
		}
	}
	slices.Sort(homes)
	return homes
}
