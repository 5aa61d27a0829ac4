package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// syncEndpoints updates the pools of endpoints of the region from the published state.
func (g *Gate) syncEndpoints(now time.Time) {
	for id, r := range g.view.Endpoints {
		if !g.isInRegion(r) {
			continue
		}
		p := g.configuredPool(r.Service)
		if p == nil {
			continue
		}
		e := p.Register(r.Endpoint, g.site.Region, g.ownsCold(id, r.Domain, now), r.ReadAt, g.coldUntil(id, r))
		e.IsEvacuated = g.view.EvacuatedDomains[r.Domain]
	}
	for name, p := range g.pools {
		p.Retain(func(id string) bool { r := g.view.Endpoints[id]; return r.Service == name && g.isInRegion(r) })
	}
	g.syncWatches()
	for id := range g.coldPeriods {
		if _, known := g.view.Endpoints[id]; !known {
			delete(g.coldPeriods, id)
		}
	}
}

// configuredPool returns the pool of a service with the service's configuration. A service
// that was removed keeps its last one for the requests that began before; nil if there was none.
func (g *Gate) configuredPool(name string) *cwplacement.Pool {
	p := g.pools[name]
	service, known := g.service(name)
	if !known {
		if p == nil || p.Service.Name == "" {
			return nil
		}
		return p
	}
	if p == nil {
		p = cwplacement.NewPool(service, g.site.Domain, g.rng)
		g.pools[name] = p
	}
	service.ColdRate = g.coldRate(service.ColdRate)
	p.Service = service
	return p
}

// isInRegion reports whether an endpoint is in the region of this instance.
func (g *Gate) isInRegion(r cwpublished.Registration) bool {
	return g.site.RegionByDomain[r.Domain] == g.site.Region
}

// service returns the configuration of a service; false if there is none.
func (g *Gate) service(name string) (cwroute.Service, bool) {
	if g.view.Config == nil {
		return cwroute.Service{}, false
	}
	s, ok := g.view.Config.Services[name]
	return s, ok
}
