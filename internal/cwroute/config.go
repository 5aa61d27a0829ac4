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
	// Accounts are the client accounts. Without any, requests need no key.
	Accounts []Account

	routesByHost   map[string][]*Route
	accountsByKey  map[string]*Account
	accountsByName map[string]*Account
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

// HasAccounts reports whether the configuration has client accounts, so that requests need a key
// unless their route is public.
func (c *Config) HasAccounts() bool {
	return len(c.Accounts) > 0
}

// SetAccounts sets the client accounts. No two of them have the same name or hold the same key.
func (c *Config) SetAccounts(accounts []Account) {
	c.Accounts = accounts
	keyCount := 0
	for i := range accounts {
		keyCount += len(accounts[i].Keys)
	}
	c.accountsByKey = make(map[string]*Account, keyCount)
	c.accountsByName = make(map[string]*Account, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		c.accountsByName[a.Name] = a
		for _, key := range a.Keys {
			c.accountsByKey[key] = a
		}
	}
}

// AccountOfKey returns the account that holds the key, nil if none does. It takes constant time
// whatever the number of accounts.
func (c *Config) AccountOfKey(key string) *Account {
	return c.accountsByKey[key]
}

// Account returns the account with the name, nil if there is none.
func (c *Config) Account(name string) *Account {
	return c.accountsByName[name]
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
