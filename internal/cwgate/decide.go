package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

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
	ask := &cwplacement.Ask{
		Demand:   j.demand(now),
		Priority: j.route.Priority,
		Tried:    tried,
		Here:     j.route.Allows(g.site.Region),
		Relayed:  j.Relayed,
		Avoid:    tried,
	}
	if !j.Relayed {
		ask.Rooms = g.rooms(j, now)
	}
	return p.Decide(ask, now)
}

// rooms returns the permitted places outside the region.
func (g *Gate) rooms(j *job, now time.Time) []cwpolicy.DomainRoom {
	var rooms []cwpolicy.DomainRoom
	for _, r := range g.snapshot.Rooms[j.service] {
		if r.Region == g.site.Region || !j.route.Allows(r.Region) || g.view.Evacuated[r.Domain] {
			continue
		}
		if g.exit(r.Domain, now) == "" {
			continue
		}
		rooms = append(rooms, r)
	}
	return rooms
}

// exit returns the address for relayed requests of a usable instance in the domain,
// empty if there is none. The caller holds mu.
func (g *Gate) exit(domain string, now time.Time) string {
	exits := g.snapshot.Exits(domain, now)
	if len(exits) == 0 {
		return ""
	}
	return g.site.RelayOf(exits[g.rng.IntN(len(exits))].Address)
}
