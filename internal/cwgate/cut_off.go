package cwgate

import (
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	// exitCutOffPeriod is how long an exit is avoided that has answered that it is cut off from the
	// endpoints. By then it is asked again, or its own report has arrived.
	exitCutOffPeriod = 2 * time.Second
	// regionRoundTrip is the assumed time of an exchange with an instance of the region.
	regionRoundTrip = 2 * time.Millisecond
)

// recordReached records that an endpoint was reached. The caller holds mu.
func (g *Gate) recordReached(now time.Time) {
	if !g.reach.OnReached(now) {
		return
	}
	// If another instance of the region has reached the endpoints all the time, they have not
	// restarted: it would have reported that.
	hasWitness := g.hasReachingPeer(now)
	for _, p := range g.pools {
		p.ForgetUnreachability(hasWitness, !g.state.IsStoreUnreachable(), now)
	}
	g.Log.Info("endpoints reached again", zap.Bool("reachedByOthers", hasWitness))
	g.control.TryPost(cwcontrol.SelfCutOff{})
}

// recordUnreached records that an attempt to reach an endpoint, begun at startedAt, failed. The
// caller holds mu.
func (g *Gate) recordUnreached(id string, startedAt, now time.Time) {
	total := 0
	for _, p := range g.pools {
		total += p.TriedEndpoints(now)
	}
	if !g.reach.OnUnreached(id, startedAt, total) {
		return
	}
	g.Log.Warn("cut off from endpoints", zap.Int("endpoints", total), zap.String("last", id))
	g.metrics.cutOffs.Inc(1)
	g.control.TryPost(cwcontrol.SelfCutOff{IsCutOff: true})
}

// hasReachingPeer reports whether another instance of the region is not cut off from the endpoints.
// The caller holds mu.
func (g *Gate) hasReachingPeer(now time.Time) bool {
	for i := range g.snapshot.Members {
		if m := &g.snapshot.Members[i]; m.Region == g.site.Region && g.isPossibleExit(m, now) {
			return true
		}
	}
	return false
}

// isPossibleExit reports whether requests may be relayed to an instance: it is usable and not cut
// off from the endpoints of its region. The caller holds mu.
func (g *Gate) isPossibleExit(m *cwpolicy.Member, now time.Time) bool {
	if m.Incarnation == 0 || m.IsCutOff || now.Before(g.exitsCutOffUntil[m.PeerAddress]) {
		return false
	}
	return m.IsUsable(now, cwpolicy.MemberContactTimeout) || g.isExitReturnExpected(m, now)
}

// recordExitCutOff records that the exit of the attempt is cut off from the endpoints. It returns
// whether another exit of its domain takes its place.
func (a *attempt) recordExitCutOff() bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.snapshot.Members {
		if address := a.snapshot.Members[i].PeerAddress; a.site.RelayAddressOf(address) == a.address {
			a.exitsCutOffUntil[address] = now.Add(exitCutOffPeriod)
		}
	}
	a.syncExitAddresses(now)
	next := a.exitAddresses[a.exitDomain]
	return next != "" && next != a.address
}

// regionCapacities returns the capacities of the domains of this region through their other
// instances, for a request that this instance can't send to any endpoint. The caller holds mu.
func (g *Gate) regionCapacities(p *cwplacement.Pool, wasTried func(id string) bool, now time.Time) []cwpolicy.DomainCapacity {
	capacity, isNeeded := p.UnreachedCapacity(wasTried, now)
	if !isNeeded {
		return nil
	}
	var capacities []cwpolicy.DomainCapacity
	for domain := range g.exitAddresses {
		if region := g.site.RegionByDomain[domain]; region == g.site.Region {
			capacities = append(capacities, cwpolicy.DomainCapacity{PoolCapacity: capacity, Domain: domain, Region: region, ReportedAt: now, RoundTrip: regionRoundTrip})
		}
	}
	return capacities
}
