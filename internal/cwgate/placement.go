package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// startupPeriod is the time after the start in which the capacities of other regions may
// be unknown. It covers several exchanges and round trips.
const startupPeriod = 3 * time.Second

// decidePlacement chooses a place at which the request was not tried before. Domains that did
// not answer a dial are the last choice.
func (g *Gate) decidePlacement(routed *routedRequest) cwplacement.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(routed.silentDomains) > 0 {
		if d := g.decidePlacementLocked(routed, routed.isTriedOrSilent, time.Now()); d.Action != cwplacement.ActionRefuse {
			return d
		}
		routed.silentDomains = nil
	}
	return g.decidePlacementLocked(routed, routed.hasTried, time.Now())
}

// decidePlacementLocked chooses an endpoint or a domain for which wasTried returns false,
// or decides to refuse the request. The caller holds mu.
func (g *Gate) decidePlacementLocked(routed *routedRequest, wasTried func(name string) bool, now time.Time) cwplacement.Decision {
	g.sync(now)
	p := g.pools[routed.service]
	if p == nil {
		service, _ := g.service(routed.service)
		p = cwplacement.NewPool(service, g.site.Domain, g.rng)
		g.pools[routed.service] = p
	}
	request := g.placementRequest(routed, p, wasTried, now)
	return p.Decide(&request, now)
}

// placementRequest returns the request as its pool places it. The caller holds mu.
func (g *Gate) placementRequest(routed *routedRequest, p *cwplacement.Pool, wasTried func(name string) bool, now time.Time) cwplacement.Request {
	wasEndpointTried, wasDomainTried := g.limitToOrigin(routed, wasTried)
	request := cwplacement.Request{
		Requirements:   routed.requirements(now),
		Priority:       routed.priority(),
		WasTried:       wasEndpointTried,
		IsLocalAllowed: routed.allowsRegion(g.site.Region),
		IsRelayed:      routed.IsRelayed,
		IsStarting:     now.Sub(g.startedAt) < startupPeriod,
		WasDomainTried: wasDomainTried,
	}
	if !routed.IsRelayed {
		request.RemoteCapacities = g.remoteCapacities(routed)
		if request.IsLocalAllowed {
			request.RemoteCapacities = append(request.RemoteCapacities, g.regionCapacities(p, wasEndpointTried, now)...)
		}
	}
	return request
}

// remoteCapacities returns the capacities of the domains outside the region to which the
// request may be relayed and that have an instance for it.
func (g *Gate) remoteCapacities(routed *routedRequest) []cwpolicy.DomainCapacity {
	var capacities []cwpolicy.DomainCapacity
	for _, c := range g.snapshot.Capacities[routed.service] {
		if c.Region == g.site.Region || g.domainExclusion(routed, &c) != "" {
			continue
		}
		capacities = append(capacities, c)
	}
	return capacities
}

// domainExclusion returns what excludes a domain of another region for the request before any
// prediction; empty if nothing does. The caller holds mu.
func (g *Gate) domainExclusion(routed *routedRequest, c *cwpolicy.DomainCapacity) cwplacement.Exclusion {
	switch {
	case !routed.allowsRegion(c.Region):
		return cwplacement.ExcludedRegion
	case g.view.EvacuatedDomains[c.Domain]:
		return cwplacement.ExcludedEvacuated
	case g.exitAddresses[c.Domain] == "":
		return cwplacement.ExcludedNoExit
	}
	return ""
}
