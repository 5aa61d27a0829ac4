package cwsoak_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// routeTimeout is the usual time limit of a route, and shortRouteTimeout one that ends
	// a part of the long responses.
	routeTimeout      = 4 * time.Second
	shortRouteTimeout = 1500 * time.Millisecond
	// idleTimeout and shortIdleTimeout are the time limits of idle connections of callers.
	idleTimeout      = 15 * time.Second
	shortIdleTimeout = 2 * time.Second
	// maxConfigBytes is the platform's limit on a value.
	maxConfigBytes = 1 << 20
)

// configVariant is what changes between two configurations. The zero value is the usual one.
type configVariant struct {
	// auxShare is the share of the route "move" that the service "aux" serves, in quarters.
	auxShare int
	// isGoneRemoved leaves out the route "gone", and isEngineRemoved the service's engine.
	isGoneRemoved, isEngineRemoved bool
	// hasShortTimeout shortens the time limit of the route "time", and hasShortIdle that of
	// idle connections.
	hasShortTimeout, hasShortIdle bool
	// isLarge fills the configuration with routes up to the size that is allowed.
	isLarge bool
	// engineSlots is the number of slots of an engine; 0 for the usual one.
	engineSlots int
}

// change changes one random property.
func (v *configVariant) change(rng *rand.Rand) {
	v.isLarge = rng.IntN(10) == 0
	switch rng.IntN(6) {
	case 0, 1:
		v.auxShare = rng.IntN(5)
	case 2:
		v.isGoneRemoved = !v.isGoneRemoved
	case 3:
		v.isEngineRemoved = !v.isEngineRemoved
	case 4:
		v.hasShortTimeout = !v.hasShortTimeout
	case 5:
		v.hasShortIdle = !v.hasShortIdle
	}
}

func (v configVariant) idleTimeout() time.Duration {
	if v.hasShortIdle {
		return shortIdleTimeout
	}
	return idleTimeout
}

// build returns the configuration of a version. Beside the routes of all requests it has one
// named after the version, by which waitUntilServing detects it.
func (v configVariant) build(version int64, accounts []map[string]any) map[string]any {
	kinds := slices.Concat([]requestKind{{route: fmt.Sprint("v", version)}}, shortKinds, longKinds, accountKinds)
	var routes []map[string]any
	for _, k := range kinds {
		if k.route != "gone" || !v.isGoneRemoved {
			routes = append(routes, v.buildRoute(k))
		}
	}
	if v.isLarge {
		routes = append(routes, buildFillers()...)
	}
	app := map[string]any{"name": "app", "max-connections": 400}
	if !v.isEngineRemoved {
		app["engine"] = map[string]any{"slots": cmp.Or(v.engineSlots, 64), "kv-capacity": 1000000, "stride": 6}
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": accounts,
		"services": []map[string]any{app, {"name": "aux", "max-connections": 400}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": v.idleTimeout().Milliseconds()},
	}
}

func (v configVariant) buildRoute(k requestKind) map[string]any {
	routeType, timeout, target := "safe", routeTimeout, 500*time.Millisecond
	switch {
	case k.tokens != "":
		routeType = "streaming"
	case k.isUnsafe:
		routeType = "unsafe"
	}
	if k.isLong {
		target = 2 * maxWork
	}
	if k.route == "time" && v.hasShortTimeout {
		timeout = shortRouteTimeout
	}
	route := map[string]any{
		"name": k.route, "host": routeHost, "path-prefix": "/" + k.route + "/", "type": routeType, "timeout-ms": timeout.Milliseconds(),
		"target-latency-ms": target.Milliseconds(), "service": "app", "max-attempts": 2, "gap-aim-ms": 300, "resumable": k.tokens != "" && !k.isUnsafe,
		"public": k.route == publicRoute,
	}
	switch {
	case k.route == quotaRoute:
		route["service"] = "aux"
	case k.route != "move" || v.auxShare == 0:
	case v.auxShare == 4:
		route["service"] = "aux"
	default:
		route["traffic-split"] = []map[string]any{{"service": "app", "weight": 4 - v.auxShare}, {"service": "aux", "weight": v.auxShare}}
	}
	return route
}

// buildFillers returns routes without requests that almost fill maxConfigBytes.
func buildFillers() []map[string]any {
	const routeBytes, nameBytes, reservedBytes = 1100, 900, 16 << 10
	fillers := make([]map[string]any, (maxConfigBytes-reservedBytes)/routeBytes)
	for n := range fillers {
		name := fmt.Sprint("filler-", n, strings.Repeat("x", nameBytes))
		fillers[n] = map[string]any{"name": fmt.Sprint("filler-", n), "host": routeHost, "path-prefix": "/" + name + "/", "type": "safe", "timeout-ms": 4000, "target-latency-ms": 500, "service": "app", "max-attempts": 2}
	}
	return fillers
}
