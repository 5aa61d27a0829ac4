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

	byHost map[string][]*Route
}

// NewConfig returns a configuration that can be searched.
func NewConfig(version uint64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{Version: version, Routes: routes, Services: make(map[string]Service, len(services)), Limits: limits}
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	return c
}

// Match returns the route with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// HomesOf returns the regions in which every request to the host may be served;
// empty if no route bounds them, or if no region serves all.
func (c *Config) HomesOf(host string) []string {
	var homes []string
	bound := false
	for _, r := range c.byHost[host] {
		if len(r.Homes) == 0 {
			continue
		}
		if !bound {
			homes, bound = slices.Clone(r.Homes), true
			continue
		}
		homes = slices.DeleteFunc(homes, func(region string) bool { return !r.Allows(region) })
	}
	return homes
}
