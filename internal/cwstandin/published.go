package cwstandin

// What the operator and the workers publish, in the platform's own words. Tests that
// need another value replace it by its name.

// The header fields that callers send.
const (
	RequestIDHeader = "Clementinewell-Request-Id"
	DeadlineHeader  = "Clementinewell-Deadline-Ms"
)

// PublishedRoute returns a route of a host to a service, below the path /NAME/.
func PublishedRoute(host, service, name, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path-prefix": "/" + name + "/", "type": kind, "timeout-ms": 5000,
		"target-latency-ms": 500, "service": service, "max-attempts": 2, "gap-aim-ms": 300,
	}
}

// PublishedPlain returns a service of plain workers.
func PublishedPlain(name string) map[string]any {
	return map[string]any{"name": name, "max-connections": 100}
}

// PublishedEngines returns a service of model engines, which bear a rate of requests
// while they are cold.
func PublishedEngines(name string, coldPerSecond float64) map[string]any {
	return map[string]any{
		"name": name, "max-connections": 100, "cold-s": 3, "cold-per-s": coldPerSecond,
		"engine": map[string]any{"slots": 64, "kv-capacity": 200000, "stride": 6},
	}
}

// PublishedConfig returns a configuration.
func PublishedConfig(version int, services []map[string]any, routes any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// PublishedEntry returns the entry of a worker.
func PublishedEntry(service, domain, address string) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": domain, "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "sequence": 1, "born": 1,
	}
}
