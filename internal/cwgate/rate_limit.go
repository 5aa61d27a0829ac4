package cwgate

import (
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	// rateShareInterval is the shortest time between two computations of all shares. The
	// demand that other instances report changes about once per second.
	rateShareInterval = 200 * time.Millisecond
	// rateLimitProbeAfter is the time without any response of an endpoint after which
	// instances without a share of its limit probe it. Otherwise a limit that was withdrawn
	// unnoticed would hold for good.
	rateLimitProbeAfter = 30 * time.Second
	// withdrawalReportPeriod is how long the withdrawal of a limit is reported.
	withdrawalReportPeriod = 30 * time.Second
)

// syncRateShares computes the shares of all limits anew, since the other instances or their
// demand may have changed. The caller holds mu.
func (g *Gate) syncRateShares(now time.Time) {
	g.rateSharesSetAt = now
	for _, p := range g.pools {
		if !p.HasRateLimits() {
			continue
		}
		for _, e := range p.Endpoints() {
			g.setRateShare(e, now)
		}
	}
}

// setRateShare computes this instance's share of the limit of an endpoint, if it names one.
// The caller holds mu.
func (g *Gate) setRateShare(e *cwplacement.Endpoint, now time.Time) {
	limit := e.RateLimit()
	if !limit.IsNamed {
		return
	}
	perSecond, burst := 0.0, 1
	if !g.sharing.isStarting(now) {
		total := max(limit.PerSecond, cwpolicy.EndpointProbesPerSecond)
		perSecond, burst = e.RateDivision().Divide(total, cwpolicy.MaxEndpointBurst(total), g.snapshot.Self.PeerAddress, g.rateSharers(e, now), now)
	}
	if now.Sub(limit.ObservedAt) > rateLimitProbeAfter {
		perSecond, burst = max(perSecond, cwpolicy.EndpointProbesPerSecond), max(burst, 1)
	}
	e.SetRateShare(perSecond, burst, now)
}

// rateSharers returns the instances that share the limit of an endpoint: those of its
// failure domain, since they have the most accurate lists of each other, or those of the
// region if the domain has none.
func (g *Gate) rateSharers(e *cwplacement.Endpoint, now time.Time) []cwpolicy.RateSharer {
	sharers := g.sharersAmong(e.Service, func(m *cwpolicy.Member) bool { return m.Domain == e.Domain }, now)
	if len(sharers) > 0 {
		return sharers
	}
	return g.sharersAmong(e.Service, func(m *cwpolicy.Member) bool { return m.Region == e.Region }, now)
}

// sharersAmong returns the instances of a group that share a limit on requests of a service.
func (g *Gate) sharersAmong(service string, isInGroup func(m *cwpolicy.Member) bool, now time.Time) []cwpolicy.RateSharer {
	var sharers []cwpolicy.RateSharer
	if self := &g.snapshot.Self; isInGroup(self) {
		sharers = append(sharers, cwpolicy.RateSharer{Address: self.PeerAddress, RequestsPerSecond: g.pools[service].ArrivalsPerSecond(now), ContactAt: now})
	}
	for i := range g.snapshot.Members {
		m := &g.snapshot.Members[i]
		if !isInGroup(m) || g.sharing.hasEnded(m, g.bounds, now) {
			continue
		}
		sharers = append(sharers, cwpolicy.RateSharer{Address: m.PeerAddress, RequestsPerSecond: g.reportedDemand(m.PeerAddress, service), ContactAt: m.LastContactAt})
	}
	return sharers
}

// reportedDemand returns the rate of requests of a service that another instance last
// reported.
func (g *Gate) reportedDemand(address, service string) float64 {
	for _, d := range g.snapshot.MemberDemands[address] {
		if d.Key == (cwpolicy.LimitKey{Service: service}) {
			return d.RequestsPerSecond
		}
	}
	return 0
}

// mergeRateLimits applies the limits that another instance of the region reported. The
// caller holds mu.
func (g *Gate) mergeRateLimits(peer *cwcontrol.PeerWork, now time.Time) {
	for i := range peer.EndpointWork {
		w := &peer.EndpointWork[i]
		if w.RateLimit.ObservedAt.IsZero() {
			continue
		}
		e := g.findEndpoint(w.Endpoint)
		if e == nil {
			continue
		}
		before := e.RateLimit()
		if e.MergeRateLimit(cwplacement.RateLimit(w.RateLimit)) {
			g.setRateShare(e, now)
			g.logRateLimit(e, "peer", before)
		}
	}
}

// findEndpoint returns the endpoint of the region with the identifier, nil if there is none.
func (g *Gate) findEndpoint(id string) *cwplacement.Endpoint {
	return g.pools[g.view.Endpoints[id].Service].Endpoint(id)
}

// reportedRateLimit returns what the other instances are told about the limit of an
// endpoint: a named limit, or that it was withdrawn recently.
func reportedRateLimit(e *cwplacement.Endpoint, now time.Time) cwcontrol.EndpointRateLimit {
	limit := e.RateLimit()
	if !limit.IsNamed && now.Sub(limit.ObservedAt) > withdrawalReportPeriod {
		return cwcontrol.EndpointRateLimit{}
	}
	return cwcontrol.EndpointRateLimit(limit)
}

// logRateLimit logs that the known rate limit of an endpoint has changed. The source is
// "response", or "peer" if another instance reported it.
func (g *Gate) logRateLimit(e *cwplacement.Endpoint, source string, before cwplacement.RateLimit) {
	after := e.RateLimit()
	g.Log.Info("endpoint rate limit changed", zap.String("endpoint", e.ID), zap.String("source", source),
		zap.Bool("named", after.IsNamed), zap.Float64("perSecond", after.PerSecond), zap.Float64("share", e.RateShare()),
		zap.Bool("namedBefore", before.IsNamed), zap.Float64("perSecondBefore", before.PerSecond))
}
