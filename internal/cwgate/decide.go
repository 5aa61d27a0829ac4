package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// startupPeriod is the time after the start in which the places of other regions may not
// be known: some exchanges and round trips.
const startupPeriod = 3 * time.Second

// decidePlacement finds a place for the job.
func (g *Gate) decidePlacement(j *routedRequest) cwplacement.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.decidePlacementLocked(j, j.hasTried, time.Now())
}

// decidePlacementLocked finds a place that was not tried before. The caller holds mu.
func (g *Gate) decidePlacementLocked(j *routedRequest, tried func(name string) bool, now time.Time) cwplacement.Decision {
	g.sync(now)
	p := g.pools[j.service]
	if p == nil {
		service, _ := g.service(j.service)
		p = cwplacement.NewPool(service, g.site.Domain, g.rng)
		g.pools[j.service] = p
	}
	ask := &cwplacement.Request{
		Requirements:   j.demand(now),
		Priority:       j.route.Priority,
		WasTried:       tried,
		IsLocalAllowed: j.route.AllowsRegion(g.site.Region),
		IsRelayed:      j.Relayed,
		IsStarting:     now.Sub(g.startedAt) < startupPeriod,
		IsExcluded:     tried,
	}
	if !j.Relayed {
		ask.RemoteCapacities = g.remoteCapacities(j)
	}
	return p.Decide(ask, now)
}

// remoteCapacities returns the permitted places outside the region.
func (g *Gate) remoteCapacities(j *routedRequest) []cwpolicy.DomainCapacity {
	var rooms []cwpolicy.DomainCapacity
	for _, r := range g.snapshot.Capacities[j.service] {
		if r.Region == g.site.Region || !j.route.AllowsRegion(r.Region) || g.view.EvacuatedDomains[r.Domain] {
			continue
		}
		if g.exitAddresses[r.Domain] == "" {
			continue
		}
		rooms = append(rooms, r)
	}
	return rooms
}
