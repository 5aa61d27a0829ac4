package cwgate

// maxConns returns this instance's share of the service's limit of connections to one
// endpoint; 0 means no limit. The instances of the region have equal shares. One connection of it
// is left to the watch of the endpoint.
func (g *Gate) maxConns(service string) int {
	limit, isWatched := g.connLimit(service)
	share := g.connShare(limit)
	if isWatched && share >= minWatchShare {
		return share - 1
	}
	return share
}

// connShare returns the part of a limit of connections that this instance may open, 0 if there is
// no limit.
func (g *Gate) connShare(limit int) int {
	snapshot := g.control.Snapshot()
	if limit == 0 {
		return 0
	}
	instances := 1
	for i := range snapshot.Members {
		if snapshot.Members[i].Region == g.site.Region {
			instances++
		}
	}
	return max(limit/instances, 1)
}

// connLimit returns the service's limit of connections to one endpoint, 0 if there is none, and
// whether the endpoints are watched. A service that was removed has that of its last configuration.
func (g *Gate) connLimit(service string) (limit int, isWatched bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.pools[service]; p != nil {
		return p.Service.MaxConns, g.watchedServices[service]
	}
	return 0, false
}
