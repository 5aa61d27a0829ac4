package cwstandin

// This file builds the records that the operator and the workers publish, with the
// platform's field names. Tests replace other values by field name.

// AccountHeader is the header field that names the client account to a worker.
const AccountHeader = "Clementinewell-Tenant-Id"

// Header fields that callers send.
const (
	RequestIDHeader = "Clementinewell-Request-Id"
	DeadlineHeader  = "Clementinewell-Deadline-Ms"
	KeyHeader       = "Authorization"
)

// NewPublishedRoute returns a route from a host and the path prefix /NAME/ to a service.
func NewPublishedRoute(host, service, name, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path-prefix": "/" + name + "/", "type": kind, "timeout-ms": 5000,
		"target-latency-ms": 500, "service": service, "max-attempts": 2, "gap-aim-ms": 300,
	}
}

// NewPublishedPlainService returns a service whose workers are not engines.
func NewPublishedPlainService(name string) map[string]any {
	return map[string]any{"name": name, "max-connections": 100}
}

// NewPublishedEngineService returns a service whose workers are engines. A cold engine
// accepts a limited rate of requests.
func NewPublishedEngineService(name string, coldPerSecond float64) map[string]any {
	return map[string]any{
		"name": name, "max-connections": 100, "cold-s": 3, "cold-per-s": coldPerSecond,
		"engine": map[string]any{"slots": 64, "kv-capacity": 200000, "stride": 6},
	}
}

// NewPublishedConfig returns a configuration with the services and routes.
func NewPublishedConfig(version int, services []map[string]any, routes any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// NewPublishedAccount returns a client account without a quota, with the keys of its callers.
func NewPublishedAccount(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api-keys": keys, "unit": "requests", "rate-per-s": 0, "burst": 0}
}

// NewPublishedWorker returns the entry of a worker of a service in a failure domain.
func NewPublishedWorker(service, domain, address string) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": domain, "slots": 8, "state": "ready", "version": "v1",
		"cold-remaining-ms": 0, "sequence": 1, "born": 1,
	}
}
