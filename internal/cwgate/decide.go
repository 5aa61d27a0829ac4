package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// startingSpan is the time after the start in which the places of other regions may not
// be known: some exchanges and round trips.
const startingSpan = 3 * time.Second

// decide finds a place for the job.
func (g *Gate) decide(j *job) cwplacement.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placeOf(j, j.triedBefore, time.Now())
}

// placeOf finds a place that was not tried before. The caller holds mu.
func (g *Gate) placeOf(j *job, tried func(name string) bool, now time.Time) cwplacement.Decision {
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
		IsStarting:     now.Sub(g.startedAt) < startingSpan,
		IsExcluded:     tried,
	}
	if !j.Relayed {
		ask.RemoteCapacities = g.rooms(j)
	}
	return p.Decide(ask, now)
}

// rooms returns the permitted places outside the region.
func (g *Gate) rooms(j *job) []cwpolicy.DomainCapacity {
	var rooms []cwpolicy.DomainCapacity
	for _, r := range g.snapshot.Rooms[j.service] {
		if r.Region == g.site.Region || !j.route.AllowsRegion(r.Region) || g.view.EvacuatedDomains[r.Domain] {
			continue
		}
		if g.exits[r.Domain] == "" {
			continue
		}
		rooms = append(rooms, r)
	}
	return rooms
}
